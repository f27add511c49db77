// Health checks of endpoints whose circuit is open, and the removal of endpoints that have left.
#pragma once

#include "decision/call_pacer.h"
#include "decision/context.h"
#include "decision/endpoint_health.h"
#include "decision/endpoint_table.h"
#include "decision/zone_traffic.h"

namespace opalroute::decision {

// Whether a health check takes the place of recovery trials with requests. Not where the latest failure
// proved that the call had not run: there a request risks nothing.
bool IsHealthChecked(const Endpoint& endpoint, const Settings& settings);

// Owns which endpoints have a health check in flight.
class HealthChecker {
 public:
  HealthChecker(DecisionContext& context, EndpointTable& table, EndpointHealth& health, CallPacer& pacer,
                ZoneTraffic& zones);

  // Removes endpoints that have left and starts the health checks that are due. Returns when the next one
  // is due; kNever: none.
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
