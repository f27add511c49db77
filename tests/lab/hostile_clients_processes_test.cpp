#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "lab/sockets/hostile_crowd.h"
#include "lab/sockets/punctual_client.h"
#include "tests/support/single_relay.h"

namespace opalroute::lab {
namespace {

using nlohmann::json;

constexpr double kMaxPeakShare = 0.8;      // of memory_mb, files included
constexpr double kMaxResidentAfter = 1.3;  // times the idle relay, after the clients have left
constexpr Seconds kMemoryReturnedWithin = 5;
constexpr Seconds kCrowdTime = 2.5;
constexpr Seconds kPunctualInterval = 0.05;
constexpr Seconds kTimeBetweenLists = 0.1;
constexpr double kBytesPerKilobyte = 1024;
constexpr double kBytesPerMegabyte = 1e6;
constexpr double kMillisecondsPerSecond = 1000;

#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMeasuresMemory = false;  // the sanitizer's own memory hides the relay's
#else
constexpr bool kMeasuresMemory = true;
#endif

struct RelayLimits {
  int memory_mb = 0;
  int sockets = 0;
};

// A relay with little memory, and a client that keeps to the protocol.
class SmallRelay {
 public:
  explicit SmallRelay(RelayLimits limits)
      : limits_(limits), relay_([limits](json& config) {
          config["limits"]["memory_mb"] = limits.memory_mb;
          config["limits"]["sockets"] = limits.sockets;
        }) {
    punctual_ = std::make_unique<PunctualClient>(relay_.loop(), relay_.process().address(), Fields());
    punctual_->Start(kPunctualInterval);
    relay_.RunFor(0.5);
    idle_bytes_ = ResidentBytes();
  }

  void StartCrowd(const std::vector<HostileKind>& kinds, int clients) {
    crowd_ = std::make_unique<HostileCrowd>(relay_.process().address(), Fields(), kinds, clients);
  }

  void CheckAnswers() {
    relay_.RunFor(kCrowdTime);
    const PunctualClient::Figures& figures = punctual_->figures();
    MESSAGE("slowest answer ", figures.slowest * kMillisecondsPerSecond, " ms, unanswered ",
            figures.unanswered, " of ", figures.sent, ", accepted ", figures.accepted);
    CHECK(figures.unanswered == 0);
    CHECK(figures.other_statuses == 0);
  }

