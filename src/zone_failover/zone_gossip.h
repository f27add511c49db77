// What a note says of zones: the stage of each, and the sender's report and operators' orders where there are
// any. Pure.
//
//   count of zones, then for each: round, step and relapses, age in tenths of a second;
//   bits of what follows: 1 a report, 2 orders; 4 to 64 are a later build's, each with its length before it,
//   and are passed over by one that does not know them
//
//   report, for each zone: partners served, not served and known (four bytes each), ages in tenths, how they
//   failed
//
//   orders, for each zone: 0, or number, the relay that was told, what, and what is left in tenths
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
  std::vector<EvacuationState> stages;  // `since` as an age
  std::optional<Report> report;
  std::vector<OperatorOverride> overrides;  // `until` as what is left; empty: none
};

std::string EncodeZoneGossip(const ZoneGossip& said);
std::optional<ZoneGossip> DecodeZoneGossip(
    std::string_view bytes);  // nothing for bytes that are no such text, whole

}  // namespace opalroute::zone_failover
