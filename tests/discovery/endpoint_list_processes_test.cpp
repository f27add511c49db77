// How old a relay's endpoint list may grow: processes of the program, each with a discovery of its own that
// is overloaded while configurations move it, down for a while, or silent twice in a row. A drain that is
// published meanwhile has to reach the relay within the protocol's bounds, and no call may go to the draining
// endpoint after its grace period. All relays run at the same time, with seeds of their own.
#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "lab/sockets/relay_process.h"
#include "tests/support/discovery_stand_in.h"

namespace opalroute {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using Reply = DiscoveryStandIn::Reply;

// docs/acceptance.md: a change counts as notified this long after discovery had it and could be reached, or
// after SIGHUP. Calls may go on for the grace period after that. The platform allows 50 ms of slack.
constexpr Seconds kNotifiedWithin = 6;
constexpr Seconds kNotifiedAfterReload = 4;
constexpr Seconds kGrace = 2;
constexpr Seconds kSlack = 0.05;

enum class Fault { kOverloadedMoves, kOutage, kSilentTwice };

// One relay, its discovery, its two endpoints and a client. Times count from Begin.
class RelayUnderFault : private lab::RelayProcess::Owner {
 public:
  RelayUnderFault(net::EventLoop& loop, const fs::path& folder, int number, Fault fault)
      : loop_(loop),
        fault_(fault),
        number_(number),
        first_(loop),
        second_(loop),
        discovery_(loop, first_.address(), second_.address(), [this] { return ReplyNow(); }),
        relay_(loop, number, PlanOf(folder / std::to_string(number)), *this) {
    relay_.Start();
  }

  bool ready() const { return relay_.ready(); }
  std::string Diagnosis() const {
    return crash_.empty() ? relay_.LastLog() : crash_ + "\n" + relay_.LastLog();
  }
  void Poll() { relay_.Poll(); }
  void Begin() {
    start_ = loop_.Now();
    client_ = std::make_unique<ClientStandIn>(loop_, relay_.address(), "m" + std::to_string(number_));
    switch (fault_) {
      case Fault::kOverloadedMoves:
        for (const Seconds at : {1.0, 1.3, 1.7, kLastMove}) At(at, [this] { Move(); });
        At(2.4, [this] { discovery_.Drain(); });
        bound_ = kLastMove + kNotifiedAfterReload;
        notified_by_ = bound_ + kGrace;  // discovery is overloaded almost until `bound_`
        break;
      case Fault::kOutage:
        At(1.0, [this] { discovery_.GoDown(); });
        At(2.0, [this] { discovery_.Drain(); });
        At(kReturn, [this] { discovery_.Return(); });
        bound_ = notified_by_ = kReturn + kNotifiedWithin;
        break;
      case Fault::kSilentTwice:
        At(1.0, [this] { discovery_.Mute(); });
        At(1.2, [this] { discovery_.Drain(); });
        bound_ = notified_by_ = 1.0 + kNotifiedWithin;
        break;
    }
  }

  // The latest instant of interest.
  Seconds end() const { return bound_ + kGrace + 3; }
  void Check() const {
    CAPTURE(number_);
    CAPTURE(discovery_.calls());
    CAPTURE(relay_.LastLog());
    CHECK_MESSAGE(crash_.empty(), crash_);
    const Seconds notified = discovery_.told_at() < 0 ? 1e9 : discovery_.told_at() - start_;
    CHECK_MESSAGE(notified <= notified_by_ + kSlack, "notified at ", notified, " s, bound ", notified_by_);
    const Seconds latest = first_.latest_call() - start_;
    CHECK_MESSAGE(latest <= std::min(notified, bound_) + kGrace + kSlack, "called at ", latest,
                  " s, notified at ", notified, ", bound to it from ", bound_);
    CHECK(first_.calls() > 3);
    CHECK(second_.calls() > 20);  // service went on
    CHECK(discovery_.calls() < 40);
  }

 private:
  static constexpr Seconds kLastMove = 2.6, kOverloadedUntil = kLastMove + 3.5;
  static constexpr Seconds kReturn = 11;

  lab::RelayProcess::Plan PlanOf(const fs::path& folder) {
    lab::RelayProcess::Plan plan;
    plan.program = RELAY_PROGRAM;
    plan.folder = folder.string();
    plan.config = [this](const std::string& listen) {
      json config;
      std::ifstream(fs::path(EXCHANGES) / "base.json") >> config;
      config["listen"] = listen;
      config["seed"] = std::to_string(number_);
      config["discovery"] = net::FormatAddress(discovery_.address());
      config["settings"]["balancers"] = 6;
      return config;
    };
    return plan;
  }
  void At(Seconds after, std::function<void()> what) { loop_.At(start_ + after, std::move(what)); }
  void Move() {
    discovery_.Move();
    relay_.Reload();
  }
  Reply ReplyNow() {
    const Seconds now = start_ > 0 ? loop_.Now() - start_ : 0;
    switch (fault_) {
      case Fault::kOverloadedMoves:
        return now > 1 && now < kOverloadedUntil ? Reply::kBusy : Reply::kServe;
      case Fault::kOutage:
        return Reply::kServe;
      case Fault::kSilentTwice:
        return now > 1 && ++calls_since_ == 1 ? Reply::kSilent : Reply::kServe;
    }
    return Reply::kServe;
  }
  void OnReady(int) override {}
  void OnCrash(int, const std::string& how) override { crash_ = "the relay has ended: " + how; }

  net::EventLoop& loop_;
  const Fault fault_;
  const int number_;
  EndpointStandIn first_, second_;
  int calls_since_ = 0;
  Seconds start_ = 0, bound_ = 0, notified_by_ = 0;
  std::string crash_;
  DiscoveryStandIn discovery_;
  lab::RelayProcess relay_;
  std::unique_ptr<ClientStandIn> client_;
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

TEST_CASE("processes: a drain reaches each relay in time while discovery is overloaded, down or silent") {
  const Folder folder;
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  std::vector<std::unique_ptr<RelayUnderFault>> relays;
  for (const Fault fault : {Fault::kOverloadedMoves, Fault::kOutage, Fault::kSilentTwice})
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
    if (!relay->ready()) MESSAGE("not ready: ", relay->Diagnosis());
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
