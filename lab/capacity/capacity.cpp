#include "lab/capacity/capacity.h"

#include <sched.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <memory>
#include <thread>
#include <utility>

#include "journal/journal.h"
#include "lab/capacity/players.h"
#include "lab/capacity/raw.h"
#include "lab/sockets/loopback.h"
#include "lab/sockets/process.h"
#include "lab/sockets/registry.h"
#include "lab/sockets/relay_config.h"
#include "lab/sockets/relay_process.h"
#include "net/address.h"

namespace opalroute::lab {

namespace {

// The measuring process asks from the first core; what is measured has the second for itself.
constexpr int kDriverCore = 0, kMeasuredCore = 1, kSinkCore = 2, kPlatformCore = 3;
constexpr int kClientConnections = 64;
constexpr double kWarmUp = 1;  // seconds, not counted
constexpr int kManyDestinations = 20000;
constexpr long kTransactions = 4000;

void PinTo(int core) {
  cpu_set_t cores;
  CPU_ZERO(&cores);
  CPU_SET(core, &cores);
  if (sched_setaffinity(0, sizeof(cores), &cores) != 0)
    throw std::runtime_error("core " + std::to_string(core) + " is not to be had: four are needed");
}

// Runs one of the players in a process of its own.
class Player {
 public:
  template <typename Play>
  Player(int core, const Play& play) {
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      DieWithParent(parent);
      PinTo(core);
      play();
      _exit(1);
    }
    if (pid_ < 0) throw std::runtime_error("no process could be forked");
  }
  ~Player() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  Player(const Player&) = delete;
  Player& operator=(const Player&) = delete;
  double Cpu() const { return ReadProcessSample(pid_).value().cpu; }

 private:
  pid_t pid_;
};

template <typename T>
class Shared {
 public:
  Shared() : at_(mmap(nullptr, sizeof(T), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0)) {
    if (at_ == MAP_FAILED) throw std::runtime_error("no shared memory");
    new (at_) T();
  }
  ~Shared() { munmap(at_, sizeof(T)); }
  Shared(const Shared&) = delete;
  Shared& operator=(const Shared&) = delete;
  T& operator*() { return *static_cast<T*>(at_); }
  T* operator->() { return static_cast<T*>(at_); }

 private:
  void* at_;
};

// As many messages as the relay can hold, nothing that limits but its own cost.
Scenario ScenarioWith(int destinations) {
  const nlohmann::json file = {
      {"name", "capacity"},
      {"relays", 1},
      {"zones", 1},
      {"classes", nlohmann::json::array({{{"name", "payment"},
                                          {"share", 1},
                                          {"effect", "at_most_once"},
                                          {"aim_s", 5},
                                          {"deadline_s", 60},
                                          {"worth", 1}}})},
      {"partners", {{"count", destinations}, {"endpoints", {1, 1}}, {"headroom", {0, 0}}, {"zipf", 0}}},
      {"settings", {{"slots", 400}, {"room", 20000}, {"rating", "none"}, {"may_copy", false}}}};
  return ReadScenario(file);
}

// The platform in a thread, the relay as a process on its core.
class RelayUnderTest : private PlatformServer::Owner, private RelayProcess::Owner {
 public:
  RelayUnderTest(const CapacityOptions& options, int destinations, std::uint16_t endpoint_port)
      : scenario_(ScenarioWith(destinations)),
        world_(scenario_, 1),
        loop_(clock_),
        registry_(
            loop_, world_, 1,
            [endpoint_port](EndpointId id, int) {
              sockaddr_in address = LoopbackAddress(id);
              address.sin_port = endpoint_port;
              return net::FormatAddress(address);
            },
            *this) {
    RelayProcess::Options plan;
    plan.program = options.program;
    plan.arguments = {"--log-level", "warn"};
    plan.folder = options.folder + "/relay";
    std::filesystem::remove_all(plan.folder);
    plan.config = [this](const std::string& listen) -> nlohmann::json {
      return {{"name", "n0"},
              {"listen", listen},
              {"discovery", net::FormatAddress(registry_.address(0))},
              {"seed", "1"},
              {"limits", {{"sockets", 4096}, {"disk_mb", 200}}},
              {"known", nlohmann::json::parse(registry_.FullList(0))},
              {"settings", SettingsJson(scenario_, 0)}};
    };
    relay_ =
        std::make_unique<RelayProcess>(loop_, 0, std::move(plan), static_cast<RelayProcess::Owner&>(*this));
    PinTo(kMeasuredCore);  // which the process inherits
    relay_->Start();
    while (!relay_->ready()) {
      relay_->Poll();
      loop_.RunOnce(0.01);
    }
    PinTo(kDriverCore);
    platform_ = std::thread([this] {
      PinTo(kPlatformCore);
      while (!ends_) loop_.RunOnce(0.05);
    });
  }
  ~RelayUnderTest() override {
    ends_ = true;
    if (platform_.joinable()) platform_.join();
  }

  sockaddr_in address() const { return relay_->address(); }
  ProcessSample Sample() const { return relay_->Sample().value_or(ProcessSample{}); }

 private:
  void OnChangeKnown(int, EndpointId, EndpointStatus) override {}
  void OnNotification(const std::string&, bool, Seconds) override {}
  void OnReady(int) override {}
  void OnCrash(int, const std::string& how) override {
    throw std::runtime_error("the relay did not come up: " + how + "; its log says:\n" + relay_->LogTail());
  }

