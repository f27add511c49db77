// Runs a scenario on loopback sockets with real relay processes. Partners, platform and clients are emulated,
// and faults are applied to the processes, too. Takes the same scenarios and returns the same kind of result
// as the simulation.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/result.h"
#include "lab/scenario.h"

namespace opalroute::lab {

struct SocketOptions {
  std::string program;                       // path of the relay's executable
  std::vector<std::string> relay_arguments;  // without the program's name
  std::string folder;                        // for configurations, state and logs; created if missing
  // Called before each start of a relay's process: further environment variables for it.
  std::function<std::map<std::string, std::string>(int relay, const std::string& state_folder)> variables;
  // Clients go on using a relay that was told to stop: they open new connections for a short time and use
  // open ones until it closes them.
  bool clients_use_stopping_relays = false;
  // Name of the file in a relay's folder to which its process writes the ids of the requests that it has read
  // (lab/faults). If set, a request that a stopping process has read and not answered is a breach.
  std::string requests_read_file;
  std::function<bool()> interrupted;      // polled during the run; true ends it
  std::function<void(Seconds)> progress;  // called each second with the run's time
  // If the laboratory's own timers are later than either limit, the run is void.
  Seconds max_lateness_p99 = 0.02, max_lateness = 0.3;
};

class Interrupted : public std::runtime_error {
 public:
  Interrupted() : std::runtime_error("interrupted") {}
};

// Throws Interrupted, or std::runtime_error if the relays do not become ready. No process outlives the call.
RunResult RunOnSockets(const Scenario& scenario, std::uint64_t seed, const SocketOptions& options);

}  // namespace opalroute::lab
