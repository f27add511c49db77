// Bounds how outdated a relay's endpoint list may become. Runs relay processes, each with its own discovery
// service, which is overloaded while reloads change its address, or down for a while, or stops responding
// twice in a row. A drain published during the fault must reach the relay within the protocol's bounds, and
// no call may go to the draining endpoint after the grace period. All relays run at the same time, each with
// its own seed.
#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "lab/sockets/relay_process.h"
#include "tests/support/fake_discovery.h"

namespace opalroute {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using Reply = FakeDiscovery::Reply;

// Bounds of docs/acceptance.md, in seconds. A relay counts as notified of a change kNotifiedWithin after
// discovery had the change and was reachable, or kNotifiedAfterReload after SIGHUP. Calls may continue for
// the grace period after that. The platform tolerates 50 ms more.
constexpr Seconds kNotifiedWithin = 6;
constexpr Seconds kNotifiedAfterReload = 4;
constexpr Seconds kGracePeriod = 2;
constexpr Seconds kTolerance = 0.05;

enum class Fault { kOverloadedAddressChanges, kOutage, kUnresponsiveTwice };

// A relay with its discovery service, two endpoints and a client. Times are in seconds after Begin.
class RelayUnderFault : private lab::RelayProcess::Owner {
 public:
  RelayUnderFault(net::EventLoop& loop, const fs::path& folder, int number, Fault fault)
      : loop_(loop),
        fault_(fault),
        number_(number),
        draining_endpoint_(loop),
        other_endpoint_(loop),
        discovery_(loop, draining_endpoint_.address(), other_endpoint_.address(),
                   [this] { return CurrentReply(); }),
        relay_(loop, number, ProcessOptions(folder / std::to_string(number)), *this) {
    relay_.Start();
  }

  bool ready() const { return relay_.ready(); }
  std::string DiagnosticLog() const {
    return crash_.empty() ? relay_.LogTail() : crash_ + "\n" + relay_.LogTail();
  }
  void Poll() { relay_.Poll(); }
  void Begin() {
    start_ = loop_.Now();
    client_ = std::make_unique<FakeClient>(loop_, relay_.address(), "m" + std::to_string(number_));
    switch (fault_) {
      case Fault::kOverloadedAddressChanges:
        for (const Seconds at : {1.0, 1.3, 1.7, kLastAddressChange}) At(at, [this] { ChangeAddress(); });
        At(2.4, [this] { discovery_.DrainFirstEndpoint(); });
        notification_due_ = kLastAddressChange + kNotifiedAfterReload;
        // Discovery is overloaded until shortly before `notification_due_`.
        notified_by_ = notification_due_ + kGracePeriod;
        break;
      case Fault::kOutage:
        At(1.0, [this] { discovery_.StartOutage(); });
        At(2.0, [this] { discovery_.DrainFirstEndpoint(); });
        At(kOutageEnd, [this] { discovery_.EndOutage(); });
        notification_due_ = notified_by_ = kOutageEnd + kNotifiedWithin;
        break;
      case Fault::kUnresponsiveTwice:
        At(1.0, [this] { discovery_.SilenceOpenWatches(); });
        At(1.2, [this] { discovery_.DrainFirstEndpoint(); });
        notification_due_ = notified_by_ = 1.0 + kNotifiedWithin;
        break;
    }
  }

  // When the run may stop: the last bound and some time to observe calls after it.
  Seconds end() const { return notification_due_ + kGracePeriod + 3; }
  void Check() const {
    CAPTURE(number_);
    CAPTURE(discovery_.calls());
    CAPTURE(relay_.LogTail());
    CHECK_MESSAGE(crash_.empty(), crash_);
    const Seconds notified = discovery_.drain_sent_at() < 0 ? 1e9 : discovery_.drain_sent_at() - start_;
    CHECK_MESSAGE(notified <= notified_by_ + kTolerance, "notified at ", notified, " s, bound ",
                  notified_by_);
    const Seconds latest = draining_endpoint_.latest_call() - start_;
    CHECK_MESSAGE(latest <= std::min(notified, notification_due_) + kGracePeriod + kTolerance, "called at ",
                  latest, " s, notified at ", notified, ", counts as notified from ", notification_due_);
    CHECK(draining_endpoint_.calls() > 3);
    CHECK(other_endpoint_.calls() > 20);  // the other endpoint stayed in service
    CHECK(discovery_.calls() < 40);
  }

