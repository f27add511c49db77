// The zone payload of a membership message: the evacuation state of each zone, and the sender's report and
// operators' overrides if there are any. Without I/O. Numbers are varints (membership/varint.h), ages and
// remaining times are in tenths of a second.
//
//   count of zones; for each: round, phase | relapses << 2, age of the phase
//   bits of the sections that follow: 1 a report, 2 overrides. 4 to 64 are for later versions, which write
//   the length of each such section before it; a version that does not know a section skips it
//
//   report, for each zone: bits of succeeded, failed and observed destinations (four bytes each), ages of
//   success and of failure, FaultKind
//
//   overrides, for each zone: 0, or sequence, issuer, OverrideKind, remaining time
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zone_failover/operator_override.h"
#include "zone_failover/zone_consensus.h"
#include "zone_failover/zone_evacuation.h"

namespace opalroute::zone_failover {

struct ZoneGossip {
  std::vector<EvacuationState> states;      // by zone; `since` is the age of the phase
  std::optional<Report> report;             // of as many zones
  std::vector<OperatorOverride> overrides;  // by zone, `expires_at` is the remaining time; or empty
};

std::string EncodeZoneGossip(const ZoneGossip& gossip);

// Nothing if the bytes are not exactly one encoded gossip.
std::optional<ZoneGossip> DecodeZoneGossip(std::string_view bytes);

}  // namespace opalroute::zone_failover
