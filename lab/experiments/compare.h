// Compares scenarios, settings and builds: runs each on the same seeds, in simulated time or on sockets, and
// gives the differences with confidence intervals.
#pragma once

#include <string>
#include <vector>

namespace opalroute::lab {

// One arm of a comparison: a scenario and the build that runs it.
struct Arm {
  std::string scenario;                // `FILE` or `FILE,key=value,...`
  std::vector<std::string> overrides;  // key=value; applied after those of `scenario`
  // The folder of another build, whose opalroute-lab is run in simulated time (it contains the relay's code)
  // and whose opalroute on sockets. Empty: this build.
  std::string build_folder;
};

struct ComparisonOptions {
  int seeds = 20;
  int jobs = 1;  // runs in parallel; on sockets, runs are void if there are too few cores for them
  bool on_sockets = false;
  std::string relay_arguments;
  std::string lab_program;     // path of this program
  std::string scratch_folder;  // for the runs' temporary files
};

// Both print a table and return the exit status: 1 if any run has a breach, 3 if no run is left after void
// ones (in Compare: pairs with a void run) are excluded. They throw std::runtime_error, with the last lines
// of the run's output, if a run fails in another way.
int Compare(const Arm& a, const Arm& b, const ComparisonOptions& options);
// Runs one arm with each of the values for the scenario key `key`.
int Sweep(const Arm& arm, const std::string& key, const std::vector<std::string>& values,
          const ComparisonOptions& options);

}  // namespace opalroute::lab
