// Writes a scenario's settings as the `settings` object of a relay's configuration file.
#pragma once

#include <nlohmann/json.hpp>

#include "lab/scenario.h"

namespace opalroute::lab {

nlohmann::json SettingsJson(const Scenario& scenario, int relay);

}  // namespace opalroute::lab
