// The health of each zone as seen by one relay's own calls: which of its destinations served the latest call,
// and which failed it. Destinations are counted, not calls, so that a busy destination that fails counts
// once. Does no I/O.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "opalroute/events.h"

namespace opalroute::zone_failover {

// The time of an event that has not happened: earlier than all others.
constexpr Seconds kLongAgo = -1e9;

// How a call failed. kSlow: it was served, but took much longer than usual. Gossip contains the numeric
// values.
enum class FaultKind { kNone, kRejected, kConnectFailed, kReset, kTimeout, kSlow };
constexpr int kFaultKinds = 6;

// The name of a fault in logs and on the operators' pages.
const char* NameOf(FaultKind fault);

// Size of a set of destinations. A hash maps each destination to a bit, so some destinations share one.
constexpr int kDestinationBits = 32;

// One zone, as seen by recent calls.
struct ZoneObservation {
  std::uint32_t succeeded = 0;    // bits of destinations whose latest call was served
  std::uint32_t failed = 0;       // bits of destinations whose latest call failed
  std::uint32_t observed = 0;     // bits of destinations served within `destination_lifetime`
  Seconds success_at = kLongAgo;  // when the latest call that was served had been sent
  Seconds failure_at = kLongAgo;  // when the latest failure was noticed
  FaultKind fault{};              // of the latest failure

  bool ReportsFailure() const { return failed != 0 && failure_at >= success_at; }
};

class ZoneHealthObserver {
 public:
  struct Options {
    Seconds success_lifetime = 1;       // older successes are ignored
    Seconds failure_lifetime = 3;       // older failures are ignored
    Seconds destination_lifetime = 10;  // a destination that served a call counts as observed for this long
    double timeout_factor = 2.5;        // times the mean latency: a call in flight for longer has failed
    double slow_factor = 4;             // times the mean latency: a call served after longer was slow
    Seconds default_timeout = 1;        // a call in flight for longer has failed, while no latency is known
  };

  ZoneHealthObserver(const Options& options, int zones);

  void OnSent(Seconds now, int zone, DestinationId destination, EndpointId endpoint);

  // A call or health check has ended that was sent `duration` ago. Outcomes that say nothing about the
  // endpoint are ignored, and so are timeouts of calls that Tick has already counted.
  void OnEnded(Seconds now, int zone, DestinationId destination, EndpointId endpoint, Outcome outcome,
               Seconds duration);

  // Counts calls that have been in flight for too long as failed.
  void Tick(Seconds now);

  ZoneObservation Observe(Seconds now, int zone) const;
  int zones() const { return static_cast<int>(zones_.size()); }

 private:
  struct Endpoint {
    int zone = 0;
    DestinationId destination = 0;
    Seconds mean_latency = 0;        // moving average of served calls that were not slow; 0: unknown
    std::vector<Seconds> in_flight;  // when each call was sent
  };
  struct LatestCall {
    bool succeeded = false;
    Seconds at = 0;  // when a call that succeeded was sent, or when a failure was noticed
    Seconds success_at = kLongAgo;
  };
  struct Zone {
    std::unordered_map<DestinationId, LatestCall> latest;
    Seconds success_at = kLongAgo;
    Seconds failure_at = kLongAgo;
    FaultKind fault{};
  };

  void DropIdleEndpoints();
  void UpdateLatency(Endpoint& endpoint, Seconds duration);
  bool IsValidZone(int zone) const { return zone >= 0 && zone < zones(); }
  void RecordSuccess(int zone, DestinationId destination, Seconds sent);
  void RecordFailure(Seconds now, int zone, DestinationId destination, FaultKind fault);

  const Options options_;
  std::vector<Zone> zones_;
  std::unordered_map<EndpointId, Endpoint> endpoints_;
  Seconds mean_latency_ = 0;  // as Endpoint::mean_latency, over all endpoints
};

}  // namespace opalroute::zone_failover
