// Recovery scripts: scenarios drawn from a seed in which endpoints fail and come back, in fleets of 1 to 300
// relays. They combine every kind of outage with restarts of relays before, during and after the return.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

namespace opalroute::lab {

// Returns JSON for ReadScenario; the same seed gives the same script.
nlohmann::json DrawRecoveryScript(std::uint64_t seed);

}  // namespace opalroute::lab
