// Schedules when questions that no server has answered are asked again. Performs no I/O; the caller passes
// the time.
#pragma once

#include <algorithm>

#include "dns/answer.h"

namespace opalroute::dns {

// Each question is retried after about the usual delay. If many fail, their retries are spaced so that
// together they stay within a rate, and retries don't keep overloaded servers overloaded.
class RetryPacer {
 public:
  // `delay`: the usual delay in seconds; `rate`: questions per second, above 0.
  RetryPacer(Seconds delay, double rate) : delay_(delay), interval_(1 / rate) {}

  // The time of the next retry of a question that failed at `now`. `random`: uniform in [0, 1).
  Seconds NextRetry(Seconds now, double random) {
    constexpr double kMinShare = 0.75;
    constexpr double kSpread = 0.5;
    latest_ = std::max(now + delay_ * (kMinShare + kSpread * random), latest_ + interval_);
    return latest_;
  }

 private:
  const Seconds delay_;
  const Seconds interval_;
  Seconds latest_ = 0;  // the latest retry time returned
};

}  // namespace opalroute::dns
