// What a note says of zones: the stage of each, and the sender's report where it has one. Pure.
//
//   count of zones, then for each: round, step and relapses, age in tenths of a second;
//   0, or 1 and for each zone: partners served, not served and known (four bytes each), ages in tenths, how
//   they failed
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zones/agreement.h"
#include "zones/stages.h"

namespace opalroute::zones {

struct Said {
  std::vector<Stage> stages;  // `since` as an age
  std::optional<Report> report;
};

std::string WriteSaid(const Said& said);
std::optional<Said> ReadSaid(std::string_view bytes);  // nothing for bytes that are no such text, whole

}  // namespace opalroute::zones
