#include "decision/endpoint_table.h"

#include <algorithm>

namespace opalroute::decision {

EndpointTable::EndpointTable(DecisionContext& context, RecoveryBudget& budget)
    : context_(context), budget_(budget) {}

void EndpointTable::Apply(const ListUpdate& update) {
  if (update.scope == ListScope::kWatchFailed) return;
  if (update.scope != ListScope::kChanges) {
    for (auto& [id, endpoint] : endpoints_) {  // listed ones get their status back below
      endpoint.status = EndpointStatus::kRemoved;
      MarkForCheck(id);
    }
  }
  for (const ListedEndpoint& entry : update.entries) AddOrUpdate(entry);
}

void EndpointTable::AddOrUpdate(const ListedEndpoint& entry) {
  const auto [it, is_new] = endpoints_.try_emplace(entry.endpoint);
  Endpoint& endpoint = it->second;
  static_cast<ListedEndpoint&>(endpoint) = entry;
  Destination& destination = destinations_[entry.destination];
  destination.id = entry.destination;
  if (is_new) {
    const auto by_id = [](const Endpoint* a, const Endpoint* b) { return a->endpoint < b->endpoint; };
    std::vector<Endpoint*>& endpoints = destination.endpoints;
    endpoints.insert(std::upper_bound(endpoints.begin(), endpoints.end(), &endpoint, by_id), &endpoint);
  }
  if (endpoint.status == EndpointStatus::kRemoved) MarkForCheck(entry.endpoint);
  AssignRoute(endpoint, destination);
  if (context_.settings.listed_rate_accuracy != ListedRateAccuracy::kNone)
    LearnLimit(endpoint, entry.listed_rate);
}

void EndpointTable::AssignRoute(Endpoint& endpoint, Destination& destination) {
  const bool has_own_route = KindOf(context_.settings, endpoint.kind).limits_per_endpoint;
  // Its kind has become known: what was seen of it so far was recorded in the destination's route.
  if (has_own_route && endpoint.route == &destination.route) {
    endpoint.own_route = destination.route;
    endpoint.own_route.reported = {};
  }
  endpoint.route = has_own_route ? &endpoint.own_route : &destination.route;
}

void EndpointTable::LearnLimit(Endpoint& endpoint, double limit) {
  budget_.LearnLimit(endpoint.kind, limit);
  endpoint.route->rate_limiter.LearnLimit(limit, context_);
}

void EndpointTable::Remove(Endpoint& endpoint) {
  Destination& destination = destinations_[endpoint.destination];
  std::vector<Endpoint*>& endpoints = destination.endpoints;
  endpoints.erase(std::find(endpoints.begin(), endpoints.end(), &endpoint));
  destination.load_balancer.Clear();
  RemoveIfUnused(destination);
  endpoints_.erase(EndpointId{endpoint.endpoint});
}

void EndpointTable::RemoveIfUnused(const Destination& destination) {
  if (!destination.endpoints.empty() || destination.requests_held > 0) return;
  destinations_.erase(DestinationId{destination.id});
}

Endpoint* EndpointTable::FindEndpoint(EndpointId id) {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

const Endpoint* EndpointTable::FindEndpoint(EndpointId id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

Destination* EndpointTable::FindDestination(DestinationId id) {
  const auto it = destinations_.find(id);
  return it == destinations_.end() ? nullptr : &it->second;
}

}  // namespace opalroute::decision
