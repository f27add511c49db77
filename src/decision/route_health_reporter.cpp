#include "decision/route_health_reporter.h"

#include <algorithm>

#include "decision/upstream.h"

namespace opalroute::decision {
namespace {

// Further faults change nothing that the next process would do differently.
constexpr int kMaxReportedFaults = 4;

}  // namespace

RouteHealthReporter::RouteHealthReporter(DecisionContext& context, const RecoveryBudget& budget)
    : context_(context), budget_(budget) {}

void RouteHealthReporter::Report(Endpoint& endpoint, RouteHealthCause cause) {
  ReportRoute(endpoint, cause);
  if (!endpoint.HasOwnRoute()) ReportCircuit(endpoint, cause);
}

void RouteHealthReporter::ReportRoute(Endpoint& endpoint, RouteHealthCause cause) {
  RouteHealthChanged change = Describe(endpoint, cause);
  ReportedHealth& reported = endpoint.route->reported;
  const Seconds slow_start_at = endpoint.route->health.slow_start_at();
  const bool is_same_slow_start =
      change.condition != RouteCondition::kSlowStart || slow_start_at == reported.slow_start_at;
  const bool is_same_circuit =
      !endpoint.HasOwnRoute() || change.circuit_open == endpoint.reported_circuit_open;
  if (change.condition == reported.condition && change.faults == reported.faults && is_same_slow_start &&
      is_same_circuit)
    return;
  change.previous = reported.condition;
  reported = {change.condition, change.faults, slow_start_at};
  if (endpoint.HasOwnRoute()) endpoint.reported_circuit_open = change.circuit_open;
  context_.Emit(change);
}

void RouteHealthReporter::ReportCircuit(Endpoint& endpoint, RouteHealthCause cause) {
  if (endpoint.circuit.IsOpen() == endpoint.reported_circuit_open) return;
  endpoint.reported_circuit_open = endpoint.circuit.IsOpen();
  RouteHealthChanged change;
  change.destination = endpoint.destination;
  change.endpoint = endpoint.endpoint;
  change.circuit_open = endpoint.circuit.IsOpen();
  change.age = context_.now - endpoint.circuit.opened_at();
  change.cause = cause;
  change.share_count = context_.share_count;
  context_.Emit(change);
}

RouteHealthChanged RouteHealthReporter::Describe(const Endpoint& endpoint, RouteHealthCause cause) const {
  const UpstreamRoute& route = *endpoint.route;
  RouteHealthChanged change;
  change.destination = endpoint.destination;
  change.endpoint = endpoint.RouteEndpoint();
  change.condition = route.health.Condition(context_);
  change.circuit_open = endpoint.HasOwnRoute() && endpoint.circuit.IsOpen();
  change.faults = std::min(route.health.faults(), kMaxReportedFaults);
  change.age = context_.now - route.health.fault_at();
  change.cause = cause;
  change.share_count = context_.share_count;
  if (change.condition == RouteCondition::kSlowStart) {
    const double limit = route.rate_limiter.limit();
    const Seconds elapsed = context_.now - route.health.slow_start_at();
    change.age = elapsed;
    change.calls_per_second = budget_.SlowStartRate(budget_.EstimateCapacity(limit, endpoint.kind), elapsed);
  }
  return change;
}

}  // namespace opalroute::decision
