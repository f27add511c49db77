// What operators have ordered of zones by hand, each order with an end. Told to all relays in their notes and
// kept over restarts. Pure. Whoever hears of a later order takes it over, so notes may be lost, doubled or
// out of order.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "membership/message.h"

namespace opalroute::zone_failover {

enum class OverrideKind {
  kNone,          // the zone is as its calls say
  kEvacuate,      // it is left, whatever calls say, and nobody tries it
  kKeepInService  // it is not left, whatever calls say
};
const char* NameOf(OverrideKind what);
std::optional<OverrideKind> OverrideKindOf(std::string_view name);

struct OperatorOverride {
  std::uint64_t sequence = 0;      // a later one has a greater one; 0: nobody has ordered anything
  membership::Peer issued_by = 0;  // the relay that was told; of equal numbers the greater counts
  OverrideKind kind{};
  Seconds expires_at = 0;  // by the own clock; in notes and in the state folder what is left of it
  bool Before(const OperatorOverride& other) const {
    return sequence != other.sequence ? sequence < other.sequence : issued_by < other.issued_by;
  }
};

class OperatorOverrides {
 public:
  static constexpr Seconds kMaxDuration = 86400;             // an order ends within a day
  static constexpr std::uint64_t kMaxSequence = 1ULL << 48;  // a greater one is no order of anybody's

  explicit OperatorOverrides(int zones) : overrides_(static_cast<std::size_t>(zones)) {}

  // True: it is later than what was known, and is taken over. `order.until` by the own clock.
  bool Merge(Seconds now, int zone, const OperatorOverride& order);
  // An operator's word at this relay, `lasts` bounded by kMostLasts. With kNone it revokes what stands, and
  // is told for as long as that could still be in force somewhere.
  const OperatorOverride& Issue(Seconds now, int zone, OverrideKind what, Seconds lasts, membership::Peer by);
  OverrideKind InForce(Seconds now, int zone) const;
  const OperatorOverride& Of(int zone) const { return overrides_[static_cast<std::size_t>(zone)]; }
  // What others should hear: by zone, `until` as what is left. Empty: there is nothing to tell.
  std::vector<OperatorOverride> ForGossip(Seconds now) const;

 private:
  std::vector<OperatorOverride> overrides_;
};

}  // namespace opalroute::zone_failover
