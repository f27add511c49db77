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
#include "lab/capacity/load.h"
#include "lab/capacity/minimal_http.h"
#include "lab/sockets/loopback.h"
#include "lab/sockets/platform_server.h"
#include "lab/sockets/process.h"
#include "lab/sockets/relay_config.h"
#include "lab/sockets/relay_process.h"
#include "net/address.h"

namespace opalroute::lab {

namespace {

// The load generator runs on the first core; the process under measurement has the second to itself.
constexpr int kLoadCore = 0, kMeasuredCore = 1, kEndpointCore = 2, kPlatformCore = 3;
constexpr int kClientConnections = 64;
constexpr double kWarmUp = 1;  // seconds, excluded from the results
constexpr int kManyDestinations = 20000;
constexpr long kOpenRequests = 4000;

void PinTo(int core) {
  cpu_set_t cores;
  CPU_ZERO(&cores);
  CPU_SET(core, &cores);
  if (sched_setaffinity(0, sizeof(cores), &cores) != 0)
    throw std::runtime_error("cannot run on core " + std::to_string(core) +
                             ": the measurement needs four cores");
}

// Runs a function in a forked process that is pinned to a core.
class PinnedProcess {
 public:
  template <typename Function>
  PinnedProcess(int core, const Function& function) {
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      DieWithParent(parent);
      PinTo(core);
      function();
      _exit(1);
    }
    if (pid_ < 0) throw std::runtime_error("fork failed");
  }
  ~PinnedProcess() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  PinnedProcess(const PinnedProcess&) = delete;
  PinnedProcess& operator=(const PinnedProcess&) = delete;
  double CpuSeconds() const { return ReadProcessSample(pid_).value().cpu; }

 private:
  pid_t pid_;
};

// An object in anonymous memory that forked processes share.
template <typename T>
class SharedObject {
 public:
  SharedObject() : at_(mmap(nullptr, sizeof(T), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0)) {
    if (at_ == MAP_FAILED) throw std::runtime_error("no shared memory could be mapped");
    new (at_) T();
  }
  ~SharedObject() { munmap(at_, sizeof(T)); }
  SharedObject(const SharedObject&) = delete;
  SharedObject& operator=(const SharedObject&) = delete;
  T& operator*() { return *static_cast<T*>(at_); }
  T* operator->() { return static_cast<T*>(at_); }

 private:
  void* at_;
};

// Limits are high enough that only the relay's own cost bounds the throughput.
Scenario CapacityScenario(int destinations) {
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

// A relay process on the measured core, with the platform in a thread of this process.
class RelayUnderTest : private PlatformServer::Owner, private RelayProcess::Owner {
 public:
  RelayUnderTest(const CapacityOptions& options, int destinations, std::uint16_t endpoint_port)
      : scenario_(CapacityScenario(destinations)),
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
    PinTo(kMeasuredCore);  // inherited by the relay process
    relay_->Start();
    while (!relay_->ready()) {
      relay_->Poll();
      loop_.RunOnce(0.01);
    }
    PinTo(kLoadCore);
    platform_ = std::thread([this] {
      PinTo(kPlatformCore);
      while (!stopping_) loop_.RunOnce(0.05);
    });
  }
  ~RelayUnderTest() override {
    stopping_ = true;
    if (platform_.joinable()) platform_.join();
  }

  sockaddr_in address() const { return relay_->address(); }
  ProcessSample Sample() const { return relay_->Sample().value_or(ProcessSample{}); }

 private:
  void OnChangeKnown(int, EndpointId, EndpointStatus) override {}
  void OnNotification(const std::string&, bool, Seconds) override {}
  void OnReady(int) override {}
  void OnCrash(int, const std::string& how) override {
    throw std::runtime_error("the relay failed to start: " + how + "; its log ends:\n" + relay_->LogTail());
  }

  const Scenario scenario_;
  World world_;
  const net::SystemClock clock_;
  net::EventLoop loop_;
  PlatformServer registry_;
  std::unique_ptr<RelayProcess> relay_;
  std::atomic<bool> stopping_{false};
  std::thread platform_;
};

class CapacityMeasurement {
 public:
  explicit CapacityMeasurement(const CapacityOptions& options)
      : options_(options), listener_(ListenOnLoopback()), port_(net::BoundAddress(listener_).sin_port) {
    std::filesystem::create_directories(options.folder);
    PinTo(kLoadCore);
    endpoint_ =
        std::make_unique<PinnedProcess>(kEndpointCore, [this] { RunEndpoint(listener_, *endpoint_state_); });
  }
  ~CapacityMeasurement() { close(listener_); }

  CapacityResult Run() {
    CapacityResult result;
    for (int round = 0; round < options_.rounds; ++round) {
      result.forwarder.push_back(MeasureForwarder());
      result.relay.push_back(MeasureRelay());
    }
    result.journal_us = MeasureJournal();
    double capacity = 0;
    for (const Throughput& t : result.relay) capacity += t.delivered_per_second / options_.rounds;
    for (const double share : {0.1, 0.5, 0.9})
      result.response_times.push_back(MeasureResponseTimes(share, share * capacity));
    MeasureMemory(result);
    return result;
  }

