// `opalroute pool`: prints the merged set of endpoints, and why each is in service or not, as a running relay
// has it or after querying the name servers once.
#pragma once

#include <string>

#include "config/config.h"
#include "config/operator_settings.h"

namespace opalroute::cli {

// `from`: the address of a relay's --admin-listen; if empty, the configuration's `known` list is merged with
// one answer for each SRV name. Returns the exit status: 0 done, 1 the relay did not respond, 2 the
// arguments or the configuration are invalid; a line on standard error says which.
int PrintPool(const std::string& from, bool as_json, const OperatorSettings& settings,
              const config::Environment& environment);

}  // namespace opalroute::cli
