// When questions that no server has answered are asked again. Pure: the clock is handed in.
#pragma once

#include <algorithm>

#include "dns/answer.h"

namespace opalroute::dns {

// Each waits for about the usual time. Where many fail, each further one waits its turn, so that together
// they keep to a rate however many there are: servers that are overloaded are not kept so by retries.
class RetryPacer {
 public:
  // `wait`: the usual time in seconds; `rate`: questions a second, above 0.
  RetryPacer(Seconds wait, double rate) : wait_(wait), interval_(1 / rate) {}

  // For a question that has failed now. `draw`: from 0 to below 1.
  Seconds NextFor(Seconds now, double draw) {
    constexpr double kLeastShare = 0.75;
    constexpr double kSpread = 0.5;
    latest_ = std::max(now + wait_ * (kLeastShare + kSpread * draw), latest_ + interval_);
    return latest_;
  }

 private:
  const Seconds wait_;
  const Seconds interval_;
  Seconds latest_ = 0;  // that was given
};

}  // namespace opalroute::dns
