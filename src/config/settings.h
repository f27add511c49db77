// The settings of the decision module, as the simulator and the configuration of a relay both state them.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "opalroute/settings.h"

namespace opalroute::config {

Settings ParseSettings(const nlohmann::json& options, std::uint64_t seed);

}  // namespace opalroute::config
