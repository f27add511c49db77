// The state of routes that a relay passes on to one that starts, and what that one makes of it.
#pragma once

#include <optional>
#include <vector>

#include "decision/context.h"
#include "decision/endpoint_health.h"
#include "decision/endpoint_table.h"
#include "decision/latency_estimator.h"
#include "decision/recovery_budget.h"

namespace opalroute::decision {

// As RequestRouter::ExportRouteStates.
std::vector<RouteState> ExportRouteStates(const EndpointTable& table, Seconds now,
                                          std::optional<DestinationId>& from, int most);

// Has no state of its own.
class StateMerger {
 public:
  StateMerger(DecisionContext& context, EndpointTable& table, EndpointHealth& health, RecoveryBudget& budget,
              const LatencyEstimator& latency);

  void Merge(const TransferredState& transferred);

 private:
  void MergeRoute(Destination& destination, Endpoint& endpoint, const RouteState& state);
  void MergeHealth(RouteHealth& health, const RouteState& state);

  DecisionContext& context_;
  EndpointTable& table_;
  EndpointHealth& health_;
  RecoveryBudget& budget_;
  const LatencyEstimator& latency_;
};

}  // namespace opalroute::decision
