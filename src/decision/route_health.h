// The health of an upstream route: served, suspected to be out (recovery trials only), or in slow start.
#pragma once

#include "decision/context.h"
#include "decision/never.h"
#include "decision/recovery_budget.h"
#include "decision/token_bucket.h"

namespace opalroute::decision {

// Owns the faults, the suspicion, the slow start and the time of the next recovery trial of one route.
class RouteHealth {
 public:
  // A call sent at `sent` failed or was rejected. Calls in flight together count as one fault.
  void CountFault(Seconds sent, Seconds now);
  // A long Retry-After weighs as much as the faults that make a route suspected.
  void CountLongRetryAfter();
  // Suspects an outage after faults without a success, and ends a slow start that has lasted its time. True
  // if a slow start has ended. `limit` is the route's, in calls a second (0: not known), `kind` that of its
  // endpoints.
  bool Update(double limit, int kind, DecisionContext& context, RecoveryBudget& budget);
  // A call was served that speaks for the route.
  void OnServed(Seconds now);
  // Draws the moment of the first recovery trial.
  void ScheduleFirstTrial(Seconds now, RecoveryBudget& budget);
  // `initial_tokens`: calls that may leave at once.
  void StartSlowStart(double initial_tokens, Seconds now);
  // The same for a route that is only now used again.
  void RequireSlowStart() { in_recovery_ = true; }
  // How long until slow start lets the next call through, at `rate` calls a second.
  Seconds TimeUntilSlowStartCall(double rate, Seconds now);
  void ScheduleTrial(Seconds at) { next_trial_at_ = at; }
  // Counts calls, or parts of one, against the slow start.
  void Charge(double calls) { slow_start_bucket_.tokens -= calls; }

  // What another relay knows: a failure, or a slow start since `since`.
  void MergeFailure(Seconds failed_at, Seconds now, RecoveryBudget& budget);
  void MergeSlowStart(Seconds since, Seconds now);

  bool in_recovery() const { return in_recovery_; }
  bool IsSuspectedOut() const { return in_recovery_ && slow_start_at_ == kNever; }
  bool has_faults() const { return faults_ > 0; }
  // Whether the route counts as failing for relays that learn from this one.
  bool IsFailing() const;
  Seconds fault_at() const { return fault_at_; }
  Seconds last_served() const { return last_served_; }
  Seconds slow_start_at() const { return slow_start_at_; }  // kNever: none yet
  Seconds next_trial_at() const { return next_trial_at_; }

 private:
  int FaultsToSuspect(double limit, int kind, const DecisionContext& context,
                      const RecoveryBudget& budget) const;

  bool in_recovery_ = false;
  int faults_ = 0;  // since the last served call
  Seconds last_served_ = -kNever;
  Seconds fault_at_ = -kNever;
  Seconds next_trial_at_ = -kNever;
  Seconds slow_start_at_ = kNever;
  TokenBucket slow_start_bucket_;
};

}  // namespace opalroute::decision
