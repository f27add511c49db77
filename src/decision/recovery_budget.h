// The calls that all relays together may send to a recovering upstream route, and this relay's share of them.
// docs/design.md, 'Suspected outages and recovery', derives the formulas.
#pragma once

#include <optional>
#include <vector>

#include "decision/context.h"

namespace opalroute::decision {

// Owns the lowest known limit of each endpoint kind; all else follows from the settings and the fleet size.
class RecoveryBudget {
 public:
  explicit RecoveryBudget(DecisionContext& context);

  // Records the limit of a route of `kind`, in calls per second; 0 or less: unknown. A limit of an unknown
  // kind tells nothing about others.
  void LearnLimit(std::optional<KindId> kind, double limit);
  // Calls per second that a route is assumed to take: its limit; if unknown (0), the lowest known limit of
  // its kind, or of all kinds if that is unknown; if there is none, one call in the overload window.
  double EstimateCapacity(double limit, std::optional<KindId> kind) const;
  // Calls per second that all relays together may send at `share` (0 to 1) of the capacity.
  double FleetRate(double capacity, double share) const;
  // Calls per second that this relay may send in a slow start that has lasted for `elapsed`.
  double SlowStartRate(double capacity, Seconds elapsed) const;
  // Tokens at the beginning of a slow start.
  double InitialTokens();
  // Time between two recovery trials of one relay while `relays_sending_trials` relays send them.
  Seconds TrialInterval(double capacity, double relays_sending_trials) const;
  // The longest time over which the retries of rejected calls are spread, as the rejection may be due to an
  // outage that all relays meet: the time between two calls of one relay if all call a route that has just
  // recovered, but not longer than a false alarm may delay a request.
  Seconds RejectionSpread(double capacity) const;
  // Random delay of the first trial of an outage that other relays suspect; short, as they may be wrong.
  Seconds RandomSoonTrialDelay();
  // The same for an outage that this relay suspects. In a large fleet half of the relays wait longer: each
  // relay that learns of an outage would otherwise send as many calls after it has learned of it as before.
  Seconds RandomFirstTrialDelay();
  // How long a due trial may wait to be sent before it is scheduled again at random.
  Seconds MaxTrialDelay() const;

 private:
  double TrialShare() const;
  bool AllRelaysKnowOfRecovery() const;
  static double MaxCalls(double allowed);
  static double LargeFleetCalls(double allowed);
  double SmallFleetCalls(double allowed) const;

  double LowestKnownLimit(std::optional<KindId> kind) const;

  DecisionContext& context_;
  std::vector<double> min_limit_by_kind_;
};

}  // namespace opalroute::decision
