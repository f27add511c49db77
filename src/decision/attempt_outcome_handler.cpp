#include "decision/attempt_outcome_handler.h"

#include <utility>

#include "decision/outcome.h"
#include "decision/recovery_budget.h"

namespace opalroute::decision {

AttemptOutcomeHandler::AttemptOutcomeHandler(DecisionContext& context, EndpointTable& table,
                                             RequestTable& requests, CallTable& calls,
                                             LatencyEstimator& latency, EndpointHealth& health,
                                             GossipSender& gossip, IdleConnections& idle_connections,
                                             RequestLifecycle& lifecycle)
    : context_(context),
      table_(table),
      requests_(requests),
      calls_(calls),
      latency_(latency),
      health_(health),
      gossip_(gossip),
      idle_connections_(idle_connections),
      lifecycle_(lifecycle) {}

void AttemptOutcomeHandler::Handle(const AttemptOutcome& outcome) {
  Request* request = requests_.Find(outcome.request_id);
  if (request == nullptr) return;
  if (outcome.attempt < 0 || outcome.attempt >= static_cast<int>(request->attempts.size())) return;
  Attempt& attempt = request->attempts[outcome.attempt];
  if (!std::exchange(attempt.in_flight, false)) return;
  attempt.may_have_run = !ProvesNeverRan(outcome.outcome);
  attempt.call_continues = outcome.call_continues;
  if (outcome.outcome == Outcome::kLocalShortage) ++request->local_shortages;
  --request->attempts_in_flight;
  Call& call = calls_.At(attempt.call);
  const bool is_first_of_call = !std::exchange(call.has_outcome, true);
  const int batch_size = static_cast<int>(call.attempts.size());
  Endpoint& endpoint =
      table_.EndpointAt(attempt.location.endpoint);  // not removed while a call to it is in flight
  calls_.EndAttempt(attempt.call, table_.FindOrAddDestination(request->destination), endpoint);
  UpdateEndpoint(endpoint, *request, outcome, is_first_of_call, batch_size);
  idle_connections_.OnCallEnded(endpoint);
  lifecycle_.OnAttemptEnded(*request, outcome.outcome, outcome.request_ended);
}

// The requests of a batch usually fail or are rejected together, so only the first outcome of a call counts
// as a failure or rejection of the endpoint and its route. Counted per request, one lost batch would open the
// circuit.
void AttemptOutcomeHandler::UpdateEndpoint(Endpoint& endpoint, const Request& request,
                                           const AttemptOutcome& outcome, bool is_first_of_call,
                                           int batch_size) {
  table_.LearnLimit(endpoint, outcome.load_report.calls_per_second.value_or(0));
  if (outcome.retry_after > 0) {
    endpoint.route->rate_limiter.ExtendRetryAfter(context_.now + outcome.retry_after +
                                                  context_.settings.tick);
  }
  if (outcome.outcome == Outcome::kServed) {
    OnServed(endpoint, request, outcome, batch_size);
  } else if (outcome.outcome == Outcome::kRejected) {
    if (is_first_of_call) OnRejected(endpoint, outcome);
  } else if (outcome.outcome == Outcome::kOutOfConnections) {
    OnOutOfConnections(endpoint);
  } else if (is_first_of_call && !IsInconclusive(outcome.outcome)) {
    OnFailed(endpoint, outcome, batch_size);
  }
}

void AttemptOutcomeHandler::OnServed(Endpoint& endpoint, const Request& request,
                                     const AttemptOutcome& outcome, int batch_size) {
  Destination& destination = table_.DestinationOf(endpoint);
  const RequestClass& request_class = context_.settings.classes[request.request_class];
  endpoint.RecordOutcome(outcome.duration <= request_class.latency_objective);
  latency_.RecordServedCall(endpoint, destination, outcome.duration / BatchLatencyFactor(batch_size));
  destination.hedging.Enable();
  health_.OnServed(endpoint, context_.now - outcome.duration);
}

void AttemptOutcomeHandler::OnRejected(Endpoint& endpoint, const AttemptOutcome& outcome) {
  endpoint.RecordOutcome(false);
  table_.DestinationOf(endpoint).hedging.Disable(context_.now);
  health_.OnRejected(endpoint, outcome.retry_after, context_.now - outcome.duration);
}

// A shortage of connections is neither a rate limit nor an outage: it changes neither the send rate nor the
// route's health.
void AttemptOutcomeHandler::OnOutOfConnections(Endpoint& endpoint) {
  endpoint.RecordOutcome(false);
  const bool is_new = idle_connections_.MarkOutOfConnections(endpoint);
  if (is_new && context_.settings.relay_count > kLargeFleet)
    gossip_.NotifyPeers(endpoint, RouteGossip::Kind::kOutOfConnections);
}

void AttemptOutcomeHandler::OnFailed(Endpoint& endpoint, const AttemptOutcome& outcome, int batch_size) {
  if (outcome.outcome == Outcome::kTimeout)  // raises the mean latency, and so the next timeout
    endpoint.latency.Add(outcome.duration / BatchLatencyFactor(batch_size), context_.now);
  const bool never_ran = outcome.outcome == Outcome::kConnectFailed;
  health_.OnFailed(endpoint, never_ran, context_.now - outcome.duration);
}

}  // namespace opalroute::decision
