// Chooses the endpoints of a call with the group table of NetClone (SIGCOMM 2023): the pairs of ready
// endpoints of one destination.
#pragma once

#include <vector>

#include "decision/endpoint_scope.h"
#include "decision/random.h"

namespace opalroute::decision {

struct Endpoint;

// The endpoints of one call.
struct EndpointPair {
  Endpoint* first = nullptr;
  Endpoint* second = nullptr;  // of a hedged request; null: no hedged request
};

// Owns the table of pairs, rebuilt whenever the set of ready endpoints has changed.
class LoadBalancer {
 public:
  // Picks a random pair of the `ready` endpoints. Picks a single one if only one is ready, or if `scope` does
  // not include all endpoints; at least one that it includes must be ready.
  EndpointPair PickEndpoints(std::vector<Endpoint*> ready, const EndpointScope& scope, Random& random);
  // Invalidates the table, which points to endpoints. Called when an endpoint of the destination is removed.
  void Clear() { ready_.clear(); }

 private:
  std::vector<Endpoint*> ready_;  // that pairs_ was built from
  std::vector<EndpointPair> pairs_;
};

}  // namespace opalroute::decision
