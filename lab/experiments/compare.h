// Scenarios, settings and builds against one another: runs in pairs on the same seeds, in simulated time or
// on sockets, and what chance leaves of the difference.
#pragma once

#include <string>
#include <vector>

namespace opalroute::lab {

// What is played: `FILE` or `FILE,key=value,...`, then `sets`.
struct Arm {
  std::string what;
  std::vector<std::string> sets;
  // A build's folder, with its own opalroute-lab (in simulated time, as the module is part of it) and
  // opalroute (on sockets). Empty: this one's.
  std::string build;
};

struct PlayOrder {
  int seeds = 20;
  int jobs = 1;  // runs at once; more than one on sockets wants the cores for it, else runs are void
  bool sockets = false;
  std::string relay_arguments;
  std::string self;     // this program
  std::string scratch;  // a folder for what the runs leave
};

// Each prints a table and returns the exit status: 1 if a rule was broken, 3 if no run counted. Both throw
// std::runtime_error if a run ends in another way, with the end of what it printed.
int Compare(const Arm& a, const Arm& b, const PlayOrder& order);
int Sweep(const Arm& arm, const std::string& key, const std::vector<std::string>& values,
          const PlayOrder& order);

}  // namespace opalroute::lab
