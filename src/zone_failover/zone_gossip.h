// Encodes and decodes the zone payload of a membership message: the evacuation state of each zone, and
// optionally the sender's report and operators' overrides. Does no I/O. Numbers are varints
// (membership/varint.h); ages and remaining times are in tenths of a second.
//
//   number of zones; for each: round, phase | relapses << 2, age of the phase
//   bits of the sections that follow: 1 a report, 2 overrides. 4 to 64 are reserved for later versions, which
//   put the length of each such section before it, so that a version that does not know the section skips it
//
//   report, for each zone: bits of the succeeded, failed and observed destinations (four bytes each), ages of
//   the latest success and the latest failure, FaultKind
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
  std::optional<Report> report;             // of the same zones
  std::vector<OperatorOverride> overrides;  // empty, or by zone; `expires_at` is the remaining time
};

std::string EncodeZoneGossip(const ZoneGossip& gossip);

// Returns std::nullopt unless the bytes are exactly one encoded ZoneGossip.
std::optional<ZoneGossip> DecodeZoneGossip(std::string_view bytes);

}  // namespace opalroute::zone_failover
