// `opalroute snapshot`: prints what a running relay believes, or what a state folder holds of that.
#pragma once

#include <string>

namespace opalroute::cli {

// `from` is the address of a relay's --learn-listen, or a state folder. Returns the exit status: 0 all of it
// came, 1 a part or nothing (a line on standard error says why).
int Snapshot(const std::string& from, bool as_json);

}  // namespace opalroute::cli
