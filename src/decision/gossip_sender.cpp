#include "decision/gossip_sender.h"

#include "decision/rate_limiter.h"

namespace opalroute::decision {
namespace {

constexpr double kBurst = 2;  // datagrams

}  // namespace

GossipSender::GossipSender(DecisionContext& context, EndpointTable& table)
    : context_(context), table_(table), budget_{kBurst, 0} {}

// One datagram saves each of hundreds of relays a rejected call of its own. If relays cannot reach one
// another, each notifies all of them, so the budget allows a relay only its share of one datagram per
// endpoint and rate control span.
void GossipSender::NotifyPeers(const Endpoint& endpoint, RouteGossip::Kind kind) {
  const Settings& settings = context_.settings;
  const double rate = static_cast<int>(table_.endpoints().size()) /
                      (settings.relay_count * kRateControlSpan * settings.overload_window);
  budget_.Refill(context_.now, rate, kBurst);
  if (!settings.may_gossip || settings.relay_count <= 1 || !budget_.TryTake()) return;
  const RouteGossip gossip{kind, endpoint.destination, endpoint.RouteNameHash()};
  context_.Emit(SendGossip{{}, EncodeRouteGossip(gossip)});
}

}  // namespace opalroute::decision
