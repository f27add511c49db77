// `opalroute zones`: who is there of a relay's tier and the stage of each zone, from a running relay.
#pragma once

#include <string>

namespace opalroute::cli {

// `from`: the address of its --admin-listen. Returns the exit status: 0 done, 1 nobody answered or the tier
// is off there, 2 `from` is no address.
int Zones(const std::string& from, bool as_json);

}  // namespace opalroute::cli
