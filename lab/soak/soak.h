// Soak runs: a random scenario with random faults, generated from a seed, is run with real relay processes
// whose system calls fail in documented ways and whose wall clocks are stepped. The auditor of runs on
// sockets checks them from outside the processes.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/faults/plan.h"
#include "lab/result.h"

namespace opalroute::lab {

// A scenario for ReadScenario. The same seed gives the same scenario.
nlohmann::json GenerateSoakScenario(std::uint64_t seed);

// The fault plan for one process of a relay; `start` counts the relay's starts from 0. The same arguments
// give the same plan.
faults::Plan GenerateFaultPlan(std::uint64_t seed, int relay, int start, const std::string& state_folder);

struct SoakOptions {
  std::string program;        // of the relay
  std::string fault_library;  // preloaded into the relay processes; empty: no system call faults
  std::string folder;         // for configurations, state and logs of this run
};

// Runs one seed in real time. Throws std::runtime_error if the relays fail to start.
RunResult RunSoak(std::uint64_t seed, const SoakOptions& options);

}  // namespace opalroute::lab
