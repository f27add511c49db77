// Assigns free slots to destinations with waiting requests, and chooses the endpoints of their calls.
#pragma once

#include <vector>

#include "decision/call_pacer.h"
#include "decision/call_sender.h"
#include "decision/call_table.h"
#include "decision/context.h"
#include "decision/endpoint_health.h"
#include "decision/latency_estimator.h"
#include "decision/request_queue.h"
#include "decision/zone_traffic.h"

namespace opalroute::decision {

// Owns the shutdown time.
class Dispatcher {
 public:
  Dispatcher(DecisionContext& context, const RequestQueue& queue, const LatencyEstimator& latency,
             ZoneTraffic& zones, EndpointHealth& health, CallPacer& pacer, CallTable& calls,
             CallSender& sender);

  // Sends all calls that may be sent now. Returns when to try again; kNever: not before another event.
  Seconds Dispatch();
  // The process ends at `at`: calls that are unlikely to complete by then are left to the next process.
  void ShutDownAt(Seconds at) { shutdown_at_ = at; }

 private:
  Seconds SendOneCall(Destination& destination);
  bool MaySendTrial(const Destination& destination, Endpoint& endpoint) const;

  DecisionContext& context_;
  const RequestQueue& queue_;
  const LatencyEstimator& latency_;
  ZoneTraffic& zones_;
  EndpointHealth& health_;
  CallPacer& pacer_;
  CallTable& calls_;
  CallSender& sender_;
  Seconds shutdown_at_ = kNever;
};

}  // namespace opalroute::decision
