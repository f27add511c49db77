#include "decision/health_check.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "decision/outcome.h"

namespace opalroute::decision {

bool IsHealthChecked(const Endpoint& endpoint, const Settings& settings) {
  return settings.may_health_check && !endpoint.health_check_in_flight &&
         !endpoint.circuit.latest_never_ran();
}

HealthChecker::HealthChecker(DecisionContext& context, EndpointTable& table, EndpointHealth& health,
                             CallPacer& pacer, ZoneTraffic& zones)
    : context_(context), table_(table), health_(health), pacer_(pacer), zones_(zones) {}

Seconds HealthChecker::OnBatchEnd() {
  Seconds next_due = kNever;
  std::set<EndpointId>& under_maintenance = table_.under_maintenance();
  for (auto it = under_maintenance.begin(); it != under_maintenance.end();) {
    Endpoint& endpoint = table_.EndpointAt(*it);
    const bool is_removed = endpoint.status == EndpointStatus::kRemoved;
    const bool is_done = is_removed ? endpoint.in_flight.empty() && !endpoint.health_check_in_flight
                                    : !endpoint.circuit.IsOpen();
    if (!is_done && !is_removed) next_due = std::min(next_due, CheckIfDue(endpoint));
    if (is_done && is_removed) table_.Remove(endpoint);
    it = is_done ? under_maintenance.erase(it) : std::next(it);
  }
  return next_due;
}

Seconds HealthChecker::CheckIfDue(Endpoint& endpoint) {
  if (!IsHealthChecked(endpoint, context_.settings) || !endpoint.IsInService()) return kNever;
  if (zones_.IsDiverted(table_.DestinationOf(endpoint), endpoint)) return kNever;
  const Seconds wait = pacer_.TimeUntilCall(endpoint);
  if (wait > 0) return context_.now + wait;
  endpoint.health_check_in_flight = true;
  pacer_.Charge(endpoint);
  context_.Emit(HealthCheck{endpoint.endpoint});
  return kNever;
}

void HealthChecker::OnOutcome(const HealthCheckOutcome& outcome) {
  Endpoint* endpoint = table_.FindEndpoint(outcome.endpoint);
  if (endpoint == nullptr) return;
  endpoint->health_check_in_flight = false;
  if (IsInconclusive(outcome.outcome)) return;
  table_.LearnLimit(*endpoint, outcome.load_report.calls_per_second.value_or(0));
  const Seconds sent = context_.now - outcome.duration;
  if (outcome.outcome == Outcome::kServed && endpoint->circuit.IsOpen()) {
    endpoint->circuit.HalfOpenIfOpen();  // a health check shows little: calls start slowly
    health_.StartSlowStart(*endpoint->route);
  } else if (outcome.outcome == Outcome::kRejected) {
    health_.OnRejected(*endpoint, 0, sent);
  } else if (outcome.outcome != Outcome::kServed) {
    health_.OnFailed(*endpoint, false, sent);
  }
}

}  // namespace opalroute::decision
