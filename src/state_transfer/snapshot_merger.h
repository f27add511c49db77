// Judges what a relay is handed of others' beliefs: how old each is, and what it still counts for. Pure: no
// I/O, the clock is handed in. docs/learning.md has the reasons.
//
//   belief              counts                       until
//   wait in force       in full, never stretched     its end, or longest_wait after it was told
//   out since a         doubt: one call tries first  w = 2^(-a / 8.1 s) < 0.1, which is 27 s
//   back since r        in full                      the ramp's end
//   pace after refusal  in full                      0.4 of the ramp: by then it is regained
//   latency             only as patience             60 s
//   copies barred       in full                      w < 1/2, which is 8.1 s
//
// Two donors that contradict: for a wait the longest counts; a served call that one has seen after the bad
// outcome of another makes 'out' into 'back'.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "state_transfer/codec.h"

namespace opalroute::state_transfer {

// The mean rest of an outage that is met at any moment, for outages of 6.5 to 23 s (the operators' brief, 2.2
// and 2.3): E[L^2] / 2E[L] = 8.1 s.
constexpr Seconds kHealthHalfLife = 8.1;
constexpr double kHedgingDisabledWeight = 0.5;
constexpr double kMinWeight = 0.1;
constexpr double kSendRateRegained = 0.4;  // of the ramp: after it the module allows its even share again
constexpr Seconds kLatencyLifetime = 60;

// 1 for what was seen just now, next to nothing (0.006) after a minute.
double HealthWeight(Seconds age);

struct MergeOptions {
  Seconds max_retry_after = 30;
  Seconds slow_start_duration = 13;
};

// Why a belief was left out, or how much of it counted; printed in one log line.
struct MergeTally {
  int retry_afters = 0, outages = 0, recoveries = 0, send_rates = 0, latencies = 0,
      hedging_disabled = 0;  // taken
  int stale = 0, out_of_range = 0, retry_afters_shortened = 0, contradicted = 0, too_many = 0;
};

class SnapshotMerger {
 public:
  // Keeps at most `most` lanes: what comes beyond is counted and left out.
  SnapshotMerger(const MergeOptions& rules, std::size_t most) : options_(rules), max_routes_(most) {}

  // A belief as it was at the time `made`, by the caller's clock. `donor` tells the sources apart.
  void Add(int donor, const NamedRouteState& heard, Seconds made);
  void CountOutOfRange(int count) { tally_.out_of_range += count; }

  // What of all this counts now. Every belief is weighed on its own lane.
  std::vector<NamedRouteState> Merge(Seconds now);
  const MergeTally& tally() const { return tally_; }
  std::size_t route_count() const { return routes_.size(); }

 private:
  struct Observation {
    int donor;
    Seconds made;
    RouteState belief;
  };
  using RouteKey = std::pair<DestinationId, std::string>;
  RouteState MergeRoute(const std::vector<Observation>& told, Seconds now);

  const MergeOptions options_;
  const std::size_t max_routes_;
  std::map<RouteKey, std::vector<Observation>> routes_;
  MergeTally tally_;
};

}  // namespace opalroute::state_transfer
