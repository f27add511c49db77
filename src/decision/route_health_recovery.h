// Hands what an earlier process of this relay knew of the health of routes to the routes of this process.
#pragma once

#include "decision/call_pacer.h"
#include "decision/context.h"
#include "decision/endpoint_table.h"
#include "decision/recovery_budget.h"
#include "decision/route_health_reporter.h"

namespace opalroute::decision {

// Has no state of its own.
class RouteHealthRecovery {
 public:
  RouteHealthRecovery(DecisionContext& context, EndpointTable& table, CallPacer& pacer,
                      RecoveryBudget& budget, RouteHealthReporter& reporter);

  void Apply(const RecoveredRouteHealth& recovered);

 private:
  void RecoverRoute(Endpoint& endpoint, const RecoveredRouteHealth& recovered);
  void RecoverCircuit(Endpoint& endpoint);
  void ScheduleTrial(Endpoint& endpoint);

  DecisionContext& context_;
  EndpointTable& table_;
  CallPacer& pacer_;
  RecoveryBudget& budget_;
  RouteHealthReporter& reporter_;
};

}  // namespace opalroute::decision
