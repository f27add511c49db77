// Applies another relay's datagram about an upstream route.
#pragma once

#include "decision/context.h"
#include "decision/endpoint_health.h"
#include "decision/endpoint_table.h"
#include "decision/idle_connections.h"
#include "decision/route_gossip.h"

namespace opalroute::decision {

// Has no state of its own.
class GossipReceiver {
 public:
  GossipReceiver(DecisionContext& context, EndpointTable& table, EndpointHealth& health,
                 IdleConnections& idle_connections);

  void Handle(const GossipReceived& received);

 private:
  void OnRecovered(Endpoint& endpoint);
  void Apply(RouteGossip::Kind kind, Endpoint& endpoint);

  DecisionContext& context_;
  EndpointTable& table_;
  EndpointHealth& health_;
  IdleConnections& idle_connections_;
};

}  // namespace opalroute::decision
