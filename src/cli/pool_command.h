// `opalroute pool`: prints the joined set of endpoints with the reason of each, from a running relay, or by
// asking the name servers once.
#pragma once

#include <string>

#include "config/config.h"
#include "config/operator.h"

namespace opalroute::cli {

// `from`: the address of a relay's --admin-listen; empty: the list is the configuration's `known`, and the
// names are asked for once. Returns the exit status: 0 done, 1 nobody answered (a line on standard error says
// why), 2 faults.
int Pool(const std::string& from, bool as_json, const Operator& settings,
         const config::Environment& environment);

}  // namespace opalroute::cli
