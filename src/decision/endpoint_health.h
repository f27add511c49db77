// Moves endpoints and their routes between healthy, suspected outage and slow start, by the outcomes of calls
// and health checks.
#pragma once

#include "decision/context.h"
#include "decision/endpoint_table.h"
#include "decision/gossip_sender.h"
#include "decision/latency_estimator.h"
#include "decision/recovery_budget.h"
#include "decision/route_health_reporter.h"

namespace opalroute::decision {

// Has no state of its own: keeps the states of RouteHealth and CircuitBreaker consistent.
class EndpointHealth {
 public:
  EndpointHealth(DecisionContext& context, EndpointTable& table, RecoveryBudget& budget,
                 const LatencyEstimator& latency, GossipSender& gossip, RouteHealthReporter& reporter);

  // Whether the endpoint may only get recovery trials or calls at the rate of slow start. Updates its state
  // first.
  bool IsInRecovery(Endpoint& endpoint);
  // Opens the circuit if the oldest call in flight takes much longer than usual and nothing has been served
  // since it was sent, whatever the cause.
  void DetectStall(Endpoint& endpoint);
  // Opens the circuit. `after_failure` selects the reason that is logged: failed calls, or no responses.
  void OpenCircuit(Endpoint& endpoint, bool after_failure);
  // Starts slow start on the endpoint's route, which serves calls again: for all of its endpoints, or only
  // for those whose circuits are not closed.
  void StartSlowStart(Endpoint& endpoint, bool whole_route, RouteHealthCause cause);
  // Whether the route has served a call within an overload window.
  bool HasServedRecently(const Endpoint& endpoint) const;

  // Handle the outcome of a call or health check that was sent at `sent`.
  void OnServed(Endpoint& endpoint, Seconds sent);
  void OnRejected(Endpoint& endpoint, Seconds retry_after, Seconds sent);
  void OnFailed(Endpoint& endpoint, bool never_ran, Seconds sent);

 private:
  // Whether a served call, before it is counted, shows that the route was out.
  bool HasRecovered(const Endpoint& endpoint) const;
  void CloseCircuits(Endpoint& endpoint, bool after_outage);
  void LogState(const Endpoint& endpoint, const char* state);

  DecisionContext& context_;
  EndpointTable& table_;
  RecoveryBudget& budget_;
  const LatencyEstimator& latency_;
  GossipSender& gossip_;
  RouteHealthReporter& reporter_;
};

}  // namespace opalroute::decision
