// Plays a scenario on loopback sockets with real relay processes: emulated partners, platform and clients
// round them, faults on the processes too. The same scenario, the same result as the simulation's.
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
  std::string program;                       // of the relay
  std::vector<std::string> relay_arguments;  // after its name
  std::string folder;                        // for configurations, state and logs; made if it is not there
  // Of a relay's process, before each of its starts: what stands in its environment beside the relay's own.
  std::function<std::map<std::string, std::string>(int relay, const std::string& state_folder)> variables;
  // Clients use a relay that was told to end until it has: new connections for a moment, open ones to the
  // end.
  bool clients_stay = false;
  // The relays' processes record the requests that they have read, each in a file of this name in its folder
  // (lab/faults); a request that was read by a process that is stopping, and not answered, is then a breach.
  std::string requests_read;
  std::function<bool()> interrupted;      // asked now and then: true ends the run
  std::function<void(Seconds)> progress;  // told each second
  // Above either the laboratory was too late itself, and the run is void.
  Seconds most_lateness_p99 = 0.02, most_lateness = 0.3;
};

class Interrupted : public std::runtime_error {
 public:
  Interrupted() : std::runtime_error("interrupted") {}
};

// Throws Interrupted, and std::runtime_error if the relays do not come up. No process outlives it.
RunResult PlayOnSockets(const Scenario& scenario, std::uint64_t seed, const SocketOptions& options);

}  // namespace opalroute::lab
