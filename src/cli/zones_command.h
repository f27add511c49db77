// `opalroute zones`: shows membership and the state of each zone as a running relay sees them, and issues
// operators' overrides of zones.
#pragma once

#include <string>

namespace opalroute::cli {

struct ZonesArguments {
  std::string address;        // of the relay's --admin-listen
  std::string override_name;  // leave, keep or none (revoke); empty: only show
  std::string zone;           // of the override
  double duration = 0;        // of the override, seconds; 0: none is given
};

// Returns the exit status: 0 done; 1 no response, zone failover is off there or the override was rejected; 2
// `address` is invalid.
int Zones(const ZonesArguments& arguments, bool as_json);

}  // namespace opalroute::cli
