// Applies the outcome of an attempt to its endpoint and to its request.
#pragma once

#include "decision/call_table.h"
#include "decision/context.h"
#include "decision/endpoint_health.h"
#include "decision/endpoint_table.h"
#include "decision/gossip_sender.h"
#include "decision/idle_connections.h"
#include "decision/latency_estimator.h"
#include "decision/request_lifecycle.h"
#include "decision/request_table.h"

namespace opalroute::decision {

// Has no state of its own: passes an outcome to the modules that it affects, in a fixed order.
class AttemptOutcomeHandler {
 public:
  AttemptOutcomeHandler(DecisionContext& context, EndpointTable& table, RequestTable& requests,
                        CallTable& calls, LatencyEstimator& latency, EndpointHealth& health,
                        GossipSender& gossip, IdleConnections& idle_connections, RequestLifecycle& lifecycle);

  void Handle(const AttemptOutcome& outcome);

 private:
  void UpdateEndpoint(Endpoint& endpoint, const Request& request, const AttemptOutcome& outcome,
                      bool is_first_of_call, int batch_size);
  void OnServed(Endpoint& endpoint, const Request& request, const AttemptOutcome& outcome, int batch_size);
  void OnRejected(Endpoint& endpoint, const AttemptOutcome& outcome);
  void OnOutOfConnections(Endpoint& endpoint);
  void OnFailed(Endpoint& endpoint, const AttemptOutcome& outcome, int batch_size);

  DecisionContext& context_;
  EndpointTable& table_;
  RequestTable& requests_;
  CallTable& calls_;
  LatencyEstimator& latency_;
  EndpointHealth& health_;
  GossipSender& gossip_;
  IdleConnections& idle_connections_;
  RequestLifecycle& lifecycle_;
};

}  // namespace opalroute::decision
