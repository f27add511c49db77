// Parses the settings of the decision library, which have the same form in the configuration of a relay and
// in the simulator's ATTACH event.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "opalroute/settings.h"

namespace opalroute::config {

// Throws FieldErrors with everything that is wrong.
Settings ParseSettings(const nlohmann::json& options, std::uint64_t seed);

}  // namespace opalroute::config
