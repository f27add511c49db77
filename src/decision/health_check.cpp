#include "decision/health_check.h"

#include <algorithm>
#include <set>

#include "decision/outcome.h"

namespace opalroute::decision {
namespace {

// Whether the endpoint has to be looked at again in the next batch: a removed endpoint until its last call
// has ended, any other until its circuit is no longer open.
bool MustStayMarked(const Endpoint& endpoint) {
  if (endpoint.status != EndpointStatus::kRemoved) return endpoint.circuit.IsOpen();
  return !endpoint.in_flight_send_times.empty() || endpoint.health_check_in_flight;
}

}  // namespace

bool NeedsHealthCheck(const Endpoint& endpoint, const Settings& settings) {
  return settings.may_health_check && !endpoint.health_check_in_flight &&
         !endpoint.circuit.last_failure_never_ran();
}

HealthChecker::HealthChecker(DecisionContext& context, EndpointTable& table, EndpointHealth& health,
                             CallPacer& pacer, ZoneTraffic& zones)
    : context_(context), table_(table), health_(health), pacer_(pacer), zones_(zones) {}

Seconds HealthChecker::OnBatchEnd() {
  Seconds next_due = kNever;
  std::set<EndpointId>& marked = table_.endpoints_to_check();
  for (auto it = marked.begin(); it != marked.end();) {
    Endpoint& endpoint = table_.EndpointAt(*it);
    if (MustStayMarked(endpoint)) {
      if (NeedsHealthCheck(endpoint, context_.settings) && endpoint.IsInService())
        next_due = std::min(next_due, CheckIfDue(endpoint));
      ++it;
    } else {
      if (endpoint.status == EndpointStatus::kRemoved) table_.Remove(endpoint);
      it = marked.erase(it);
    }
  }
  return next_due;
}

Seconds HealthChecker::CheckIfDue(Endpoint& endpoint) {
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
    endpoint->circuit.HalfOpenIfOpen();  // a passed health check proves little, so calls start slowly
    health_.StartSlowStart(*endpoint, !health_.HasServedRecently(*endpoint), RouteHealthCause::kServed);
  } else if (outcome.outcome == Outcome::kRejected) {
    health_.OnRejected(*endpoint, 0, sent);
  } else if (outcome.outcome != Outcome::kServed) {
    health_.OnFailed(*endpoint, false, sent);
  }
}

}  // namespace opalroute::decision
