#include "decision/load_balancer.h"

#include <algorithm>

#include "decision/request.h"
#include "decision/upstream.h"

namespace opalroute::decision {

// Unlike in NetClone, a retry that is bound to a zone has no second endpoint.
EndpointPair LoadBalancer::PickEndpoints(std::vector<Endpoint*> ready, int zone, Random& random) {
  const auto outside = [zone](const Endpoint* endpoint) {
    return zone != kAnyZone && endpoint->zone != zone;
  };
  ready.erase(std::remove_if(ready.begin(), ready.end(), outside), ready.end());
  if (zone != kAnyZone || ready.size() == 1) return {ready[random.UniformBelow(ready.size())], nullptr};
  if (ready != ready_) {
    ready_ = ready;
    pairs_.clear();
    for (Endpoint* first : ready) {
      for (Endpoint* second : ready) {
        if (first != second) pairs_.push_back({first, second});
      }
    }
  }
  return pairs_[random.UniformBelow(pairs_.size())];
}

}  // namespace opalroute::decision
