// `opalroute zones`: who is there of a relay's tier and the stage of each zone, from a running relay; and
// operators' orders of a zone, which that relay tells all others.
#pragma once

#include <string>

namespace opalroute::cli {

struct ZoneCommand {
  std::string from;         // the address of its --admin-listen
  std::string order, zone;  // leave, keep or none (revoke); empty: just look
  double lasts = 0;         // seconds
};
// Returns the exit status: 0 done, 1 nobody answered, the tier is off there or the order was refused, 2
// `from` is no address.
int Zones(const ZoneCommand& command, bool as_json);

}  // namespace opalroute::cli
