// A scenario's settings in the words of the platform's configuration file.
#pragma once

#include <nlohmann/json.hpp>

#include "lab/scenario.h"

namespace opalroute::lab {

nlohmann::json SettingsJson(const Scenario& scenario, int me);

}  // namespace opalroute::lab
