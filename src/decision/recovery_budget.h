// The calls that all relays together may send to a recovering upstream route, and this relay's share of them.
// docs/design.md, 'Suspected outages and recovery', derives the formulas.
#pragma once

#include <vector>

#include "decision/context.h"

namespace opalroute::decision {

// A fleet of more relays than this counts as large, which changes how it uses gossip and idle connections.
constexpr int kLargeFleet = 8;

// Owns the lowest known limit of each endpoint kind; all else follows from the settings and the fleet size.
class RecoveryBudget {
 public:
  explicit RecoveryBudget(DecisionContext& context);

  // Records the limit of a route of `kind`, in calls per second; 0 or less: unknown.
  void LearnLimit(int kind, double limit);
  // Calls per second that a route is assumed to take: its limit; if unknown (0), the lowest known limit of
  // its kind; if there is none, one call in the overload window.
  double EstimateCapacity(double limit, int kind) const;
  // Calls per second that all relays together may send at `share` (0 to 1) of the capacity.
  double FleetRate(double capacity, double share) const;
  // Calls per second that this relay may send in a slow start that has lasted for `elapsed`.
  double SlowStartRate(double limit, double capacity, Seconds elapsed) const;
  // Tokens at the beginning of a slow start.
  double InitialTokens(double limit);
  // Time between two recovery trials of one relay while `relays_sending_trials` relays send them.
  Seconds TrialInterval(double capacity, double relays_sending_trials) const;
  // Random delay of the first trial of a suspected outage; short, as the suspicion may be a false alarm.
  Seconds RandomFirstTrialDelay();
  // How long a due trial may wait to be sent before it is scheduled again at random.
  Seconds MaxTrialDelay() const;

 private:
  double TrialShare() const;
  bool AllRelaysKnowOfRecovery(double limit) const;

  DecisionContext& context_;
  std::vector<double> min_limit_by_kind_;
};

}  // namespace opalroute::decision
