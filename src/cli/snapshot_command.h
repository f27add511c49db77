// `opalroute snapshot`: prints the route states of a running relay, or those that a state folder holds.
#pragma once

#include <string>

namespace opalroute::cli {

// `from`: the address of a relay's --learn-listen, or a state folder. Returns the exit status: 0 it is
// complete, 1 only a part or nothing was read (a line on standard error says why).
int PrintSnapshot(const std::string& from, bool as_json);

}  // namespace opalroute::cli
