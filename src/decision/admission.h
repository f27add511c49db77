// How many requests this relay holds, and which of them are within their tenant's quota.
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

  // Whether one more request of the tenant is above this relay's part of the quota.
  bool IsOverQuota(std::optional<int> tenant);
  void Hold(Destination& destination);
  // The request counts as held no longer.
  void Release(Request& request, Destination& destination);
  // Whether waiting requests have to be rejected, so that new ones find capacity.
  bool MustShedLoad() const;
  // When a request that is rejected now may come back: when the waiting ones could have gone.
  Seconds RetryAfterAdvice(const Destination& destination) const;

 private:
  const DecisionContext& context_;
  std::vector<TokenBucket> quotas_;  // by tenant
  int requests_held_ = 0;
};

}  // namespace opalroute::decision
