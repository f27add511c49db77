// Merges the route states that other relays or an earlier process have observed: how old each is, and how far
// it is still valid. Pure: no I/O, and the clock is handed in. docs/learning.md has the reasons.
//
//   state                   is applied                       until
//   Retry-After in force    in full, never prolonged         its end, or max_retry_after after it was
//   received failing, age a          as a suspected outage            w = 2^(-a / kHealthHalfLife) <
//   kMinHealthWeight recovering for r        in full                          the end of slow start send rate
//   in full                          kSendRateRecovery of slow start latency                 only to lengthen
//   a timeout       kLatencyLifetime hedging disabled        in full                          w <
//   kMinHedgingWeight
//
// Where two sources contradict each other, the longest Retry-After holds, and a success that one has seen
// after the failure of another makes 'failing' into 'recovering'.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "state_transfer/codec.h"

namespace opalroute::state_transfer {

// The mean remaining duration of an outage that is observed at a random moment.
constexpr Seconds kHealthHalfLife = 8.1;
constexpr double kMinHedgingWeight = 0.5;
constexpr double kMinHealthWeight = 0.1;
// The share of slow start after which a relay would send at its own fair share again.
constexpr double kSendRateRecovery = 0.4;
constexpr Seconds kLatencyLifetime = 60;

// How far an observation of a route's health is still valid: 1 for a new one, 0.006 after a minute.
double HealthWeight(Seconds age);

struct MergeOptions {
  Seconds max_retry_after = 30;
  Seconds slow_start_duration = 13;
};

// Counts of what was merged, for a log line.
struct MergeTally {
  // Routes for which each was applied.
  int retry_afters = 0;
  int outages = 0;
  int recoveries = 0;
  int send_rates = 0;
  int latencies = 0;
  int hedging_disabled = 0;
  // What was left out or changed, and why.
  int stale = 0;
  int out_of_range = 0;
  int retry_afters_shortened = 0;
  int contradicted = 0;
  int too_many = 0;
};

class SnapshotMerger {
 public:
  // Keeps at most `max_routes` routes; further ones are counted and left out.
  SnapshotMerger(const MergeOptions& options, std::size_t max_routes)
      : options_(options), max_routes_(max_routes) {}

  // Adds a route's state as it was at `observed_at` of the caller's clock. A later one from the same `source`
  // replaces it.
  void Add(int source, const NamedRouteState& route, Seconds observed_at);
  void CountOutOfRange(int count) { tally_.out_of_range += count; }

  // What is still valid at `now`, by destination and endpoint. Removes all that was added.
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
  RouteState StillValid(RouteState combined);
  void CountApplied(const RouteState& state);

  const MergeOptions options_;
  const std::size_t max_routes_;
  std::map<RouteKey, std::vector<Observation>> routes_;
  MergeTally tally_;
};

}  // namespace opalroute::state_transfer
