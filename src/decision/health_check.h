// Health checks of endpoints whose circuit is open, and the deletion of endpoints removed from the list.
#pragma once

#include "decision/call_pacer.h"
#include "decision/context.h"
#include "decision/endpoint_health.h"
#include "decision/endpoint_table.h"
#include "decision/zone_traffic.h"

namespace opalroute::decision {

// Whether a health check replaces recovery trials with requests. False if one is already in flight, or if the
// last failure proves that the call did not run, as a request then risks nothing.
bool NeedsHealthCheck(const Endpoint& endpoint, const Settings& settings);

// Owns Endpoint::health_check_in_flight.
class HealthChecker {
 public:
  HealthChecker(DecisionContext& context, EndpointTable& table, EndpointHealth& health, CallPacer& pacer,
                ZoneTraffic& zones);

  // Deletes removed endpoints that are no longer in use, and starts the health checks that are due. Returns
  // when the next check is due; kNever: none.
  Seconds OnBatchEnd();
  void OnOutcome(const HealthCheckOutcome& outcome);

 private:
  Seconds CheckIfDue(Endpoint& endpoint);

  DecisionContext& context_;
  EndpointTable& table_;
  EndpointHealth& health_;
  CallPacer& pacer_;
  ZoneTraffic& zones_;
};

}  // namespace opalroute::decision
