#include "decision/route_health_recovery.h"

namespace opalroute::decision {

RouteHealthRecovery::RouteHealthRecovery(DecisionContext& context, EndpointTable& table, CallPacer& pacer,
                                         RecoveryBudget& budget, RouteHealthReporter& reporter)
    : context_(context), table_(table), pacer_(pacer), budget_(budget), reporter_(reporter) {}

void RouteHealthRecovery::Apply(const RecoveredRouteHealth& recovered) {
  Destination* destination = table_.FindDestination(recovered.destination);
  if (destination == nullptr) return;
  for (Endpoint* endpoint : destination->endpoints) {
    if (recovered.endpoint == endpoint->RouteEndpoint()) RecoverRoute(*endpoint, recovered);
    if (recovered.endpoint == endpoint->endpoint && recovered.circuit_open) RecoverCircuit(*endpoint);
  }
}

void RouteHealthRecovery::RecoverRoute(Endpoint& endpoint, const RecoveredRouteHealth& recovered) {
  RouteHealth& health = endpoint.route->health;
  if (!health.IsUnobserved()) return;
  const Seconds at = context_.now - recovered.age;
  if (recovered.condition == RouteCondition::kSuspected) {
    health.RecoverOutage(recovered.faults, at);
    ScheduleTrial(endpoint);
  } else if (recovered.condition == RouteCondition::kSlowStart) {
    health.RecoverSlowStart(at, context_.now);
  } else if (recovered.faults > 0 && context_.IsLargeFleet()) {
    health.RecoverFaults(recovered.faults, at);
  }
  reporter_.Report(endpoint, RouteHealthCause::kRecovered);
}

void RouteHealthRecovery::RecoverCircuit(Endpoint& endpoint) {
  if (!endpoint.circuit.IsClosed() || endpoint.last_served > -kNever) return;
  endpoint.circuit.RecoverOpen(context_.now);
  table_.MarkForCheck(endpoint.endpoint);
  ScheduleTrial(endpoint);
  reporter_.Report(endpoint, RouteHealthCause::kRecovered);
}

// All relays may have been restarted at once, so the trials of a large fleet are spread as in the course of
// an outage.
void RouteHealthRecovery::ScheduleTrial(Endpoint& endpoint) {
  const Seconds delay = context_.IsLargeFleet() ? pacer_.TrialInterval(endpoint) * context_.random.Uniform()
                                                : budget_.RandomSoonTrialDelay();
  endpoint.route->health.ScheduleTrial(context_.now + delay);
}

}  // namespace opalroute::decision
