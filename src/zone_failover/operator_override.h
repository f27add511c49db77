// Operators' overrides of zone failover: each applies to one zone and expires. Relays gossip them and persist
// them over restarts. An override has a version (sequence, issuer) and the latest one wins, so that messages
// may be lost, duplicated or reordered. Without I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "membership/message.h"

namespace opalroute::zone_failover {

enum class OverrideKind {
  kNone,          // the zone's health decides
  kEvacuate,      // it is evacuated whatever its health, and not health-checked
  kKeepInService  // it stays in service whatever its health
};

// The word for it in operators' commands, on their pages and in the state file.
const char* NameOf(OverrideKind kind);
std::optional<OverrideKind> OverrideKindOf(std::string_view name);

struct OperatorOverride {
  std::uint64_t sequence = 0;      // grows with each override of the zone; 0: there was none
  membership::Peer issued_by = 0;  // the relay that got the command; breaks ties of `sequence`
  OverrideKind kind{};
  Seconds expires_at = 0;  // by the own clock; in gossip and in the state file the time that remains

  bool IsOlderThan(const OperatorOverride& other) const;
};

// The latest override of each zone.
class OperatorOverrides {
 public:
  static constexpr Seconds kMaxDuration = 86400;
  static constexpr std::uint64_t kMaxSequence = 1ULL << 48;  // greater ones are rejected as invalid

  explicit OperatorOverrides(int zones) : overrides_(static_cast<std::size_t>(zones)) {}

  // Adopts `received` if it is later than the known one; `expires_at` by the own clock. True: it was adopted.
  bool Merge(Seconds now, int zone, const OperatorOverride& received);

  // An operator's command at this relay; `duration` is clamped to kMaxDuration. kNone revokes the override in
  // force, and is gossiped for as long as that could still be in force at some relay.
  const OperatorOverride& Issue(Seconds now, int zone, OverrideKind kind, Seconds duration,
                                membership::Peer own_peer);

  OverrideKind InForce(Seconds now, int zone) const;

  // The latest override of the zone, in force or expired.
  const OperatorOverride& Get(int zone) const { return overrides_[static_cast<std::size_t>(zone)]; }

  // By zone, with the time that remains as `expires_at`. Empty: no zone has one.
  std::vector<OperatorOverride> ForGossip(Seconds now) const;

 private:
  std::vector<OperatorOverride> overrides_;  // by zone
};

}  // namespace opalroute::zone_failover
