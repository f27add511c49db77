// The choice of endpoints for a call: NetClone's group table of one destination.
#pragma once

#include <vector>

#include "decision/random.h"

namespace opalroute::decision {

struct Endpoint;

// The endpoints of one call.
struct EndpointPair {
  Endpoint* first = nullptr;
  Endpoint* second = nullptr;  // for a hedged request; null: there is none
};

// Owns the table of pairs, made anew when the set of ready endpoints has changed.
class LoadBalancer {
 public:
  // Draws from the pairs of endpoints that are ready and in `zone` (kAnyZone: in any); at least one is.
  EndpointPair Draw(std::vector<Endpoint*> ready, int zone, Random& random);
  // Forgets the table, as an endpoint of the destination is removed.
  void Clear() { ready_.clear(); }

 private:
  std::vector<Endpoint*> ready_;  // that the table was made of
  std::vector<EndpointPair> pairs_;
};

}  // namespace opalroute::decision
