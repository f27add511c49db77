#include "lab/sockets/connection_faults.h"

#include "lab/draw.h"

namespace opalroute::lab {

ConnectionFaults::CallFault ConnectionFaults::DrawCallFault() {
  if (plan_.closed_share + plan_.reset_share + plan_.silent_share <= 0) return CallFault::kNone;
  double drawn = DrawUniform(random_);
  if ((drawn -= plan_.closed_share) < 0) return CallFault::kClosed;
  if ((drawn -= plan_.reset_share) < 0) return CallFault::kReset;
  if ((drawn -= plan_.silent_share) < 0) return CallFault::kSilent;
  return CallFault::kNone;
}

std::optional<Seconds> ConnectionFaults::DrawIdleClose() {
  if (plan_.idle_close_share <= 0 || DrawUniform(random_) >= plan_.idle_close_share) return std::nullopt;
  return DrawFrom(plan_.idle_close_delay, random_);
}

bool IsWithdrawn(const WithdrawalPlan& plan, std::uint64_t message) {
  if (plan.share <= 0) return false;
  pcg32 random(message, 7);
  return DrawUniform(random) < plan.share;
}

}  // namespace opalroute::lab
