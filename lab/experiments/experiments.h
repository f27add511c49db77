// Experiments on single subsystems, run by commands of opalroute-lab. Each prints its results and returns the
// exit status: 1 if a result fails the experiment's checks.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace opalroute::lab {

// A relay that starts while its partner is down, with and without state transfer: medians over seeds.
int RunStateTransferExperiment(int seeds);

// Transfers a snapshot of `destinations` destinations between two processes: time, bytes, and the donor's CPU
// time and pauses.
int RunSnapshotExperiment(int destinations, int runs);

// Compares the endpoint list alone with the list and SRV records while `changes` machines are replaced;
// measures the cost of many SRV names and of a large answer.
int RunSrvExperiment(int changes);

// Draws the scenario of a seed, as JSON for ReadScenario.
using ScriptGenerator = std::function<nlohmann::json(std::uint64_t seed)>;

// Runs `count` drawn scenarios with consecutive seeds in simulated time, `jobs` in parallel.
int RunScripts(const ScriptGenerator& draw, std::uint64_t first_seed, int count, int jobs);

struct SoakBatch {
  std::uint64_t first_seed = 1;
  int count = 1, jobs = 1;             // consecutive seeds; jobs run in parallel
  std::string program, fault_library;  // as in SoakOptions
  std::string folder;                  // has a folder per seed, removed if that seed passes
};

// Runs soak seeds (lab/soak/soak.h). Returns 1 if a seed has a breach or a crash or could not be run, else 3
// if one is void.
int RunSoakBatch(const SoakBatch& batch);

// The log lines of all relays under a run's folder that mention the message.
std::string FindMessageInLogs(const std::string& folder, const std::string& id);

}  // namespace opalroute::lab
