// The timer that wakes the router for what is due without an event.
#pragma once

#include <cstdint>

#include "decision/context.h"
#include "decision/never.h"
#include "opalroute/events.h"

namespace opalroute::decision {

// Owns the time for which a timer is set, and the id of the latest one.
class WakeTimer {
 public:
  // Sets a timer for `due`, unless one is set that fires no later; kNever: none is needed.
  void Arm(Seconds due, DecisionContext& context);
  void OnFired(const TimerFired& fired);

 private:
  Seconds armed_for_ = -kNever;
  std::uint64_t latest_id_ = 0;
};

}  // namespace opalroute::decision
