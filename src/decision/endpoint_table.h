// The endpoints and destinations that the router knows.
#pragma once

#include <map>
#include <set>

#include "decision/context.h"
#include "decision/recovery_budget.h"
#include "decision/upstream.h"
#include "opalroute/events.h"

namespace opalroute::decision {

// Owns the endpoints and destinations. Their parts that belong to other modules are changed by those modules
// only.
class EndpointTable {
 public:
  EndpointTable(DecisionContext& context, RecoveryBudget& budget);

  void Apply(const ListUpdate& update);
  // Sets the rate limit of the endpoint's route, in calls per second, as listed or reported by the endpoint;
  // 0: not known, which changes nothing.
  void LearnLimit(Endpoint& endpoint, double limit);
  // Removes an endpoint, which must have no calls in flight.
  void Remove(Endpoint& endpoint);
  // Removes the destination if it has neither endpoints nor held requests.
  void RemoveIfUnused(const Destination& destination);
  // Adds an endpoint whose status is removed or whose circuit has opened to those that HealthChecker goes
  // through at the end of each batch.
  void MarkForCheck(EndpointId id) { endpoints_to_check_.insert(id); }

  Endpoint* FindEndpoint(EndpointId id);  // null if unknown
  const Endpoint* FindEndpoint(EndpointId id) const;
  Endpoint& EndpointAt(EndpointId id) { return endpoints_.at(id); }
  Destination* FindDestination(DestinationId id);  // null if unknown
  const Destination& DestinationAt(DestinationId id) const { return destinations_.at(id); }
  Destination& DestinationOf(const Endpoint& endpoint) { return destinations_.at(endpoint.destination); }
  Destination& FindOrAddDestination(DestinationId id) { return destinations_[id]; }

  std::map<EndpointId, Endpoint>& endpoints() { return endpoints_; }
  const std::map<DestinationId, Destination>& destinations() const { return destinations_; }
  std::set<EndpointId>& endpoints_to_check() { return endpoints_to_check_; }

 private:
  void AddOrUpdate(const ListedEndpoint& entry);
  // Sets the endpoint's route according to its kind.
  void AssignRoute(Endpoint& endpoint, Destination& destination);

  DecisionContext& context_;
  RecoveryBudget& budget_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<DestinationId, Destination> destinations_;
  std::set<EndpointId> endpoints_to_check_;
};

}  // namespace opalroute::decision
