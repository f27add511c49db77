// What a recovering upstream route may get from all relays together, and this relay's part of it.
// docs/design.md, 'Suspected outages and recovery', derives the formulas.
#pragma once

#include <vector>

#include "decision/context.h"

namespace opalroute::decision {

// Relays from which on gossip and idle connections are handled for a large fleet.
constexpr int kLargeFleet = 8;

// Owns the least known limit of each endpoint kind; all else follows from the settings and the fleet size.
class RecoveryBudget {
 public:
  explicit RecoveryBudget(DecisionContext& context);

  // A route of `kind` has this limit, in calls a second.
  void LearnLimit(int kind, double limit);
  // Calls a second that a route takes: its limit; unknown (0), the least that is known of its kind.
  double EstimateCapacity(double limit, int kind) const;
  // Calls a second that all relays together may send at `share` (0 to 1) of the capacity.
  double FleetRate(double capacity, double share) const;
  // This relay's calls a second in a slow start that has lasted for `elapsed`.
  double SlowStartRate(double limit, double capacity, Seconds elapsed) const;
  // Tokens that a slow start begins with.
  double DrawInitialTokens(double limit);
  // Time between two recovery trials of one relay, where `trying_relays` take part.
  Seconds TrialInterval(double capacity, double trying_relays) const;
  // Until the first trial after a suspected outage has begun; it comes soon, as it may be a false alarm.
  Seconds DrawFirstTrialDelay();
  // How long a due trial may wait to be sent before it is drawn anew.
  Seconds TrialLapse() const;

 private:
  double TrialShare() const;
  bool AllRelaysKnowOfReturn(double limit) const;

  DecisionContext& context_;
  std::vector<double> least_limit_by_kind_;
};

}  // namespace opalroute::decision
