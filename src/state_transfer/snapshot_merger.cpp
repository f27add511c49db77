#include "state_transfer/snapshot_merger.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace opalroute::state_transfer {

namespace {

void KeepYounger(std::optional<Seconds>& age, const std::optional<Seconds>& other) {
  if (other && (!age || *other < *age)) age = other;
}

// Returns the age if there is one and it is still valid. An age that is no longer valid is counted as stale.
template <typename Predicate>
std::optional<Seconds> IfValid(const std::optional<Seconds>& age, MergeTally& tally,
                               const Predicate& is_valid) {
  if (!age || is_valid(*age)) return age;
  ++tally.stale;
  return std::nullopt;
}

// Combines the state of a route that one source observed with that of the sources before it.
void AddTo(RouteState& combined, const RouteState& state) {
  combined.destination = state.destination;
  combined.retry_after = std::max(combined.retry_after, state.retry_after);
  KeepYounger(combined.failure_age, state.failure_age);
  KeepYounger(combined.recovery_age, state.recovery_age);
  KeepYounger(combined.success_age, state.success_age);
  KeepYounger(combined.hedging_disabled_age, state.hedging_disabled_age);
  if (state.rejection_age && (!combined.rejection_age || state.send_rate < combined.send_rate)) {
    combined.rejection_age = state.rejection_age;
    combined.send_rate = state.send_rate;
  }
  if (state.latency_age && (!combined.latency_age || *state.latency_age < *combined.latency_age)) {
    combined.latency_age = state.latency_age;
    combined.latency = state.latency;
  }
}

bool HasEffect(const RouteState& state) {
  return state.retry_after > 0 || state.failure_age || state.recovery_age || state.rejection_age ||
         state.latency_age || state.hedging_disabled_age;
}

}  // namespace

double HealthWeight(Seconds age) { return std::exp2(-std::max(0.0, age) / kHealthHalfLife); }

void SnapshotMerger::Add(int source, const NamedRouteState& route, Seconds observed_at) {
  const RouteKey key{route.state.destination, route.endpoint};
  auto it = routes_.find(key);
  if (it == routes_.end()) {
    if (routes_.size() >= max_routes_) {
      ++tally_.too_many;
      return;
    }
    it = routes_.emplace(key, std::vector<Observation>()).first;
  }
  std::vector<Observation>& observations = it->second;
  const auto earlier =
      std::find_if(observations.begin(), observations.end(),
                   [source](const Observation& observation) { return observation.source == source; });
  if (earlier != observations.end()) {
    *earlier = {source, observed_at, route.state};
  } else {
    observations.push_back({source, observed_at, route.state});
  }
}

// Combines all observations of a route into one state with ages as of `now`.
RouteState SnapshotMerger::Combine(const std::vector<Observation>& observations, Seconds now) {
  RouteState combined;
  for (const Observation& observation : observations) {
    RouteState state = observation.state;
    if (state.retry_after > options_.max_retry_after) {
      state.retry_after = options_.max_retry_after;
      ++tally_.retry_afters_shortened;
    }
    AgeBy(state, std::max(0.0, now - observation.observed_at));
    AddTo(combined, state);
  }
  return combined;
}

RouteState SnapshotMerger::RemoveStale(RouteState combined) {
  const bool has_recovered =
      combined.failure_age && combined.success_age && *combined.success_age < *combined.failure_age;
  if (has_recovered) {
    KeepYounger(combined.recovery_age, combined.success_age);
    combined.failure_age.reset();
    ++tally_.contradicted;
  }
  const auto has_weight = [](double min_weight) {
    return [min_weight](Seconds age) { return HealthWeight(age) >= min_weight; };
  };
  const auto is_within = [](Seconds lifetime) { return [lifetime](Seconds age) { return age <= lifetime; }; };
  RouteState valid;
  valid.destination = combined.destination;
  valid.retry_after = combined.retry_after;
  // A failure stays a failure however old it is, and is never turned into a slow start that began at that
  // time: the outage may have ended only now, and such a slow start would end before the endpoint has warmed
  // up. A recovery trial shows whether the outage is over, and then starts a new slow start.
  valid.failure_age = IfValid(combined.failure_age, tally_, has_weight(kMinHealthWeight));
  valid.recovery_age = IfValid(combined.recovery_age, tally_,
                               [this](Seconds age) { return age < options_.slow_start_duration; });
  valid.rejection_age =
      IfValid(combined.rejection_age, tally_, is_within(kSendRateRecovery * options_.slow_start_duration));
  if (valid.rejection_age) valid.send_rate = combined.send_rate;
  valid.latency_age = IfValid(combined.latency_age, tally_, is_within(kLatencyLifetime));
  if (valid.latency_age) valid.latency = combined.latency;
  valid.hedging_disabled_age = IfValid(combined.hedging_disabled_age, tally_, has_weight(kMinHedgingWeight));
  return valid;
}

void SnapshotMerger::CountValid(const RouteState& state) {
  if (state.retry_after > 0) ++tally_.retry_afters;
  if (state.failure_age) ++tally_.outages;
  if (state.recovery_age) ++tally_.recoveries;
  if (state.rejection_age) ++tally_.send_rates;
  if (state.latency_age) ++tally_.latencies;
  if (state.hedging_disabled_age) ++tally_.hedging_disabled;
}

std::vector<NamedRouteState> SnapshotMerger::Merge(Seconds now) {
  std::vector<NamedRouteState> merged;
  for (const auto& [key, observations] : routes_) {
    const RouteState state = RemoveStale(Combine(observations, now));
    CountValid(state);
    if (HasEffect(state)) merged.push_back({key.second, state});
  }
  routes_.clear();
  return merged;
}

}  // namespace opalroute::state_transfer
