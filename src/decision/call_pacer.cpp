#include "decision/call_pacer.h"

#include <algorithm>

namespace opalroute::decision {

CallPacer::CallPacer(DecisionContext& context, EndpointHealth& health, const RecoveryBudget& budget,
                     const ZoneTraffic& zones)
    : context_(context), health_(health), budget_(budget), zones_(zones) {}

Seconds CallPacer::TimeUntilCall(Endpoint& endpoint) {
  UpstreamRoute& route = *endpoint.route;
  const bool in_recovery = health_.IsInRecovery(endpoint);
  const Seconds wait = route.rate_limiter.TimeUntilCall(in_recovery, context_);
  if (!in_recovery) return wait;
  if (endpoint.NeedsTrial()) return TimeUntilTrial(endpoint, wait);
  const Seconds slow_start_ends = route.health.slow_start_at() + context_.settings.slow_start_duration;
  const Seconds for_token = route.health.TimeUntilSlowStartCall(SlowStartRate(endpoint), context_.now);
  return std::max(wait, std::min(for_token, slow_start_ends - context_.now));
}

// A trial that was not sent in time lapses and is rescheduled, so that overdue trials of many relays do not
// accumulate.
Seconds CallPacer::TimeUntilTrial(Endpoint& endpoint, Seconds wait) {
  RouteHealth& health = endpoint.route->health;
  if (health.next_trial_at() < context_.now - budget_.MaxTrialDelay())
    health.ScheduleTrial(context_.now + wait + TrialInterval(endpoint) * context_.random.Uniform());
  return std::max(wait, health.next_trial_at() - context_.now);
}

// The full interval of the recovery budget applies only if this relay has seen a fault on the route. Without
// one, for example when the circuit opened because of a stall, the interval is at most the overload window.
Seconds CallPacer::TrialInterval(const Endpoint& endpoint) const {
  const UpstreamRoute& route = *endpoint.route;
  const double capacity = budget_.EstimateCapacity(route.rate_limiter.limit(), endpoint.kind);
  const Seconds interval = budget_.TrialInterval(capacity, zones_.RelaysSendingTrials(endpoint.zone));
  const bool has_seen_fault =
      route.health.has_faults() || (context_.IsLargeFleet() && endpoint.circuit.has_failures());
  return has_seen_fault ? interval : std::min(interval, context_.settings.overload_window);
}

double CallPacer::SlowStartRate(const Endpoint& endpoint) const {
  const UpstreamRoute& route = *endpoint.route;
  const double limit = route.rate_limiter.limit();
  const double capacity = budget_.EstimateCapacity(limit, endpoint.kind);
  return budget_.SlowStartRate(capacity, context_.now - route.health.slow_start_at());
}

void CallPacer::Charge(Endpoint& endpoint) {
  UpstreamRoute& route = *endpoint.route;
  route.rate_limiter.Charge();
  if (endpoint.NeedsTrial())
    route.health.ScheduleTrial(context_.now + TrialInterval(endpoint) * context_.random.JitterFactor());
  route.health.Charge(1);
}

}  // namespace opalroute::decision
