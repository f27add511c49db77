#include "decision/endpoint_health.h"

#include <string>

namespace opalroute::decision {
namespace {

constexpr double kServedLately = 2;  // overload windows

}  // namespace

EndpointHealth::EndpointHealth(DecisionContext& context, EndpointTable& table, RecoveryBudget& budget,
                               const LatencyEstimator& latency, GossipSender& gossip)
    : context_(context), table_(table), budget_(budget), latency_(latency), gossip_(gossip) {}

bool EndpointHealth::IsInRecovery(Endpoint& endpoint) {
  UpstreamRoute& route = *endpoint.route;
  const bool slow_start_is_over =
      route.health.Update(route.rate_limiter.limit(), endpoint.kind, context_, budget_);
  if (slow_start_is_over) endpoint.circuit.CloseIfHalfOpen();
  return route.health.in_recovery() || !endpoint.circuit.IsClosed();
}

void EndpointHealth::DetectStall(Endpoint& endpoint) {
  if (!endpoint.circuit.IsClosed() || endpoint.in_flight.empty()) return;
  const Seconds oldest = *endpoint.in_flight.begin();
  const int typical_batch = context_.settings.kinds[endpoint.kind].max_batch / 2;
  const Seconds timeout = latency_.CallTimeout(endpoint) * BatchLatencyFactor(typical_batch);
  if (endpoint.last_served < oldest && context_.now - oldest > timeout) OpenCircuit(endpoint, false);
}

void EndpointHealth::OpenCircuit(Endpoint& endpoint, bool after_failure) {
  if (endpoint.circuit.IsOpen()) return;
  if (!IsInRecovery(endpoint)) endpoint.route->health.ScheduleFirstTrial(context_.now, budget_);
  endpoint.circuit.Open(context_.now);
  table_.AddToMaintenance(endpoint.endpoint);
  LogState(endpoint, after_failure ? "circuit open, calls fail" : "circuit open, nothing comes back");
}

void EndpointHealth::StartSlowStart(UpstreamRoute& route) {
  const double initial_tokens = budget_.InitialTokens(route.rate_limiter.limit());
  route.health.StartSlowStart(initial_tokens, context_.now);
}

void EndpointHealth::OnServed(Endpoint& endpoint, Seconds sent) {
  UpstreamRoute& route = *endpoint.route;
  RouteHealth& health = route.health;
  endpoint.last_served = context_.now;
  endpoint.circuit.OnServed();
  route.rate_limiter.OnServed();
  IsInRecovery(endpoint);  // brings the suspicion up to date
  // Calls that hung in an outage, or were in flight as a route closed, are served late and to many relays at
  // once. They must not end the suspicion, else all these relays would call the route together.
  const Seconds window = context_.settings.overload_window;
  const bool is_closed = route.rate_limiter.retry_after_until() > context_.now + window;
  if (sent < health.fault_at() && (health.IsSuspectedOut() || is_closed)) return;
  const bool was_out =
      health.in_recovery() || (health.has_faults() && context_.now - endpoint.circuit.opened_at() >= window);
  const bool has_recovered = was_out && endpoint.NeedsTrial();
  health.OnServed(context_.now);
  if (has_recovered) {
    StartSlowStart(route);
    gossip_.Notify(endpoint, RouteGossip::Kind::kRecovered);
  }
  if (endpoint.circuit.IsOpen()) CloseCircuits(endpoint, has_recovered);
}

void EndpointHealth::CloseCircuits(Endpoint& endpoint, bool after_outage) {
  const auto state = after_outage ? CircuitBreaker::State::kHalfOpen : CircuitBreaker::State::kClosed;
  endpoint.circuit.SetRecovered(state);
  LogState(endpoint, after_outage ? "served again, slow start" : "served again, circuit closed");
  for (Endpoint* other : table_.DestinationOf(endpoint).endpoints) {  // those that were only suspected
    if (other->route == endpoint.route && !other->circuit.has_failures() && other->circuit.IsOpen())
      other->circuit.SetRecovered(state);
  }
}

void EndpointHealth::OnRejected(Endpoint& endpoint, Seconds retry_after, Seconds sent) {
  UpstreamRoute& route = *endpoint.route;
  route.health.CountFault(sent, context_.now);
  route.rate_limiter.OnRejected(context_);
  if (route.rate_limiter.ReduceSendRate(context_)) gossip_.Notify(endpoint, RouteGossip::Kind::kRejected);
  // A route that is closed rejects like a full limit, but for longer.
  if (retry_after > context_.settings.overload_window) route.health.CountLongRetryAfter();
}

void EndpointHealth::OnFailed(Endpoint& endpoint, bool never_ran, Seconds sent) {
  endpoint.route->health.CountFault(sent, context_.now);
  endpoint.RecordOutcome(false);
  const Seconds lately = context_.now - kServedLately * context_.settings.overload_window;
  if (!endpoint.circuit.CountFailure(never_ran, endpoint.last_served > lately)) return;
  OpenCircuit(endpoint, true);
  for (Endpoint* other : table_.DestinationOf(endpoint).endpoints) {  // an outage mostly takes a whole route
    if (other->route == endpoint.route && other->last_served <= lately) OpenCircuit(*other, true);
  }
}

void EndpointHealth::LogState(const Endpoint& endpoint, const char* state) {
  context_.Emit(Log{"destination " + std::to_string(endpoint.destination) + ", endpoint " +
                    std::to_string(endpoint.endpoint) + ": " + state});
}

}  // namespace opalroute::decision
