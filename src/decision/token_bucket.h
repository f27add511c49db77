// A token bucket. The caller passes in the current time.
#pragma once

#include "decision/never.h"

namespace opalroute::decision {

// The caller passes the rate and the capacity with each refill, as both may change.
struct TokenBucket {
  double tokens = 0;  // negative if more were taken than the bucket held
  Seconds refilled_at = 0;

  // Adds the tokens of the time since the last refill, at `rate` per second, up to `capacity`.
  void Refill(Seconds now, double rate, double capacity);
  // Takes a token; false if there is none.
  bool TryTake();
  // How long until a token is available, at `rate` tokens per second; kNever at rate 0.
  Seconds TimeUntilToken(double rate) const;
};

}  // namespace opalroute::decision
