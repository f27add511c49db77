#include "decision/endpoint_health.h"

#include <string>

namespace opalroute::decision {
namespace {

constexpr double kRecentServeWindow = 2;  // overload windows

}  // namespace

EndpointHealth::EndpointHealth(DecisionContext& context, EndpointTable& table, RecoveryBudget& budget,
                               const LatencyEstimator& latency, GossipSender& gossip,
                               RouteHealthReporter& reporter)
    : context_(context),
      table_(table),
      budget_(budget),
      latency_(latency),
      gossip_(gossip),
      reporter_(reporter) {}

bool EndpointHealth::IsInRecovery(Endpoint& endpoint) {
  UpstreamRoute& route = *endpoint.route;
  const bool slow_start_is_over =
      route.health.Update(route.rate_limiter.limit(), endpoint.kind,
                          context_.IsLargeFleet() && endpoint.circuit.IsOpen(), context_, budget_);
  if (slow_start_is_over) endpoint.circuit.CloseIfHalfOpen();
  reporter_.Report(endpoint, slow_start_is_over ? RouteHealthCause::kElapsed : RouteHealthCause::kFailed);
  return route.health.in_recovery() || !endpoint.circuit.IsClosed();
}

void EndpointHealth::DetectStall(Endpoint& endpoint) {
  if (!endpoint.circuit.IsClosed() || endpoint.in_flight_send_times.empty()) return;
  const Seconds oldest = *endpoint.in_flight_send_times.begin();
  const int typical_batch = KindOf(context_.settings, endpoint.kind).max_batch / 2;
  const Seconds timeout = latency_.CallTimeout(endpoint) * BatchLatencyFactor(typical_batch);
  if (endpoint.last_served < oldest && context_.now - oldest > timeout) OpenCircuit(endpoint, false);
}

void EndpointHealth::OpenCircuit(Endpoint& endpoint, bool after_failure) {
  if (endpoint.circuit.IsOpen()) return;
  if (!IsInRecovery(endpoint)) endpoint.route->health.ScheduleFirstTrial(context_.now, budget_);
  endpoint.circuit.Open(context_.now);
  table_.MarkForCheck(endpoint.endpoint);
  reporter_.Report(endpoint, after_failure ? RouteHealthCause::kFailed : RouteHealthCause::kStalled);
  LogState(endpoint, after_failure ? "circuit opened, calls fail" : "circuit opened, no responses");
}

bool EndpointHealth::HasServedRecently(const Endpoint& endpoint) const {
  return endpoint.route->health.last_served() > context_.now - context_.settings.overload_window;
}

// A few failures prove no outage. But in a large fleet each relay may meet an outage with no more than that,
// and what all of them send at its end is too much.
bool EndpointHealth::HasRecovered(const Endpoint& endpoint) const {
  const RouteHealth& health = endpoint.route->health;
  if (context_.IsLargeFleet())
    return health.has_failures() || (endpoint.NeedsTrial() && (health.in_recovery() || health.has_faults()));
  const bool has_failed_long =
      context_.now - endpoint.circuit.opened_at() >= context_.settings.overload_window;
  return endpoint.NeedsTrial() && (health.in_recovery() || (health.has_faults() && has_failed_long));
}

void EndpointHealth::StartSlowStart(Endpoint& endpoint, bool whole_route, RouteHealthCause cause) {
  UpstreamRoute& route = *endpoint.route;
  route.health.StartSlowStart(budget_.InitialTokens(), whole_route, context_.now);
  reporter_.Report(endpoint, cause);
}

void EndpointHealth::OnServed(Endpoint& endpoint, Seconds sent) {
  UpstreamRoute& route = *endpoint.route;
  RouteHealth& health = route.health;
  endpoint.last_served = context_.now;
  endpoint.circuit.OnServed();
  route.rate_limiter.OnServed();
  IsInRecovery(endpoint);  // updates the route's health
  // Calls that hung during an outage, or were in flight when the route started to reject with a long
  // Retry-After, are served late, and for many relays at once. They must not end the suspected outage, or all
  // these relays would call the route at the same time.
  const Seconds window = context_.settings.overload_window;
  const bool has_long_retry_after = route.rate_limiter.retry_after_until() > context_.now + window;
  if (sent < health.fault_at() && (health.IsSuspectedOut() || has_long_retry_after)) return;
  const bool has_recovered = HasRecovered(endpoint);
  const bool needed_trial = endpoint.NeedsTrial();
  const bool whole_route = !HasServedRecently(endpoint) || !needed_trial;
  health.OnServed(sent, context_.now);
  if (has_recovered) {
    StartSlowStart(endpoint, whole_route, RouteHealthCause::kServed);
    if (needed_trial) gossip_.NotifyPeers(endpoint, RouteGossip::Kind::kRecovered);
  }
  if (endpoint.circuit.IsOpen()) CloseCircuits(endpoint, has_recovered);
  reporter_.Report(endpoint, RouteHealthCause::kServed);
}

void EndpointHealth::CloseCircuits(Endpoint& endpoint, bool after_outage) {
  const auto state = after_outage ? CircuitBreaker::State::kHalfOpen : CircuitBreaker::State::kClosed;
  endpoint.circuit.RecoverTo(state);
  LogState(endpoint, after_outage ? "serves calls again, slow start" : "serves calls again, circuit closed");
  for (Endpoint* other : table_.DestinationOf(endpoint).endpoints) {  // opened without failures of their own
    if (other->route == endpoint.route && !other->circuit.has_failures() && other->circuit.IsOpen())
      other->circuit.RecoverTo(state);
    reporter_.Report(*other, RouteHealthCause::kServed);
  }
}

void EndpointHealth::OnRejected(Endpoint& endpoint, Seconds retry_after, Seconds sent) {
  UpstreamRoute& route = *endpoint.route;
  route.health.CountRejection(sent, context_.now);
  const bool is_large_fleet_without_gossip = context_.IsLargeFleet() && !context_.settings.may_gossip;
  if (is_large_fleet_without_gossip) route.health.CountRejectionAsFailure();
  const double capacity = budget_.EstimateCapacity(route.rate_limiter.limit(), endpoint.kind);
  route.rate_limiter.OnRejected(context_,
                                is_large_fleet_without_gossip ? budget_.RejectionSpread(capacity) : 0);
  if (route.rate_limiter.ReduceSendRate(context_))
    gossip_.NotifyPeers(endpoint, RouteGossip::Kind::kRejected);
  // A Retry-After longer than the overload window indicates an outage rather than an exceeded rate limit.
  if (retry_after > context_.settings.overload_window) route.health.CountLongRetryAfter();
  reporter_.Report(endpoint, RouteHealthCause::kRejected);
}

void EndpointHealth::OnFailed(Endpoint& endpoint, bool never_ran, Seconds sent) {
  endpoint.route->health.CountFailure(sent, context_);
  endpoint.RecordOutcome(false);
  reporter_.Report(endpoint, RouteHealthCause::kFailed);
  const Seconds recently = context_.now - kRecentServeWindow * context_.settings.overload_window;
  if (!endpoint.circuit.CountFailure(never_ran, endpoint.last_served > recently)) return;
  OpenCircuit(endpoint, true);
  for (Endpoint* other : table_.DestinationOf(endpoint).endpoints) {  // outages mostly affect whole routes
    if (other->route == endpoint.route && other->last_served <= recently) OpenCircuit(*other, true);
  }
}

void EndpointHealth::LogState(const Endpoint& endpoint, const char* state) {
  context_.Emit(Log{"destination " + std::to_string(endpoint.destination) + ", endpoint " +
                    std::to_string(endpoint.endpoint) + ": " + state});
}

}  // namespace opalroute::decision