  // Publishes the complete list of that many endpoints, under new ids each time.
  void PublishList(int generation, int endpoints) {
    std::string list = "{\"generation\":" + std::to_string(generation) + ",\"reset\":true,\"instances\":[";
    for (int i = 0; i < endpoints; ++i) {
      list += std::string(i > 0 ? "," : "") + "{\"instanceId\":\"s-" + std::to_string(generation) + "-" +
              std::to_string(i) + "\",\"hostPort\":\"127.0.0.1:" + std::to_string(10'000 + i) +
              "\",\"zone\":\"ground\",\"machineType\":\"small\",\"cell\":" + std::to_string(100 + i / 4) +
              ",\"lifecycle\":\"ready\",\"weight\":1000,\"startedAtMs\":0}";
    }
    relay_.discovery().Publish(list + "]}", list + "]}");
    relay_.RunFor(kTimeBetweenLists);
  }
  void KillAndRestart() { relay_.KillAndRestart(); }
  void CheckPeak() {
    const double peak_mb = PeakMegabytes();
    MESSAGE("peak ", peak_mb, " MB of ", limits_.memory_mb);
    if (kMeasuresMemory) CHECK(peak_mb <= kMaxPeakShare * limits_.memory_mb);
  }

  // The clients leave. The peak includes the time in which the relay reads what they have left behind.
  void CheckMemory() {
    crowd_->Leave();
    const double limit = kMaxResidentAfter * idle_bytes_;
    const auto returned = [&] { return !kMeasuresMemory || ResidentBytes() <= limit; };
    relay_.RunUntil(kMemoryReturnedWithin, returned);
    const double peak_mb = PeakMegabytes();
    MESSAGE("peak ", peak_mb, " MB of ", limits_.memory_mb, ", afterwards ",
            ResidentBytes() / kBytesPerMegabyte, " MB, idle before ", idle_bytes_ / kBytesPerMegabyte);
    if (kMeasuresMemory) CHECK(peak_mb <= kMaxPeakShare * limits_.memory_mb);
    CHECK(returned());
  }

 private:
  static ClientRequestFields Fields() { return {"status", "nord", 7}; }

  double ResidentBytes() {
    return static_cast<double>(relay_.process().Sample()->rss_kb) * kBytesPerKilobyte;
  }
  double PeakMegabytes() {
    const long peak_kb = relay_.process().Sample()->peak_rss_kb;
    return (static_cast<double>(peak_kb) * kBytesPerKilobyte + relay_.StateFolderBytes()) / kBytesPerMegabyte;
  }

  const RelayLimits limits_;
  SingleRelay relay_;
  std::unique_ptr<PunctualClient> punctual_;
  std::unique_ptr<HostileCrowd> crowd_;
  double idle_bytes_ = 0;
};

constexpr int kCrowd = 700;
constexpr int kFloods = 4;

void RunCrowd(RelayLimits limits, const std::vector<HostileKind>& kinds, int clients) {
  std::string names;
  for (const HostileKind kind : kinds) names += std::string(names.empty() ? "" : ", ") + NameOf(kind);
  CAPTURE(names);
  MESSAGE(names, ": ", clients, " clients, ", limits.memory_mb, " MB, ", limits.sockets, " sockets");
  SmallRelay relay(limits);
  relay.StartCrowd(kinds, clients);
  relay.CheckAnswers();
  relay.CheckMemory();
}

// Each kind has its own case below or in the first one.
const std::vector<HostileKind> kCrowdKinds = {HostileKind::kStalledBody,  HostileKind::kStalledChunks,
                                              HostileKind::kSlowBody,     HostileKind::kUnreadResponses,
                                              HostileKind::kLongField,    HostileKind::kManyFields,
                                              HostileKind::kWholeRequests};

TEST_CASE("processes: a crowd of hostile clients exceeds neither memory_mb nor a regular client's patience") {
  for (const int sockets : {1024, 256})
    for (const HostileKind kind : kCrowdKinds)
      if (kind != HostileKind::kUnreadResponses) RunCrowd({32, sockets}, {kind}, kCrowd);
}

TEST_CASE(
    "processes: a mixed crowd of hostile clients exceeds neither memory_mb nor a regular client's patience") {
  for (const int memory_mb : {32, 64, 192}) RunCrowd({memory_mb, 1024}, kCrowdKinds, kCrowd);
}

TEST_CASE("processes: clients that never read exceed neither memory_mb nor a regular client's patience") {
  for (const int sockets : {1024, 256}) RunCrowd({32, sockets}, {HostileKind::kUnreadResponses}, kCrowd);
}

TEST_CASE("processes: a mixed crowd, large endpoint lists and kills together do not exceed memory_mb") {
  constexpr int kEndpoints = 3200;
  constexpr int kLists = 16;
  SmallRelay relay({32, 1024});
  relay.StartCrowd(kCrowdKinds, kCrowd);
  for (int list = 0; list < kLists; ++list) relay.PublishList(100 + list, kEndpoints);
  relay.CheckPeak();
  relay.KillAndRestart();
  for (int list = kLists; list < 2 * kLists; ++list) relay.PublishList(100 + list, kEndpoints);
  relay.CheckPeak();
}

TEST_CASE("processes: clients at full speed neither delay a regular client's answers nor fill the memory") {
  for (const HostileKind kind : {HostileKind::kUnsoundFlood, HostileKind::kSoundFlood})
    RunCrowd({32, 1024}, {kind}, kFloods);
}

}  // namespace
}  // namespace opalroute::lab
