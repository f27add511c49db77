#include "zone_failover/operator_override.h"

#include <algorithm>
#include <string>

namespace opalroute::zone_failover {

namespace {

constexpr const char* kNames[] = {"none", "leave", "keep"};
constexpr Seconds kRevokedFor = 60;  // a revocation is told for so long at least

}  // namespace

const char* NameOf(OverrideKind what) { return kNames[static_cast<int>(what)]; }

std::optional<OverrideKind> OverrideKindOf(std::string_view name) {
  for (int i = 0; i < 3; ++i)
    if (name == kNames[i]) return static_cast<OverrideKind>(i);
  return std::nullopt;
}

bool OperatorOverrides::Merge(Seconds now, int zone, const OperatorOverride& order) {
  OperatorOverride& known = overrides_[static_cast<std::size_t>(zone)];
  if (order.sequence > kMaxSequence || order.expires_at > now + kMaxDuration + 1) return false;
  if (known.Before(order)) {
    known = order;
    return true;
  }
  // The same one: the earliest end is the true one, as what is left is rounded up and notes take time.
  if (!order.Before(known)) known.expires_at = std::min(known.expires_at, order.expires_at);
  return false;
}

const OperatorOverride& OperatorOverrides::Issue(Seconds now, int zone, OverrideKind what, Seconds lasts,
                                                 membership::Peer by) {
  OperatorOverride& known = overrides_[static_cast<std::size_t>(zone)];
  const Seconds stands = known.expires_at - now;
  const Seconds told = what == OverrideKind::kNone ? std::max(stands, kRevokedFor) : lasts;
  known = {known.sequence + 1, by, what, now + std::clamp(told, 0.0, kMaxDuration)};
  return known;
}

OverrideKind OperatorOverrides::InForce(Seconds now, int zone) const {
  const OperatorOverride& order = Of(zone);
  return now < order.expires_at ? order.kind : OverrideKind::kNone;
}

std::vector<OperatorOverride> OperatorOverrides::ForGossip(Seconds now) const {
  std::vector<OperatorOverride> told = overrides_;
  bool any = false;
  for (OperatorOverride& order : told) {
    if (order.sequence == 0 || order.expires_at <= now) order = {};
    any = any || order.sequence > 0;
    order.expires_at = std::max(0.0, order.expires_at - now);
  }
  return any ? told : std::vector<OperatorOverride>();
}

}  // namespace opalroute::zone_failover
