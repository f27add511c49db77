// What the relay costs: messages a second and CPU a message on one core against a bare forwarder, the price
// of the journal, the time to a 202 under load, memory by open transaction and by idle destination.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace opalroute::lab {

struct CapacityOptions {
  std::string program;  // of the relay
  std::string folder;   // for its configuration, state and log
  double seconds = 3;   // of each measurement
  int rounds = 3;       // forwarder and relay in turn
  std::function<bool()> interrupted;
};

struct Throughput {
  double delivered = 0;  // messages a second, by calls that reached the endpoint
  double cpu_us = 0;     // a message
  long refused = 0, broken = 0;
};

struct CapacityResult {
  std::vector<Throughput> forwarder, relay;  // by round
  double journal_us = 0;                     // of CPU a message: taken on, one attempt, its end
  struct Answer {
    double share = 0, rate = 0, p50 = 0, p99 = 0, p99_9 = 0;
    long refused = 0, broken = 0;
  };
  std::vector<Answer> answers;  // seconds to the 202, by share of the relay's capacity
  double bytes_per_transaction = 0, bytes_per_destination = 0;
  long transactions = 0, destinations = 0;
};

// Needs four cores. Throws std::runtime_error if anything of it cannot be measured.
CapacityResult MeasureCapacity(const CapacityOptions& options);

}  // namespace opalroute::lab
