// Fills a call with waiting requests and sends it, together with a hedged call if allowed.
#pragma once

#include <cstdint>
#include <vector>

#include "decision/call_pacer.h"
#include "decision/call_table.h"
#include "decision/context.h"
#include "decision/endpoint_health.h"
#include "decision/request_lifecycle.h"
#include "decision/request_queue.h"
#include "decision/request_table.h"

namespace opalroute::decision {

// Has no state of its own.
class CallSender {
 public:
  CallSender(DecisionContext& context, RequestTable& requests, RequestQueue& queue,
             RequestLifecycle& lifecycle, CallTable& calls, CallPacer& pacer, EndpointHealth& health);

  // Sends a call to `pair.first`, to which at least one waiting request may go, and possibly a hedged call to
  // `pair.second`.
  void SendCall(Destination& destination, EndpointPair pair);

 private:
  std::vector<Request*> TakeBatch(Destination& destination, Endpoint& endpoint);
  std::uint64_t OpenCall(Destination& destination, Endpoint& endpoint);
  void SendAttempt(Request& request, Endpoint& endpoint, std::uint64_t call, double latency_factor);
  bool MayHedgeNow(const Destination& destination, Endpoint& second);
  void SendHedged(Destination& destination, EndpointPair pair, const std::vector<Request*>& batch);

  DecisionContext& context_;
  RequestTable& requests_;
  RequestQueue& queue_;
  RequestLifecycle& lifecycle_;
  CallTable& calls_;
  CallPacer& pacer_;
  EndpointHealth& health_;
};

}  // namespace opalroute::decision
