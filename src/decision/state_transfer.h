// Exports the state of routes for a relay that starts, and merges such state from other relays.
#pragma once

#include <optional>
#include <vector>

#include "decision/context.h"
#include "decision/endpoint_health.h"
#include "decision/endpoint_table.h"
#include "decision/latency_estimator.h"
#include "decision/recovery_budget.h"
#include "decision/route_health_reporter.h"

namespace opalroute::decision {

// Implements RequestRouter::ExportRouteStates.
std::vector<RouteState> ExportRouteStates(const EndpointTable& table, Seconds now,
                                          std::optional<DestinationId>& from, int max_destinations);

// Applies the state of other relays to endpoints and routes. Has no state of its own.
class StateMerger {
 public:
  StateMerger(DecisionContext& context, EndpointTable& table, EndpointHealth& health, RecoveryBudget& budget,
              const LatencyEstimator& latency, RouteHealthReporter& reporter);

  void Merge(const TransferredState& transferred);

 private:
  void MergeRoute(Destination& destination, Endpoint& endpoint, const RouteState& state);
  void MergeHealth(RouteHealth& health, const RouteState& state);

  DecisionContext& context_;
  EndpointTable& table_;
  EndpointHealth& health_;
  RecoveryBudget& budget_;
  const LatencyEstimator& latency_;
  RouteHealthReporter& reporter_;
};

}  // namespace opalroute::decision
