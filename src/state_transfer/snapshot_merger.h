// Merges the route states that other relays or an earlier process observed, and drops what is too old to be
// valid. Does no I/O; the caller passes in the time. docs/learning.md gives the reasons.
//
//   state                   is applied                    until
//   Retry-After in force    in full, never prolonged      its end, or max_retry_after after its observation
//   failing, age a          as a suspected outage         w = 2^(-a / kHealthHalfLife) < kMinHealthWeight
//   recovering              in full                       the end of slow start
//   send rate               in full                       kSendRateRecovery * slow_start_duration
//   latency                 only to lengthen a timeout    kLatencyLifetime
//   hedging disabled        in full                       w < kMinHedgingWeight
//
// Where sources contradict each other, the longest Retry-After and the lowest send rate hold, and a success
// that one source observed after the failure of another turns 'failing' into 'recovering'.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "state_transfer/codec.h"

namespace opalroute::state_transfer {

// The mean remaining duration of an outage that is observed at a random moment, in seconds.
constexpr Seconds kHealthHalfLife = 8.1;
constexpr double kMinHedgingWeight = 0.5;
constexpr double kMinHealthWeight = 0.1;
// The fraction of slow start after which a relay would be back at its fair share of the rate limit.
constexpr double kSendRateRecovery = 0.4;
constexpr Seconds kLatencyLifetime = 60;

// The weight of an observation of a route's health by its age: 1 for a new one, 0.006 after a minute.
double HealthWeight(Seconds age);

struct MergeOptions {
  Seconds max_retry_after = 30;
  Seconds slow_start_duration = 13;
};

// Counts for the log line about a merge.
struct MergeTally {
  // Routes with a valid state of each kind.
  int retry_afters = 0;
  int outages = 0;
  int recoveries = 0;
  int send_rates = 0;
  int latencies = 0;
  int hedging_disabled = 0;
  // What was dropped or changed, by reason.
  int stale = 0;
  int out_of_range = 0;
  int retry_afters_shortened = 0;
  int contradicted = 0;
  int too_many = 0;
};

class SnapshotMerger {
 public:
  // Keeps at most `max_routes` routes; further ones are counted and dropped.
  SnapshotMerger(const MergeOptions& options, std::size_t max_routes)
      : options_(options), max_routes_(max_routes) {}

  // Adds a route's state as of `observed_at` on the caller's clock. It replaces an earlier state of this
  // route from the same `source`.
  void Add(int source, const NamedRouteState& route, Seconds observed_at);
  void CountOutOfRange(int count) { tally_.out_of_range += count; }

  // Returns what is still valid at `now`, ordered by destination and endpoint, and removes all that was
  // added.
  std::vector<NamedRouteState> Merge(Seconds now);
  const MergeTally& tally() const { return tally_; }
  std::size_t route_count() const { return routes_.size(); }

 private:
  struct Observation {
    int source = 0;
    Seconds observed_at = 0;
    RouteState state;
  };
  using RouteKey = std::pair<DestinationId, std::string>;

  RouteState Combine(const std::vector<Observation>& observations, Seconds now);
  RouteState RemoveStale(RouteState combined);
  void CountValid(const RouteState& state);

  const MergeOptions options_;
  const std::size_t max_routes_;
  std::map<RouteKey, std::vector<Observation>> routes_;
  MergeTally tally_;
};

}  // namespace opalroute::state_transfer
