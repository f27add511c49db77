#include "net/eviction.h"

namespace opalroute::net {
namespace {

std::optional<EvictionGroup> GroupOfRequest(const ConnectionActivity& activity, const EvictionTimes& times,
                                            Seconds now) {
  if (now - activity.last_progress >= times.without_progress) return EvictionGroup::kStalledRequest;
  if (now - activity.request_started >= times.slow_request) return EvictionGroup::kSlowRequest;
  return std::nullopt;
}

}  // namespace

std::optional<EvictionGroup> EvictionGroupOf(const ConnectionActivity& activity, const EvictionTimes& times,
                                             Seconds now) {
  const Seconds quiet = now - activity.last_active;
  if (activity.lingering)
    return quiet >= times.without_progress ? std::optional(EvictionGroup::kLingering) : std::nullopt;
  if (activity.response_pending)
    return quiet >= times.without_progress ? std::optional(EvictionGroup::kUnreadResponse) : std::nullopt;
  if (activity.awaits_turn) {
    const bool waits_long = now - activity.backlog_since >= times.without_progress;
    return waits_long ? std::optional(EvictionGroup::kBacklog) : std::nullopt;
  }
  if (activity.input_pending) return std::nullopt;
  if (activity.request_begun) return GroupOfRequest(activity, times, now);
  if (!activity.answered)
    return quiet >= times.without_progress ? std::optional(EvictionGroup::kSilent) : std::nullopt;
  return quiet >= times.idle ? EvictionGroup::kIdle : EvictionGroup::kRecentlyIdle;
}

Seconds EvictionOrder(EvictionGroup group, const ConnectionActivity& activity) {
  if (group == EvictionGroup::kStalledRequest) return activity.last_progress;
  if (group == EvictionGroup::kSlowRequest) return activity.request_started;
  if (group == EvictionGroup::kBacklog) return activity.backlog_since;
  return activity.last_active;
}

bool MayEndSoon(const ConnectionActivity& activity) {
  return activity.lingering || activity.response_pending || activity.awaits_turn || activity.request_begun ||
         (!activity.answered && !activity.input_pending);
}

}  // namespace opalroute::net
