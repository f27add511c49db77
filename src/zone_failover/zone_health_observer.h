// What one relay's own calls say of each zone: whose latest call there went well and whose did not. Partners
// are told apart, calls are not counted: a busy partner that fails is one partner. Pure.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "opalroute/events.h"

namespace opalroute::zone_failover {

// How a call ended that was not served; which of them most of a zone's are names its trouble.
enum class FaultKind { kNone, kRejected, kConnectFailed, kReset, kTimeout, kSlow };
const char* NameOf(FaultKind wrong);

constexpr int kDestinationBits = 32;  // partners are told apart by so many bits

// Of one zone, within `fresh`.
struct ZoneObservation {
  std::uint32_t succeeded = 0, failed = 0;  // partners by the latest word of each
  std::uint32_t observed = 0;               // partners that were served within `remembered`
  Seconds success_at = -1e9;                // the latest call that was served, by when it was sent
  Seconds failure_at = -1e9;                // the latest that was not, by when that was known
  FaultKind fault{};                        // of the latest
  bool ReportsFailure() const { return failed != 0 && failure_at >= success_at; }
};

class ZoneHealthObserver {
 public:
  struct Options {
    Seconds success_lifetime = 1;       // an older call that was served says nothing any more ...
    Seconds failure_lifetime = 3;       // ... nor one that was not, with nothing served since
    Seconds destination_lifetime = 10;  // partners that were served here are known for so long
    double timeout_factor = 2.5;        // usual times of a call; still out then, it counts as silent
    double slow_factor = 4;             // and served after so many as slow
    Seconds default_latency = 1;        // the same where no time is known at all
  };
  ZoneHealthObserver(const Options& rules, int zones)
      : options_(rules), zones_(static_cast<std::size_t>(zones)) {}

  void OnSent(Seconds now, int zone, DestinationId destination, EndpointId endpoint);
  // A call or probe that had been sent there so long ago. Those that say nothing of the endpoint are passed
  // over.
  void OnEnded(Seconds now, int zone, DestinationId destination, EndpointId endpoint, Outcome outcome,
               Seconds duration);
  // Notices what stays out too long.
  void Tick(Seconds now);
  ZoneObservation Observe(Seconds now, int zone) const;
  int zones() const { return static_cast<int>(zones_.size()); }

 private:
  struct Endpoint {
    int zone = 0;
    DestinationId destination = 0;
    Seconds latency = 0;  // smoothed time of a served call
    std::vector<Seconds> in_flight;
  };
  struct Latest {
    bool succeeded = false;
    Seconds at = 0;
    Seconds last_success = -1e9;
  };
  struct Zone {
    std::unordered_map<DestinationId, Latest> latest;
    Seconds success_at = -1e9, failure_at = -1e9;
    FaultKind fault{};
  };
  void Record(Seconds now, int zone, DestinationId destination, Seconds sent, FaultKind wrong);

  const Options options_;
  std::vector<Zone> zones_;
  std::unordered_map<EndpointId, Endpoint> endpoints_;
  Seconds latency_ = 0;  // of all
};

}  // namespace opalroute::zone_failover
