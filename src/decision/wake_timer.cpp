#include "decision/wake_timer.h"

#include <algorithm>

namespace opalroute::decision {

void WakeTimer::Arm(Seconds due, DecisionContext& context) {
  if (due == kNever) return;
  if (armed_for_ > context.now && due >= armed_for_) return;
  armed_for_ = std::max(due, context.now + context.settings.tick / 2);
  context.Emit(SetTimer{armed_for_, ++latest_id_});
}

// Rounding may make a timer fire slightly before its due time, so the id and not the time tells that it has
// fired.
void WakeTimer::OnFired(const TimerFired& fired) {
  if (fired.timer_id == latest_id_) armed_for_ = -kNever;
}

}  // namespace opalroute::decision
