#include "decision/state_transfer.h"

#include <algorithm>

namespace opalroute::decision {
namespace {

std::optional<Seconds> AgeOf(Seconds event, Seconds now) {
  return event > -kNever ? std::optional(now - event) : std::nullopt;
}

Seconds LatestFailure(const Destination& destination, const UpstreamRoute& route) {
  Seconds latest = route.health.IsFailing() ? route.health.fault_at() : -kNever;
  for (const Endpoint* endpoint : destination.endpoints) {
    if (endpoint->route == &route && endpoint->circuit.IsOpen())
      latest = std::max(latest, endpoint->circuit.opened_at());
  }
  return latest;
}

// The latency average of the endpoint's route.
template <typename AnyDestination, typename AnyEndpoint>
auto& RouteLatency(AnyDestination& destination, AnyEndpoint& endpoint) {
  return endpoint.HasOwnRoute() ? endpoint.latency : destination.latency;
}

RouteState ExportRouteState(const Destination& destination, const Endpoint& endpoint, Seconds now) {
  const UpstreamRoute& route = *endpoint.route;
  const RateLimiter& rate_limiter = route.rate_limiter;
  const RouteHealth& health = route.health;
  RouteState state;
  state.destination = destination.id;
  state.endpoint = endpoint.RouteEndpoint();
  state.retry_after = std::max(0.0, rate_limiter.retry_after_until() - now);
  const Seconds failed_at = LatestFailure(destination, route);
  if (health.last_served() < failed_at) state.failure_age = AgeOf(failed_at, now);
  if (health.in_recovery() && health.slow_start_at() < kNever)
    state.recovery_age = AgeOf(health.slow_start_at(), now);
  state.success_age = AgeOf(health.last_served(), now);
  if (rate_limiter.has_limit() && rate_limiter.send_rate() < rate_limiter.limit())
    state.rejection_age = AgeOf(rate_limiter.reduced_at(), now);
  state.send_rate = rate_limiter.send_rate();
  const LatencyAverage& latency = RouteLatency(destination, endpoint);
  state.latency = latency.mean;
  state.latency_age = AgeOf(latency.measured_at, now);
  if (destination.hedging.disabled())
    state.hedging_disabled_age = AgeOf(destination.hedging.disabled_at(), now);
  return state;
}

}  // namespace

std::vector<RouteState> ExportRouteStates(const EndpointTable& table, Seconds now,
                                          std::optional<DestinationId>& from, int max_destinations) {
  std::vector<RouteState> states;
  const auto& destinations = table.destinations();
  auto it = from ? destinations.lower_bound(*from) : destinations.end();
  for (; it != destinations.end() && max_destinations > 0; ++it, --max_destinations) {
    const Destination& destination = it->second;
    for (const Endpoint* endpoint : destination.endpoints) {
      if (endpoint->HasOwnRoute() || endpoint == destination.endpoints.front())
        states.push_back(ExportRouteState(destination, *endpoint, now));
    }
  }
  from = it == destinations.end() ? std::nullopt : std::optional(it->first);
  return states;
}

StateMerger::StateMerger(DecisionContext& context, EndpointTable& table, EndpointHealth& health,
                         RecoveryBudget& budget, const LatencyEstimator& latency,
                         RouteHealthReporter& reporter)
    : context_(context),
      table_(table),
      health_(health),
      budget_(budget),
      latency_(latency),
      reporter_(reporter) {}

void StateMerger::Merge(const TransferredState& transferred) {
  for (const RouteState& state : transferred.routes) {
    Destination* destination = table_.FindDestination(state.destination);
    if (destination == nullptr) continue;
    for (Endpoint* endpoint : destination->endpoints) {
      if (state.endpoint == endpoint->RouteEndpoint()) MergeRoute(*destination, *endpoint, state);
    }
  }
}

void StateMerger::MergeRoute(Destination& destination, Endpoint& endpoint, const RouteState& state) {
  UpstreamRoute& route = *endpoint.route;
  route.rate_limiter.ExtendRetryAfter(context_.now + state.retry_after);
  health_.IsInRecovery(endpoint);  // updates this relay's own suspicion first
  if (!route.health.IsSuspectedOut()) MergeHealth(route.health, state);
  reporter_.Report(endpoint, RouteHealthCause::kTransfer);
  if (state.rejection_age) {
    const Seconds reduced_at = context_.now - *state.rejection_age;
    route.rate_limiter.MergeReduction(state.send_rate, reduced_at, context_);
  }
  if (state.latency_age) {
    const Seconds measured_at = context_.now - *state.latency_age;
    latency_.Merge(RouteLatency(destination, endpoint), state.latency, measured_at);
  }
  if (state.hedging_disabled_age)
    destination.hedging.MergeDisabled(context_.now - *state.hedging_disabled_age);
}

void StateMerger::MergeHealth(RouteHealth& health, const RouteState& state) {
  const Seconds now = context_.now;
  if (state.failure_age && now - *state.failure_age > health.last_served()) {
    health.MergeFailure(now - *state.failure_age, now, budget_);
  } else if (state.recovery_age) {
    health.MergeSlowStart(now - *state.recovery_age, now);
  }
}

}  // namespace opalroute::decision
