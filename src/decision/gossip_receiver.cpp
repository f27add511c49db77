#include "decision/gossip_receiver.h"

namespace opalroute::decision {

GossipReceiver::GossipReceiver(DecisionContext& context, EndpointTable& table, EndpointHealth& health,
                               IdleConnections& idle_connections)
    : context_(context), table_(table), health_(health), idle_connections_(idle_connections) {}

void GossipReceiver::Handle(const GossipReceived& received) {
  const auto gossip = DecodeRouteGossip(received.payload);
  Destination* destination = gossip ? table_.FindDestination(gossip->destination) : nullptr;
  if (destination == nullptr) return;
  for (Endpoint* endpoint : destination->endpoints) {
    if (gossip->name_hash == endpoint->RouteNameHash()) Apply(gossip->kind, *endpoint);
  }
}

void GossipReceiver::Apply(RouteGossip::Kind kind, Endpoint& endpoint) {
  switch (kind) {
    case RouteGossip::Kind::kRejected:
      endpoint.route->rate_limiter.ReduceSendRate(context_);
      return;
    case RouteGossip::Kind::kOutOfConnections:
      if (idle_connections_.MarkOutOfConnections(endpoint))
        idle_connections_.CloseAtBatchEnd(endpoint.endpoint);
      return;
    case RouteGossip::Kind::kRecovered:
      OnRecovered(endpoint);
      return;
  }
}

void GossipReceiver::OnRecovered(Endpoint& endpoint) {
  if (!endpoint.NeedsTrial() && !endpoint.route->health.has_failures()) return;
  const bool has_started = endpoint.route->health.slow_start_at() == context_.now;  // once per route
  if (!has_started)
    health_.StartSlowStart(endpoint, !health_.HasServedRecently(endpoint), RouteHealthCause::kGossip);
  endpoint.circuit.HalfOpenIfOpen();
}

}  // namespace opalroute::decision
