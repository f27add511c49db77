// The health of each zone as one relay's own calls show it: to which destinations the latest call there
// succeeded, and to which it failed. Destinations are counted, not calls, so that a busy destination that
// fails counts once. Without I/O.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "opalroute/events.h"

namespace opalroute::zone_failover {

// A time before all events, in place of one that never happened.
constexpr Seconds kLongAgo = -1e9;

// How a call failed. kSlow: it was served, much later than usual. The order is part of the gossip's encoding.
enum class FaultKind { kNone, kRejected, kConnectFailed, kReset, kTimeout, kSlow };
constexpr int kFaultKinds = 6;

// The word for it on the operators' pages.
const char* NameOf(FaultKind fault);

// Destinations are told apart by hashes of so many values, one bit each.
constexpr int kDestinationBits = 32;

// One zone, as the calls of the recent past show it.
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
    Seconds success_lifetime = 1;       // an older success says nothing any more
    Seconds failure_lifetime = 3;       // nor does an older failure
    Seconds destination_lifetime = 10;  // destinations that were served are known for so long
    double timeout_factor = 2.5;        // times the usual latency: a call in flight for longer has failed
    double slow_factor = 4;             // times the usual latency: a call served after longer was slow
    Seconds default_latency = 1;        // time until a call has failed while no latency is known
  };

  ZoneHealthObserver(const Options& options, int zones);

  void OnSent(Seconds now, int zone, DestinationId destination, EndpointId endpoint);

  // A call or health check that was sent `duration` ago. Outcomes that say nothing about the endpoint are
  // ignored, and so are time-outs of calls that Tick has counted already.
  void OnEnded(Seconds now, int zone, DestinationId destination, EndpointId endpoint, Outcome outcome,
               Seconds duration);

  // Counts calls that are in flight for too long as failed.
  void Tick(Seconds now);

  ZoneObservation Observe(Seconds now, int zone) const;
  int zones() const { return static_cast<int>(zones_.size()); }

 private:
  struct Endpoint {
    int zone = 0;
    DestinationId destination = 0;
    Seconds latency = 0;             // smoothed, of served calls; 0: unknown
    std::vector<Seconds> in_flight;  // times of sending
  };
  struct LatestCall {
    bool succeeded = false;
    Seconds at = 0;  // a success: when it was sent; a failure: when it was noticed
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
  bool IsKnown(int zone) const { return zone >= 0 && zone < zones(); }
  void RecordSuccess(int zone, DestinationId destination, Seconds sent);
  void RecordFailure(Seconds now, int zone, DestinationId destination, FaultKind fault);

  const Options options_;
  std::vector<Zone> zones_;
  std::unordered_map<EndpointId, Endpoint> endpoints_;
  Seconds latency_ = 0;  // smoothed, of all endpoints; 0: unknown
};

}  // namespace opalroute::zone_failover
