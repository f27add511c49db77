// The three that a measurement of capacity needs, each for a process and a core of its own: a bare forwarder
// in the relay's place, an endpoint that answers at once, and a client that asks as fast or as often as told.
#pragma once

#include <netinet/in.h>

#include <atomic>
#include <cstdint>
#include <string>

#include "lab/result.h"

namespace opalroute::lab {

// Answers each message with 202 and passes it on by a call on a kept connection: no journal, no decisions, no
// limits, no timers. Runs until the process ends.
[[noreturn]] void RunForwarder(int listener, const sockaddr_in& endpoint);

struct SinkCounts {  // shared with the measuring process
  std::atomic<long> calls{0};
  std::atomic<bool> holds{false};  // takes calls and answers none
};
// An endpoint: answers 200 at once. Runs until the process ends.
[[noreturn]] void RunSink(int listener, SinkCounts& counts);

struct DriverPlan {
  sockaddr_in to{};
  int connections = 64;
  double seconds = 3;
  double rate = 0;  // messages a second, open loop; 0: each connection asks again as soon as it is answered
  long most = 0;    // messages; 0: no end but the time
  int destinations = 1;  // numbered from 1, drawn evenly
  std::string message_class;
  std::string id_prefix;  // of X-Txn
  double remaining = 30;  // seconds
};
struct DriverResult {
  long asked = 0, taken = 0, refused = 0, broken = 0;
  double seconds = 0;
  // Closed loop: from the request's last byte; open: from when it was due. To the answer's last byte.
  LatencyHistogram answer_time;
};
DriverResult Drive(const DriverPlan& plan);

}  // namespace opalroute::lab
