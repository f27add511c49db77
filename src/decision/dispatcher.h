// Gives free slots to destinations with waiting requests, and chooses the endpoints.
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

// Owns the time of the shutdown.
class Dispatcher {
 public:
  Dispatcher(DecisionContext& context, const RequestQueue& queue, const LatencyEstimator& latency,
             ZoneTraffic& zones, EndpointHealth& health, CallPacer& pacer, CallTable& calls,
             CallSender& sender);

  // Sends what may leave now. Returns when more may leave; kNever: not by time alone.
  Seconds Dispatch();
  // The process ends at `at`: calls that would usually come back later are left to the next process.
  void ShutDownAt(Seconds at) { shutdown_at_ = at; }

 private:
  Seconds SendOne(Destination& destination);
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
