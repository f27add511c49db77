#include "state_transfer/snapshot_merger.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace opalroute::state_transfer {

double HealthWeight(Seconds age) { return std::exp2(-std::max(0.0, age) / kHealthHalfLife); }

void SnapshotMerger::Add(int donor, const NamedRouteState& heard, Seconds made) {
  const RouteKey key{heard.state.destination, heard.endpoint};
  auto it = routes_.find(key);
  if (it == routes_.end()) {
    if (routes_.size() >= max_routes_) {
      ++tally_.too_many;
      return;
    }
    it = routes_.emplace(key, std::vector<Observation>()).first;
  }
  // A donor that speaks of a lane again has thought better of it.
  for (Observation& told : it->second) {
    if (told.donor != donor) continue;
    told = {donor, made, heard.state};
    return;
  }
  it->second.push_back({donor, made, heard.state});
}

namespace {

void Least(std::optional<Seconds>& to, const std::optional<Seconds>& age) {
  if (age && (!to || *age < *to)) to = age;
}

}  // namespace

// All that was told of one lane as one belief, with its ages as of now; then what still counts of it.
RouteState SnapshotMerger::MergeRoute(const std::vector<Observation>& told, Seconds now) {
  RouteState all;
  for (const Observation& t : told) {
    RouteState b = t.belief;
    if (b.retry_after > options_.max_retry_after) {
      b.retry_after = options_.max_retry_after;
      ++tally_.retry_afters_shortened;
    }
    state_transfer::AgeBy(b, std::max(0.0, now - t.made));
    all.destination = b.destination;
    all.retry_after = std::max(all.retry_after, b.retry_after);
    Least(all.failure_age, b.failure_age);
    Least(all.recovery_age, b.recovery_age);
    Least(all.success_age, b.success_age);
    Least(all.hedging_disabled_age, b.hedging_disabled_age);
    if (b.rejection_age && (!all.rejection_age || b.send_rate < all.send_rate)) {
      all.rejection_age = b.rejection_age;
      all.send_rate = b.send_rate;
    }
    if (b.latency_age && (!all.latency_age || *b.latency_age < *all.latency_age)) {
      all.latency_age = b.latency_age;
      all.latency = b.latency;
    }
  }
  RouteState counts;
  counts.destination = all.destination;
  counts.retry_after = all.retry_after;
  if (all.failure_age && all.success_age && *all.success_age < *all.failure_age) {  // it has come back since
    Least(all.recovery_age, all.success_age);
    all.failure_age.reset();
    ++tally_.contradicted;
  }
  // Danger: an outage that was seen twelve seconds ago may have ended just now. To take it for a slow start
  // under way would let the ramp end long before the partner is warm; a trial finds out, and begins a ramp of
  // its own.
  if (all.failure_age && HealthWeight(*all.failure_age) >= kMinWeight) counts.failure_age = all.failure_age;
  if (all.failure_age && !counts.failure_age) ++tally_.stale;
  if (all.recovery_age && *all.recovery_age < options_.slow_start_duration)
    Least(counts.recovery_age, all.recovery_age);
  if (all.recovery_age && *all.recovery_age >= options_.slow_start_duration) ++tally_.stale;
  if (all.rejection_age && *all.rejection_age <= kSendRateRegained * options_.slow_start_duration) {
    counts.rejection_age = all.rejection_age;
    counts.send_rate = all.send_rate;
  } else if (all.rejection_age) {
    ++tally_.stale;
  }
  if (all.latency_age && *all.latency_age <= kLatencyLifetime) {
    counts.latency_age = all.latency_age;
    counts.latency = all.latency;
  } else if (all.latency_age) {
    ++tally_.stale;
  }
  if (all.hedging_disabled_age && HealthWeight(*all.hedging_disabled_age) >= kHedgingDisabledWeight)
    counts.hedging_disabled_age = all.hedging_disabled_age;
  if (all.hedging_disabled_age && !counts.hedging_disabled_age) ++tally_.stale;
  return counts;
}

std::vector<NamedRouteState> SnapshotMerger::Merge(Seconds now) {
  std::vector<NamedRouteState> decided;
  for (const auto& [lane, Merge] : routes_) {
    const RouteState b = MergeRoute(Merge, now);
    tally_.retry_afters += b.retry_after > 0;
    tally_.outages += b.failure_age.has_value();
    tally_.recoveries += b.recovery_age.has_value();
    tally_.send_rates += b.rejection_age.has_value();
    tally_.latencies += b.latency_age.has_value();
    tally_.hedging_disabled += b.hedging_disabled_age.has_value();
    if (b.retry_after > 0 || b.failure_age || b.recovery_age || b.rejection_age || b.latency_age ||
        b.hedging_disabled_age)
      decided.push_back({lane.second, b});
  }
  routes_.clear();
  return decided;
}

}  // namespace opalroute::state_transfer
