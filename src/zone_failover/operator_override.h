// Operators' overrides of zone failover. Each applies to one zone and expires. Relays gossip them and persist
// them across restarts. An override has a version (sequence, issuer) and the latest version wins, so messages
// may be lost, duplicated or reordered. Does no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "membership/message.h"

namespace opalroute::zone_failover {

enum class OverrideKind {
  kNone,          // the zone's health decides
  kEvacuate,      // the zone is evacuated regardless of its health, and not health-checked
  kKeepInService  // the zone stays in service regardless of its health
};

// The name of an override in operators' commands, on their pages and in the state file.
const char* NameOf(OverrideKind kind);
std::optional<OverrideKind> OverrideKindOf(std::string_view name);

struct OperatorOverride {
  std::uint64_t sequence = 0;      // grows with each override of the zone; 0: none so far
  membership::Peer issued_by = 0;  // the relay that received the command; breaks ties of `sequence`
  OverrideKind kind{};
  Seconds expires_at = 0;  // on this relay's clock; in gossip and in the state file, the remaining time

  bool IsOlderThan(const OperatorOverride& other) const;
};

// The latest override of each zone.
class OperatorOverrides {
 public:
  static constexpr Seconds kMaxDuration = 86400;
  static constexpr std::uint64_t kMaxSequence = 1ULL << 48;  // greater ones are rejected as invalid

  explicit OperatorOverrides(int zones) : overrides_(static_cast<std::size_t>(zones)) {}

  // Adopts `received`, with `expires_at` on this relay's clock, if it is valid and later than the known
  // override. Returns whether it was adopted.
  bool Merge(Seconds now, int zone, const OperatorOverride& received);

  // Applies an operator's command to this relay; `duration` is clamped to kMaxDuration. kNone revokes the
  // override in force; the revocation is gossiped for as long as some relay could still apply that override.
  const OperatorOverride& Issue(Seconds now, int zone, OverrideKind kind, Seconds duration,
                                membership::Peer own_peer);

  // kNone if the latest override has expired.
  OverrideKind ActiveKind(Seconds now, int zone) const;

  // The latest override of the zone, in force or expired.
  const OperatorOverride& Get(int zone) const { return overrides_[static_cast<std::size_t>(zone)]; }

  // By zone, with the remaining time as `expires_at`; empty if no zone has an unexpired override.
  std::vector<OperatorOverride> ForGossip(Seconds now) const;

 private:
  std::vector<OperatorOverride> overrides_;  // by zone
};

}  // namespace opalroute::zone_failover
