#include "decision/load_balancer.h"

#include <algorithm>

#include "decision/request.h"
#include "decision/upstream.h"

namespace opalroute::decision {

// Unlike in NetClone, a retry that is bound to a zone has no second endpoint.
EndpointPair LoadBalancer::PickEndpoints(std::vector<Endpoint*> ready, const EndpointScope& scope,
                                         Random& random) {
  const auto outside = [&scope](const Endpoint* endpoint) { return !scope.Includes(endpoint->Location()); };
  ready.erase(std::remove_if(ready.begin(), ready.end(), outside), ready.end());
  if (!scope.IncludesAll() || ready.size() == 1) return {ready[random.UniformBelow(ready.size())], nullptr};
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
