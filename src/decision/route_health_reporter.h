// Reports changes of the health of routes and circuits, for the log and for the next process of this relay.
#pragma once

#include "decision/context.h"
#include "decision/never.h"
#include "decision/recovery_budget.h"
#include "opalroute/actions.h"

namespace opalroute::decision {

struct Endpoint;

// What was reported of a route last.
struct ReportedHealth {
  RouteCondition condition = RouteCondition::kServing;
  int faults = 0;
  Seconds slow_start_at = kNever;
};

// Emits RouteHealthChanged. Has no state of its own: routes and endpoints keep what was reported last.
class RouteHealthReporter {
 public:
  RouteHealthReporter(DecisionContext& context, const RecoveryBudget& budget);

  // Reports the endpoint's route and its circuit if they differ from what was reported last.
  void Report(Endpoint& endpoint, RouteHealthCause cause);

 private:
  void ReportRoute(Endpoint& endpoint, RouteHealthCause cause);
  void ReportCircuit(Endpoint& endpoint, RouteHealthCause cause);
  RouteHealthChanged Describe(const Endpoint& endpoint, RouteHealthCause cause) const;

  DecisionContext& context_;
  const RecoveryBudget& budget_;
};

}  // namespace opalroute::decision
