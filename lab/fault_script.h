// Fault scripts: small scenarios drawn from a seed to find broken rules in combinations that no written
// scenario covers. They combine kills, stops and freezes of relays, network cuts of every kind, lost
// datagrams, failing zones, draining endpoints and operator overrides.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

namespace opalroute::lab {

// Returns JSON for ReadScenario; the same seed gives the same script.
nlohmann::json DrawFaultScript(std::uint64_t seed);

}  // namespace opalroute::lab
