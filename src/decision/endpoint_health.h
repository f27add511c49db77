// Moves endpoints and their routes between served, suspected to be out, recovering and slow start, as calls
// and health checks end.
#pragma once

#include "decision/context.h"
#include "decision/endpoint_table.h"
#include "decision/gossip_sender.h"
#include "decision/latency_estimator.h"
#include "decision/recovery_budget.h"

namespace opalroute::decision {

// Has no state of its own: it moves RouteHealth and CircuitBreaker together.
class EndpointHealth {
 public:
  EndpointHealth(DecisionContext& context, EndpointTable& table, RecoveryBudget& budget,
                 const LatencyEstimator& latency, GossipSender& gossip);

  // Whether calls to the endpoint are limited to recovery trials or slow start. Brings its state up to date.
  bool IsInRecovery(Endpoint& endpoint);
  // Opens the circuit where nothing has come back for much longer than usual, whatever the cause.
  void DetectStall(Endpoint& endpoint);
  // Opens the circuit, after a failure or (false) because nothing comes back.
  void OpenCircuit(Endpoint& endpoint, bool after_failure);
  // Starts the slow start of a route that serves again.
  void StartSlowStart(UpstreamRoute& route);

  // Outcomes of calls and health checks that were sent at `sent`.
  void OnServed(Endpoint& endpoint, Seconds sent);
  void OnRejected(Endpoint& endpoint, Seconds retry_after, Seconds sent);
  void OnFailed(Endpoint& endpoint, bool never_ran, Seconds sent);

 private:
  void CloseCircuits(Endpoint& endpoint, bool after_outage);
  void LogState(const Endpoint& endpoint, const char* state);

  DecisionContext& context_;
  EndpointTable& table_;
  RecoveryBudget& budget_;
  const LatencyEstimator& latency_;
  GossipSender& gossip_;
};

}  // namespace opalroute::decision
