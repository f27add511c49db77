// All endpoints and destinations that the router knows.
#pragma once

#include <map>
#include <set>

#include "decision/context.h"
#include "decision/recovery_budget.h"
#include "decision/upstream.h"
#include "opalroute/events.h"

namespace opalroute::decision {

// Owns endpoints and destinations. The parts of these that other modules own are changed by them only.
class EndpointTable {
 public:
  EndpointTable(DecisionContext& context, RecoveryBudget& budget);

  void Apply(const ListUpdate& update);
  // The endpoint or its answer names its rate limit, in calls a second; 0: it does not.
  void LearnLimit(Endpoint& endpoint, double limit);
  // Removes an endpoint without calls in flight.
  void Remove(Endpoint& endpoint);
  // Removes the destination if it has neither endpoints nor requests.
  void RemoveIfUnused(const Destination& destination);
  // Marks an endpoint that needs maintenance: it is removed, or its circuit is open.
  void AddToMaintenance(EndpointId id) { under_maintenance_.insert(id); }

  Endpoint* FindEndpoint(EndpointId id);  // null: not known
  const Endpoint* FindEndpoint(EndpointId id) const;
  Endpoint& EndpointAt(EndpointId id) { return endpoints_.at(id); }
  Destination* FindDestination(DestinationId id);  // null: not known
  const Destination& DestinationAt(DestinationId id) const { return destinations_.at(id); }
  Destination& DestinationOf(const Endpoint& endpoint) { return destinations_.at(endpoint.destination); }
  Destination& FindOrAddDestination(DestinationId id) { return destinations_[id]; }

  std::map<EndpointId, Endpoint>& endpoints() { return endpoints_; }
  const std::map<DestinationId, Destination>& destinations() const { return destinations_; }
  std::set<EndpointId>& under_maintenance() { return under_maintenance_; }

 private:
  void Place(const ListedEndpoint& entry);

  DecisionContext& context_;
  RecoveryBudget& budget_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<DestinationId, Destination> destinations_;
  std::set<EndpointId> under_maintenance_;
};

}  // namespace opalroute::decision
