// Scripts of faults: scenarios drawn from a seed, small and rough, to look for a broken rule where nobody has
// thought of one. Kills, stops, freezes, cuts of every kind, lost notes, zones that fail, drains and orders
// by hand come together.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

namespace opalroute::lab {

// As ReadScenario takes it; the same seed gives the same script.
nlohmann::json DrawScript(std::uint64_t seed);

}  // namespace opalroute::lab