 private:
  LoadPlan PlanLoad(const sockaddr_in& target) {
    LoadPlan plan;
    plan.target = target;
    plan.connections = kClientConnections;
    plan.seconds = options_.seconds;
    plan.message_class = "payment";
    plan.id_prefix = "m" + std::to_string(++load_runs_) + "-";
    if (options_.interrupted && options_.interrupted()) throw std::runtime_error("interrupted");
    return plan;
  }

  // `cpu_seconds` returns the CPU time that the measured process has used so far.
  template <typename CpuSeconds>
  Throughput MeasureThroughput(const sockaddr_in& target, const CpuSeconds& cpu_seconds) {
    LoadPlan warm_up = PlanLoad(target);
    warm_up.seconds = kWarmUp;
    GenerateLoad(warm_up);
    const LoadPlan plan = PlanLoad(target);
    const long calls_before = endpoint_state_->calls;
    const double cpu_before = cpu_seconds(), began = raw::Now();
    const LoadResult load = GenerateLoad(plan);
    const double took = raw::Now() - began;
    const auto delivered = static_cast<double>(endpoint_state_->calls - calls_before);
    if (delivered < 1) throw std::runtime_error("no request was delivered");
    return {delivered / took, (cpu_seconds() - cpu_before) / delivered * 1e6, load.rejected,
            load.disconnected};
  }

  Throughput MeasureForwarder() {
    const int listener = raw::Listen(*net::ParseAddress("127.0.0.1:0"));
    const sockaddr_in address = net::BoundAddress(listener);
    sockaddr_in endpoint = LoopbackAddress(1);
    endpoint.sin_port = port_;
    const PinnedProcess forwarder(kMeasuredCore, [&] { RunForwarder(listener, endpoint); });
    close(listener);
    return MeasureThroughput(address, [&] { return forwarder.CpuSeconds(); });
  }
  Throughput MeasureRelay() {
    const RelayUnderTest relay(options_, 1, port_);
    return MeasureThroughput(relay.address(), [&] { return relay.Sample().cpu; });
  }

  // CPU time of the journal alone, in microseconds per request, for the records that a measured request
  // causes.
  double MeasureJournal() {
    const std::string folder = options_.folder + "/journal-alone";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    Journal journal(folder, 200'000'000);
    JournalEntry entry;
    entry.request_class = "payment";
    entry.tenant = "lab";
    entry.body = std::string(200, 'x');
    entry.destination = 1;
    constexpr int kRequests = 100'000, kOpen = 64;  // kOpen: requests that are open at a time
    const double began = ReadProcessSample(getpid()).value().cpu;
    for (int i = 0; i < kRequests + kOpen; ++i) {
      entry.id = "m-" + std::to_string(i);
      if (i < kRequests &&
          (!journal.RecordAccepted(entry) || !journal.RecordAttempt(entry.id, {"e1", "z0", i, true})))
        throw std::runtime_error("the journal has not accepted a record");
      if (i >= kOpen) journal.RecordEnd("m-" + std::to_string(i - kOpen));
    }
    return (ReadProcessSample(getpid()).value().cpu - began) / kRequests * 1e6;
  }

  CapacityResult::ResponseTime MeasureResponseTimes(double share, double rate) {
    const RelayUnderTest relay(options_, 1, port_);
    LoadPlan warm_up = PlanLoad(relay.address());
    warm_up.seconds = kWarmUp;
    warm_up.rate = rate;
    GenerateLoad(warm_up);
    LoadPlan plan = PlanLoad(relay.address());
    plan.rate = rate;
    const LoadResult load = GenerateLoad(plan);
    return {share,
            static_cast<double>(load.sent) / load.seconds,
            load.response_time.Quantile(0.5),
            load.response_time.Quantile(0.99),
            load.response_time.Quantile(0.999),
            load.rejected,
            load.disconnected};
  }

  void MeasureMemory(CapacityResult& result) {
    long idle_kb = 0;
    {
      const RelayUnderTest relay(options_, 1, port_);
      endpoint_state_->withhold_responses = true;
      const long before_kb = relay.Sample().rss_kb;
      LoadPlan plan = PlanLoad(relay.address());
      plan.max_requests = kOpenRequests;
      result.open_requests = GenerateLoad(plan).accepted;
      result.bytes_per_open_request = static_cast<double>(relay.Sample().rss_kb - before_kb) * 1024 /
                                      static_cast<double>(std::max(1L, result.open_requests));
      endpoint_state_->withhold_responses = false;
      idle_kb = before_kb;
    }
    const RelayUnderTest relay(options_, kManyDestinations, port_);
    result.destinations = kManyDestinations;
    result.bytes_per_destination =
        static_cast<double>(relay.Sample().rss_kb - idle_kb) * 1024 / kManyDestinations;
  }

  const CapacityOptions options_;
  SharedObject<EndpointState> endpoint_state_;
  const int listener_;
  const in_port_t port_;
  std::unique_ptr<PinnedProcess> endpoint_;
  int load_runs_ = 0;
};

}  // namespace

CapacityResult MeasureCapacity(const CapacityOptions& options) { return CapacityMeasurement(options).Run(); }

}  // namespace opalroute::lab
