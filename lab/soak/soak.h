// A soak: scenarios and faults drawn from a seed, played with real processes of the relay whose system calls
// fail in documented ways and whose wall clocks are stepped. The auditor of sockets' runs judges them from
// outside.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/faults/plan.h"
#include "lab/result.h"

namespace opalroute::lab {

// As ReadScenario takes it; the same seed gives the same scenario.
nlohmann::json DrawSoakScenario(std::uint64_t seed);

// What befalls the system calls of one process: a relay's first start, or a later one. The same arguments
// give the same plan.
faults::Plan DrawFaults(std::uint64_t seed, int relay, int start, const std::string& state_folder);

struct SoakOptions {
  std::string program;  // of the relay
  std::string library;  // preloaded into its processes; empty: their system calls are left alone
  std::string folder;   // for configurations, state and logs of this run
};

// Plays one seed, in real time. Throws std::runtime_error if the relays do not come up.
RunResult PlaySoak(std::uint64_t seed, const SoakOptions& options);

}  // namespace opalroute::lab