 private:
  static constexpr Seconds kLastAddressChange = 2.6, kOverloadedUntil = kLastAddressChange + 3.5;
  static constexpr Seconds kOutageEnd = 11;

  lab::RelayProcess::Options ProcessOptions(const fs::path& folder) {
    lab::RelayProcess::Options options;
    options.program = RELAY_PROGRAM;
    options.folder = folder.string();
    options.config = [this](const std::string& listen) {
      json config;
      std::ifstream(fs::path(EXCHANGES) / "base.json") >> config;
      config["listen"] = listen;
      config["seed"] = std::to_string(number_);
      config["discovery"] = net::FormatAddress(discovery_.address());
      config["settings"]["balancers"] = 6;
      return config;
    };
    return options;
  }
  void At(Seconds after, std::function<void()> action) { loop_.At(start_ + after, std::move(action)); }
  void ChangeAddress() {
    discovery_.MoveToNewPort();
    relay_.Reload();
  }
  Reply CurrentReply() {
    const Seconds now = start_ > 0 ? loop_.Now() - start_ : 0;
    switch (fault_) {
      case Fault::kOverloadedAddressChanges:
        return now > 1 && now < kOverloadedUntil ? Reply::kBusy : Reply::kServe;
      case Fault::kOutage:
        return Reply::kServe;
      case Fault::kUnresponsiveTwice:
        return now > 1 && ++watches_after_fault_ == 1 ? Reply::kSilent : Reply::kServe;
    }
    return Reply::kServe;
  }
  void OnReady(int) override {}
  void OnCrash(int, const std::string& how) override { crash_ = "the relay process ended: " + how; }

  net::EventLoop& loop_;
  const Fault fault_;
  const int number_;
  FakeEndpoint draining_endpoint_, other_endpoint_;
  int watches_after_fault_ = 0;
  Seconds start_ = 0;
  Seconds notification_due_ = 0;  // the relay counts as notified from then on, even without the list
  Seconds notified_by_ = 0;       // when the list must have reached it
  std::string crash_;
  FakeDiscovery discovery_;
  lab::RelayProcess relay_;
  std::unique_ptr<FakeClient> client_;
};

class Folder {
 public:
  Folder() : path_(fs::temp_directory_path() / ("opalroute-list-" + std::to_string(getpid()))) {
    fs::create_directories(path_);
  }
  ~Folder() { fs::remove_all(path_); }
  const fs::path& path() const { return path_; }

 private:
  const fs::path path_;
};

TEST_CASE(
    "processes: a drain reaches each relay in time while discovery is overloaded, down or unresponsive") {
  const Folder folder;
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  std::vector<std::unique_ptr<RelayUnderFault>> relays;
  for (const Fault fault : {Fault::kOverloadedAddressChanges, Fault::kOutage, Fault::kUnresponsiveTwice})
    for (int i = 0; i < 6; ++i)
      relays.push_back(
          std::make_unique<RelayUnderFault>(loop, folder.path(), static_cast<int>(relays.size()) + 1, fault));
  const auto run = [&](Seconds until, const auto& done) {
    while (loop.Now() < until && !done()) {
      for (const auto& relay : relays) relay->Poll();
      loop.RunOnce(0.005);
    }
  };
  const auto all_ready = [&] {
    return std::all_of(relays.begin(), relays.end(), [](const auto& relay) { return relay->ready(); });
  };
  run(loop.Now() + 60, all_ready);
  for (const auto& relay : relays)
    if (!relay->ready()) MESSAGE("not ready: ", relay->DiagnosticLog());
  REQUIRE(all_ready());
  Seconds longest = 0;
  for (const auto& relay : relays) {
    relay->Begin();
    longest = std::max(longest, relay->end());
  }
  run(loop.Now() + longest, [] { return false; });
  for (const auto& relay : relays) relay->Check();
}

}  // namespace
}  // namespace opalroute