  const Scenario scenario_;
  World world_;
  const net::SystemClock clock_;
  net::EventLoop loop_;
  PlatformServer registry_;
  std::unique_ptr<RelayProcess> relay_;
  std::atomic<bool> ends_{false};
  std::thread platform_;
};

class Measurement {
 public:
  explicit Measurement(const CapacityOptions& options)
      : options_(options), listener_(ListenOnLoopback()), port_(net::BoundAddress(listener_).sin_port) {
    std::filesystem::create_directories(options.folder);
    PinTo(kDriverCore);
    sink_ = std::make_unique<Player>(kSinkCore, [this] { RunSink(listener_, *counts_); });
  }
  ~Measurement() { close(listener_); }

  CapacityResult Run() {
    CapacityResult result;
    for (int round = 0; round < options_.rounds; ++round) {
      result.forwarder.push_back(OfForwarder());
      result.relay.push_back(OfRelay());
    }
    result.journal_us = OfJournal();
    double capacity = 0;
    for (const Throughput& t : result.relay) capacity += t.delivered / options_.rounds;
    for (const double share : {0.1, 0.5, 0.9}) result.answers.push_back(AnswersAt(share, share * capacity));
    Memory(result);
    return result;
  }

 private:
  DriverPlan PlanTo(const sockaddr_in& to) {
    DriverPlan plan;
    plan.to = to;
    plan.connections = kClientConnections;
    plan.seconds = options_.seconds;
    plan.message_class = "payment";
    plan.id_prefix = "m" + std::to_string(++drives_) + "-";
    if (options_.interrupted && options_.interrupted()) throw std::runtime_error("interrupted");
    return plan;
  }

  // `cpu`: used so far by what is measured.
  template <typename Cpu>
  Throughput Measure(const sockaddr_in& to, const Cpu& cpu) {
    DriverPlan warm = PlanTo(to);
    warm.seconds = kWarmUp;
    Drive(warm);
    const DriverPlan plan = PlanTo(to);
    const long calls = counts_->calls;
    const double cpu_before = cpu(), began = raw::Now();
    const DriverResult driven = Drive(plan);
    const double took = raw::Now() - began;
    const auto delivered = static_cast<double>(counts_->calls - calls);
    if (delivered < 1) throw std::runtime_error("nothing was delivered");
    return {delivered / took, (cpu() - cpu_before) / delivered * 1e6, driven.refused, driven.broken};
  }

  Throughput OfForwarder() {
    const int listener = raw::Listen(*net::ParseAddress("127.0.0.1:0"));
    const sockaddr_in address = net::BoundAddress(listener);
    sockaddr_in endpoint = LoopbackAddress(1);
    endpoint.sin_port = port_;
    const Player forwarder(kMeasuredCore, [&] { RunForwarder(listener, endpoint); });
    close(listener);
    return Measure(address, [&] { return forwarder.Cpu(); });
  }
  Throughput OfRelay() {
    const RelayUnderTest relay(options_, 1, port_);
    return Measure(relay.address(), [&] { return relay.Sample().cpu; });
  }

  // The relay's own journal, driven alone with what a message of the measurement costs it.
  double OfJournal() {
    const std::string folder = options_.folder + "/journal-alone";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    Journal journal(folder, 200'000'000);
    JournalEntry entry;
    entry.request_class = "payment";
    entry.tenant = "lab";
    entry.body = std::string(200, 'x');
    entry.destination = 1;
    constexpr int kMessages = 100'000, kOpen = 64;  // so many are open at a time
    const double began = ReadProcessSample(getpid()).value().cpu;
    for (int i = 0; i < kMessages + kOpen; ++i) {
      entry.id = "m-" + std::to_string(i);
      if (i < kMessages &&
          (!journal.RecordAccepted(entry) || !journal.RecordAttempt(entry.id, {"e1", "z0", i, true})))
        throw std::runtime_error("the journal has no room");
      if (i >= kOpen) journal.RecordEnd("m-" + std::to_string(i - kOpen));
    }
    return (ReadProcessSample(getpid()).value().cpu - began) / kMessages * 1e6;
  }

  CapacityResult::Answer AnswersAt(double share, double rate) {
    const RelayUnderTest relay(options_, 1, port_);
    DriverPlan warm = PlanTo(relay.address());
    warm.seconds = kWarmUp;
    warm.rate = rate;
    Drive(warm);
    DriverPlan plan = PlanTo(relay.address());
    plan.rate = rate;
    const DriverResult driven = Drive(plan);
    return {share,
            static_cast<double>(driven.asked) / driven.seconds,
            driven.answer_time.Quantile(0.5),
            driven.answer_time.Quantile(0.99),
            driven.answer_time.Quantile(0.999),
            driven.refused,
            driven.broken};
  }

  void Memory(CapacityResult& result) {
    long idle = 0;
    {
      const RelayUnderTest relay(options_, 1, port_);
      counts_->holds = true;
      const long before = relay.Sample().rss_kb;
      DriverPlan plan = PlanTo(relay.address());
      plan.most = kTransactions;
      result.transactions = Drive(plan).taken;
      result.bytes_per_transaction = static_cast<double>(relay.Sample().rss_kb - before) * 1024 /
                                     static_cast<double>(std::max(1L, result.transactions));
      counts_->holds = false;
      idle = before;
    }
    const RelayUnderTest relay(options_, kManyDestinations, port_);
    result.destinations = kManyDestinations;
    result.bytes_per_destination =
        static_cast<double>(relay.Sample().rss_kb - idle) * 1024 / kManyDestinations;
  }

  const CapacityOptions options_;
  Shared<SinkCounts> counts_;
  const int listener_;
  const in_port_t port_;
  std::unique_ptr<Player> sink_;
  int drives_ = 0;
};

}  // namespace

CapacityResult MeasureCapacity(const CapacityOptions& options) { return Measurement(options).Run(); }

}  // namespace opalroute::lab
