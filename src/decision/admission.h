// Admission control: counts the requests that this relay holds, and applies the tenants' quotas.
#pragma once

#include <optional>
#include <vector>

#include "decision/context.h"
#include "decision/request.h"
#include "decision/token_bucket.h"
#include "decision/upstream.h"

namespace opalroute::decision {

// Owns the count of held requests and the token buckets of the tenants.
class Admission {
 public:
  explicit Admission(const DecisionContext& context);

  // Whether one more request of the tenant exceeds this relay's share of the quota; counts the request
  // against it if not.
  bool IsOverQuota(std::optional<int> tenant);
  // Counts a request of the destination as held.
  void Hold(Destination& destination);
  // Stops counting the request as held; later calls for the same request have no effect.
  void Release(Request& request, Destination& destination);
  // Whether waiting requests have to be rejected to keep capacity for new ones.
  bool MustShedLoad() const;
  // The Retry-After for a request that is rejected now: the estimated time to send all waiting requests.
  Seconds EstimateRetryAfter(const Destination& destination) const;

 private:
  const DecisionContext& context_;
  std::vector<TokenBucket> quotas_;  // by tenant
  int requests_held_ = 0;
};

}  // namespace opalroute::decision
