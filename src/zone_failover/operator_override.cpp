#include "zone_failover/operator_override.h"

#include <algorithm>
#include <string>

namespace opalroute::zone_failover {

namespace {

constexpr const char* kNames[] = {"none", "leave", "keep"};  // by OverrideKind
constexpr int kKinds = 3;
constexpr Seconds kMinRevocationTime = 60;  // a revocation is gossiped for at least this long
constexpr Seconds kExpiryTolerance = 1;     // above kMaxDuration, for rounding and transmission time

}  // namespace

const char* NameOf(OverrideKind kind) { return kNames[static_cast<int>(kind)]; }

std::optional<OverrideKind> OverrideKindOf(std::string_view name) {
  for (int i = 0; i < kKinds; ++i) {
    if (name == kNames[i]) return static_cast<OverrideKind>(i);
  }
  return std::nullopt;
}

bool OperatorOverride::IsOlderThan(const OperatorOverride& other) const {
  return sequence != other.sequence ? sequence < other.sequence : issued_by < other.issued_by;
}

bool OperatorOverrides::Merge(Seconds now, int zone, const OperatorOverride& received) {
  OperatorOverride& known = overrides_[static_cast<std::size_t>(zone)];
  if (received.sequence > kMaxSequence) return false;
  if (received.expires_at > now + kMaxDuration + kExpiryTolerance) return false;
  if (known.IsOlderThan(received)) {
    known = received;
    return true;
  }
  // The earliest expiry of the same override is the most accurate: gossip rounds the remaining time up and
  // takes time to arrive.
  if (!received.IsOlderThan(known)) known.expires_at = std::min(known.expires_at, received.expires_at);
  return false;
}

const OperatorOverride& OperatorOverrides::Issue(Seconds now, int zone, OverrideKind kind, Seconds duration,
                                                 membership::Peer own_peer) {
  OperatorOverride& known = overrides_[static_cast<std::size_t>(zone)];
  const Seconds revocation_time = std::max(known.expires_at - now, kMinRevocationTime);
  const Seconds lifetime = kind == OverrideKind::kNone ? revocation_time : duration;
  known = {known.sequence + 1, own_peer, kind, now + std::clamp(lifetime, 0.0, kMaxDuration)};
  return known;
}

OverrideKind OperatorOverrides::ActiveKind(Seconds now, int zone) const {
  const OperatorOverride& latest = Get(zone);
  return now < latest.expires_at ? latest.kind : OverrideKind::kNone;
}

std::vector<OperatorOverride> OperatorOverrides::ForGossip(Seconds now) const {
  std::vector<OperatorOverride> current = overrides_;
  bool has_any = false;
  for (OperatorOverride& entry : current) {
    if (entry.sequence == 0 || entry.expires_at <= now) entry = {};
    has_any = has_any || entry.sequence > 0;
    entry.expires_at = std::max(0.0, entry.expires_at - now);
  }
  return has_any ? current : std::vector<OperatorOverride>();
}

}  // namespace opalroute::zone_failover
