// The timer that wakes the router when something is due and no event arrives.
#pragma once

#include <cstdint>

#include "decision/context.h"
#include "decision/never.h"
#include "opalroute/events.h"

namespace opalroute::decision {

// Owns the due time and the id of the latest timer.
class WakeTimer {
 public:
  // Sets a timer for `due`, unless the latest one fires no later. kNever: no timer is needed.
  void Arm(Seconds due, DecisionContext& context);
  void OnFired(const TimerFired& fired);

 private:
  Seconds armed_for_ = -kNever;
  std::uint64_t latest_id_ = 0;
};

}  // namespace opalroute::decision
