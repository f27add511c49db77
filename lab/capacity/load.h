// The three programs of a capacity measurement besides the relay, each meant for its own process and core: a
// bare forwarder in place of the relay, an endpoint that answers immediately, and a load generator.
#pragma once

#include <netinet/in.h>

#include <atomic>
#include <cstdint>
#include <string>

#include "lab/result.h"

namespace opalroute::lab {

// Answers each request with 202 and forwards it to the endpoint on a persistent connection: no journal, no
// routing decisions, no rate limits, no timers. Runs until the process ends.
[[noreturn]] void RunForwarder(int listener, const sockaddr_in& endpoint);

struct EndpointState {  // in memory shared with the measuring process
  std::atomic<long> calls{0};
  std::atomic<bool> withhold_responses{false};  // reads calls without answering them
};
// An endpoint that answers 200 immediately. Runs until the process ends.
[[noreturn]] void RunEndpoint(int listener, EndpointState& state);

struct LoadPlan {
  sockaddr_in target{};
  int connections = 64;
  double seconds = 3;
  // Requests per second, open loop; 0: closed loop, each connection sends again as soon as it is answered.
  double rate = 0;
  long max_requests = 0;  // 0: limited by time only
  int destinations = 1;   // numbered from 1, used in turn
  std::string message_class;
  std::string id_prefix;       // of the request ids (X-Txn)
  double remaining_time = 30;  // seconds (X-Remaining-Ms)
};
struct LoadResult {
  // `disconnected`: requests whose connection was closed before they were answered.
  long sent = 0, accepted = 0, rejected = 0, disconnected = 0;
  double seconds = 0;
  // Of accepted requests, from when they were sent (closed loop) or due (open loop) until the complete
  // response.
  LatencyHistogram response_time;
};
LoadResult GenerateLoad(const LoadPlan& plan);

}  // namespace opalroute::lab
