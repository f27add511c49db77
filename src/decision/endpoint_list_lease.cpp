#include "decision/endpoint_list_lease.h"

#include <algorithm>
#include <utility>

namespace opalroute {
namespace {

constexpr double kTriesInTerm = 4;      // so many begin within the shortest term, if the spread leaves room
constexpr double kTryJitter = 0.25;     // of a step, at most, is added to it: relays are not asked in step
constexpr double kLateHeartbeat = 1.4;  // heartbeats without a line after which the watch may be silent
constexpr int kFewRelays = 8;           // they may all ask at once as they start
constexpr double kSpreadEach = 0.05;    // seconds for each relay: asked in step, discovery is idle in between

}  // namespace

// Danger: a drain binds whether it was told or not, so no spread may outlast its grace. A relay that has not
// asked for `ask_within` counts as told, too.
EndpointListLease::EndpointListLease(const Settings& settings)
    : told_within_(settings.max_poll_interval > 0
                       ? std::min(settings.list_notification_time, settings.max_poll_interval)
                       : settings.list_notification_time),
      told_after_move_(std::min(settings.list_notification_time_after_move, told_within_)),
      heartbeat_(settings.list_heartbeat),
      few_(settings.relay_count <= kFewRelays),
      pushed_(!settings.poll_endpoint_list),
      spread_(std::min(settings.drain_grace, kSpreadEach * settings.relay_count)),
      random_(settings.seed) {}

void EndpointListLease::Heed(ListScope scope, Seconds now) {
  switch (scope) {
    case ListScope::kCached:
      return Begin(now);
    case ListScope::kWatchFailed:
      return TryFailed(now);
    default:
      return Confirm(now);
  }
}

void EndpointListLease::Begin(Seconds now) {
  if (pushed_ && heartbeat_ <= 0) return;
  next_try_ = few_ || pushed_ ? now : now + Spread();
  expires_ = now + told_within_;
}

void EndpointListLease::Confirm(Seconds now) {
  const bool silence_is_told = heartbeat_ <= 0;
  next_try_ = silence_is_told ? kNever : now + kLateHeartbeat * heartbeat_ + Spread();
  expires_ = silence_is_told ? kNever : now + told_within_;
}

// The step counts from the try before: one that fails at once does not bring the next one forward.
void EndpointListLease::TryFailed(Seconds now) {
  next_try_ = std::min(next_try_, std::max(now + Spread(), last_try_ + TrySpacing()));
  expires_ = std::min(expires_, now + told_within_);
}

void EndpointListLease::Moved(Seconds now) {
  next_try_ = now;
  expires_ = std::min(expires_, now + told_after_move_);
}

bool EndpointListLease::TakeDueTry(Seconds now) {
  if (now < next_try_) return false;
  last_try_ = now;
  next_try_ = now + TrySpacing();
  return true;
}

std::optional<bool> EndpointListLease::TakeChange(Seconds now) {
  const bool expired = now > expires_;
  if (std::exchange(was_expired_, expired) == expired) return std::nullopt;
  return expired;
}

Seconds EndpointListLease::TrySpacing() {
  const Seconds step = std::max(told_after_move_ / kTriesInTerm, spread_);
  return step * (1 + kTryJitter * random_.Unit());
}

}  // namespace opalroute
