// A token bucket on the clock of its caller.
#pragma once

#include "decision/never.h"

namespace opalroute::decision {

// The caller gives the rate and the capacity with each refill, as both may change.
struct TokenBucket {
  double tokens = 0;  // negative after more was charged than the bucket held
  Seconds filled_at = 0;

  // Adds what has come in at `rate` tokens a second since the last call, up to `capacity` tokens.
  void Refill(Seconds now, double rate, double capacity);
  // Removes a token; false if there is none.
  bool TryTake();
  // How long until there is a token, at `rate` tokens a second; kNever at rate 0.
  Seconds TimeUntilToken(double rate) const;
};

}  // namespace opalroute::decision
