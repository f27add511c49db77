#include "decision/token_bucket.h"

#include <algorithm>

namespace opalroute::decision {

void TokenBucket::Refill(Seconds now, double rate, double capacity) {
  tokens = std::min(capacity, tokens + rate * std::max(0.0, now - refilled_at));
  refilled_at = now;
}

bool TokenBucket::TryTake() {
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

Seconds TokenBucket::TimeUntilToken(double rate) const {
  if (tokens >= 1) return 0;
  return rate > 0 ? (1 - tokens) / rate : kNever;
}

}  // namespace opalroute::decision
