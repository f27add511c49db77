// The health of an upstream route: healthy, suspected to be out (recovery trials only), or in slow start.
#pragma once

#include "decision/context.h"
#include "decision/never.h"
#include "decision/recovery_budget.h"
#include "decision/token_bucket.h"

namespace opalroute::decision {

// Owns the fault count, the recovery state and the time of the next recovery trial of one route.
class RouteHealth {
 public:
  // A call sent at `sent` was rejected. Calls sent before the latest fault was seen are not counted again.
  void CountRejection(Seconds sent, Seconds now);
  // The latest rejection may be due to an outage rather than to an exceeded limit.
  void CountRejectionAsFailure() { has_failures_ = true; }
  // A call failed that was sent at `sent`; counted as a rejection is. In a large fleet it is no fault if a
  // call that was sent later has been served.
  void CountFailure(Seconds sent, const DecisionContext& context);
  // A long Retry-After counts as enough faults to suspect an outage.
  void CountLongRetryAfter();
  // Suspects an outage after enough faults without a success, and ends a slow start that has run its full
  // time. Returns whether the latest slow start is over. `limit` is the route's limit in calls per second (0:
  // unknown), `kind` the kind of its endpoints, if known. `has_trial`: recovery trials are sent already, as a
  // circuit is open.
  bool Update(double limit, std::optional<KindId> kind, bool has_trial, DecisionContext& context,
              RecoveryBudget& budget);
  // A call was served that shows that the route is healthy.
  void OnServed(Seconds sent, Seconds now);
  // Schedules the first recovery trial after a short random delay.
  void ScheduleFirstTrial(Seconds now, RecoveryBudget& budget);
  // `initial_tokens`: calls that may be sent immediately. `whole_route`: it limits all endpoints of the
  // route, otherwise only those whose circuits are not closed.
  void StartSlowStart(double initial_tokens, bool whole_route, Seconds now);
  // How long until slow start allows the next call, at `rate` calls per second.
  Seconds TimeUntilSlowStartCall(double rate, Seconds now);
  void ScheduleTrial(Seconds at) { next_trial_at_ = at; }
  // Takes tokens for `calls`, which may be a fraction, from the slow start.
  void Charge(double calls) { slow_start_bucket_.tokens -= calls; }

  // Takes over what another relay has observed: a failure, or a slow start since `since`.
  void MergeFailure(Seconds failed_at, Seconds now, RecoveryBudget& budget);
  void MergeSlowStart(Seconds since, Seconds now);

  // Takes over what an earlier process of this relay had observed.
  void RecoverFaults(int faults, Seconds fault_at);
  void RecoverOutage(int faults, Seconds fault_at);
  void RecoverSlowStart(Seconds since, Seconds now) { MergeSlowStart(since, now); }

  RouteCondition Condition(const DecisionContext& context) const;
  // Whether this relay has made no observation of the route yet.
  bool IsUnobserved() const;
  int faults() const { return faults_; }
  bool in_recovery() const { return in_recovery_; }
  bool IsSuspectedOut() const { return in_recovery_ && slow_start_at_ == kNever; }
  bool has_faults() const { return faults_ > 0; }
  // Whether a call has failed since the latest served one.
  bool has_failures() const { return has_failures_; }
  // Whether state transferred to other relays reports the route as failing.
  bool IsFailing() const;
  Seconds fault_at() const { return fault_at_; }
  Seconds last_served() const { return last_served_; }
  Seconds slow_start_at() const { return slow_start_at_; }  // kNever: none, or an outage is suspected
  Seconds next_trial_at() const { return next_trial_at_; }

 private:
  int FaultsToSuspect(double limit, std::optional<KindId> kind, const DecisionContext& context,
                      const RecoveryBudget& budget) const;

  bool in_recovery_ = false;
  int faults_ = 0;  // since the last served call
  bool has_failures_ = false;
  Seconds last_served_ = -kNever;
  Seconds last_served_sent_ = -kNever;  // the latest time at which a served call was sent
  Seconds fault_at_ = -kNever;
  Seconds next_trial_at_ = -kNever;
  Seconds slow_start_at_ = kNever;
  TokenBucket slow_start_bucket_;
};

}  // namespace opalroute::decision
