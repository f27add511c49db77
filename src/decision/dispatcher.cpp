#include "decision/dispatcher.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>

#include "decision/health_check.h"

namespace opalroute::decision {
namespace {

constexpr double kShutdownLatencies = 2;           // expected latencies that must fit before the shutdown
constexpr double kDiversionRedrawsPerWindow = 10;  // new draws per overload window

// A destination's position in the dispatch order: fewest calls in flight first, then the least recent call.
struct DispatchPosition {
  int calls_in_flight = 0;
  std::uint64_t latest_call = 0;
  DestinationId id = 0;
  Destination* destination = nullptr;

  explicit DispatchPosition(Destination& of)
      : calls_in_flight(of.calls_in_flight), latest_call(of.latest_call), id(of.id), destination(&of) {}

  bool operator>(const DispatchPosition& other) const {
    return std::tie(calls_in_flight, latest_call, id) >
           std::tie(other.calls_in_flight, other.latest_call, other.id);
  }
};

}  // namespace

Dispatcher::Dispatcher(DecisionContext& context, const RequestQueue& queue, const LatencyEstimator& latency,
                       ZoneTraffic& zones, EndpointHealth& health, CallPacer& pacer, CallTable& calls,
                       CallSender& sender)
    : context_(context),
      queue_(queue),
      latency_(latency),
      zones_(zones),
      health_(health),
      pacer_(pacer),
      calls_(calls),
      sender_(sender) {}

Seconds Dispatcher::Dispatch() {
  Seconds next_due = kNever;
  if (queue_.active_destinations().empty()) return next_due;
  if (calls_.FreeSlots() <= 0) calls_.ReclaimSlot(health_);
  if (calls_.FreeSlots() <= 0) return next_due;
  std::priority_queue<DispatchPosition, std::vector<DispatchPosition>, std::greater<>> order;
  for (const auto& [id, destination] : queue_.active_destinations()) order.emplace(*destination);
  while (!order.empty() && calls_.FreeSlots() > 0) {
    Destination& destination = *order.top().destination;
    order.pop();
    const std::uint64_t latest_call = calls_.latest_call();
    next_due = std::min(next_due, SendOneCall(destination));
    if (calls_.latest_call() > latest_call && destination.waiting_count > 0) order.emplace(destination);
  }
  return next_due;
}

// Returns when to try again if no call could be sent; kNever: a call was sent, or time alone changes nothing.
Seconds Dispatcher::SendOneCall(Destination& destination) {
  const Seconds now = context_.now;
  if (now + kShutdownLatencies * latency_.Expected(destination) >= shutdown_at_) return kNever;
  Seconds next_due = kNever;
  std::vector<Endpoint*> ready;
  for (Endpoint* endpoint : destination.endpoints) {
    if (!endpoint->IsInService()) continue;
    health_.DetectStall(*endpoint);
    const Seconds wait = zones_.IsDiverted(destination, *endpoint)
                             ? context_.settings.overload_window / kDiversionRedrawsPerWindow
                             : pacer_.TimeUntilCall(*endpoint);
    if (wait > 0) {
      next_due = std::min(next_due, now + wait);
    } else if (endpoint->circuit.IsOpen()) {
      if (!MaySendTrial(destination, *endpoint)) continue;
      sender_.SendCall(destination, {endpoint, nullptr});
      return kNever;
    } else if (calls_.MayOpenCall(*endpoint)) {
      ready.push_back(endpoint);
    }
  }
  const auto bucket = queue_.BestBucket(destination, ready, false);
  if (!bucket) return next_due;
  sender_.SendCall(destination,
                   destination.load_balancer.PickEndpoints(ready, bucket->scope, context_.random));
  return kNever;
}

bool Dispatcher::MaySendTrial(const Destination& destination, Endpoint& endpoint) const {
  if (NeedsHealthCheck(endpoint, context_.settings)) return false;  // recovers by health checks instead
  return calls_.MayOpenCall(endpoint) && queue_.BestBucket(destination, {&endpoint}, true);
}

}  // namespace opalroute::decision
