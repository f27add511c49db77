// Measures the relay's capacity on one core, compared with a bare forwarder: requests per second, CPU time
// per request, the CPU time of the journal, the response time (until the 202) under load, and memory per open
// request and per idle destination.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace opalroute::lab {

struct CapacityOptions {
  std::string program;                // of the relay
  std::string folder;                 // for its configuration, state and log
  double seconds = 3;                 // of each measurement
  int rounds = 3;                     // each measures the forwarder, then the relay
  std::function<bool()> interrupted;  // checked before each measurement; true aborts. May be empty
};

struct Throughput {
  double delivered_per_second = 0;  // requests, counted by the endpoint's calls
  double cpu_us_per_request = 0;
  long rejected = 0, disconnected = 0;  // as in LoadResult
};

struct CapacityResult {
  std::vector<Throughput> forwarder, relay;  // by round
  // The journal's CPU time per request: one record each for its acceptance, one attempt and its end.
  double journal_us = 0;
  struct ResponseTime {
    double share = 0;                     // of the relay's capacity
    double rate = 0;                      // requests per second
    double p50 = 0, p99 = 0, p99_9 = 0;   // seconds until the 202
    long rejected = 0, disconnected = 0;  // as in LoadResult
  };
  std::vector<ResponseTime> response_times;
  double bytes_per_open_request = 0, bytes_per_destination = 0;
  long open_requests = 0, destinations = 0;
};

// Needs four cores. Throws std::runtime_error if any part cannot be measured.
CapacityResult MeasureCapacity(const CapacityOptions& options);

}  // namespace opalroute::lab
