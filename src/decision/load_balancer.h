// Chooses the endpoints of a call with the group table of NetClone (SIGCOMM 2023): the pairs of ready
// endpoints of one destination.
#pragma once

#include <vector>

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
  // Picks a random pair of the `ready` endpoints. Picks a single one if only one is ready, or if the attempt
  // is bound to `zone` (not kAnyZone), in which at least one endpoint must be ready.
  EndpointPair PickEndpoints(std::vector<Endpoint*> ready, int zone, Random& random);
  // Invalidates the table, which points to endpoints. Called when an endpoint of the destination is removed.
  void Clear() { ready_.clear(); }

 private:
  std::vector<Endpoint*> ready_;  // that pairs_ was built from
  std::vector<EndpointPair> pairs_;
};

}  // namespace opalroute::decision
