// Notifies the other relays of events on upstream routes, limited by a budget.
#pragma once

#include "decision/context.h"
#include "decision/endpoint_table.h"
#include "decision/route_gossip.h"
#include "decision/token_bucket.h"

namespace opalroute::decision {

// Owns the budget for datagrams.
class GossipSender {
 public:
  GossipSender(DecisionContext& context, EndpointTable& table);

  // Sends one datagram to all peers, unless the settings or the budget forbid it.
  void NotifyPeers(const Endpoint& endpoint, RouteGossip::Kind kind);

 private:
  DecisionContext& context_;
  EndpointTable& table_;
  TokenBucket budget_;
};

}  // namespace opalroute::decision
