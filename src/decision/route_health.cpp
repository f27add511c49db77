#include "decision/route_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace opalroute::decision {
namespace {

constexpr int kMinFaultsToSuspect = 2;
constexpr int kMaxFaultsToSuspect = 4;  // also for a route that served within the slow start's duration
constexpr double kSlowStartBurst = 1;   // calls

}  // namespace

void RouteHealth::CountRejection(Seconds sent, Seconds now) {
  if (sent >= fault_at_) ++faults_;
  fault_at_ = now;
}

void RouteHealth::CountFailure(Seconds sent, const DecisionContext& context) {
  if (context.IsLargeFleet() && sent < last_served_sent_) return;
  CountRejection(sent, context.now);
  has_failures_ = true;
}

void RouteHealth::CountLongRetryAfter() { faults_ += kMaxFaultsToSuspect; }

// The recovery budget counts a relay as informed of an outage after one fault, which an exceeded limit can
// cause as well: docs/design.md, 'Suspected outages and recovery'.
bool RouteHealth::Update(double limit, std::optional<KindId> kind, bool has_trial, DecisionContext& context,
                         RecoveryBudget& budget) {
  const Settings& settings = context.settings;
  const bool may_be_out =
      faults_ >= kMinFaultsToSuspect && last_served_ <= context.now - settings.overload_window;
  if (may_be_out && faults_ >= FaultsToSuspect(limit, kind, context, budget)) {
    if (!std::exchange(in_recovery_, true) && !has_trial) ScheduleFirstTrial(context.now, budget);
    slow_start_at_ = kNever;
  }
  if (context.now - slow_start_at_ < settings.slow_start_duration) return false;
  in_recovery_ = false;
  return true;
}

int RouteHealth::FaultsToSuspect(double limit, std::optional<KindId> kind, const DecisionContext& context,
                                 const RecoveryBudget& budget) const {
  const Settings& settings = context.settings;
  if (last_served_ > context.now - settings.slow_start_duration) return kMaxFaultsToSuspect;
  const double capacity = budget.EstimateCapacity(limit, kind);
  const double own_calls = budget.FleetRate(capacity, settings.slow_start_initial_share) *
                           settings.overload_window / context.share_count;
  return std::min(kMaxFaultsToSuspect, kMinFaultsToSuspect + static_cast<int>(std::lround(own_calls)));
}

void RouteHealth::OnServed(Seconds sent, Seconds now) {
  faults_ = 0;
  has_failures_ = false;
  last_served_ = now;
  last_served_sent_ = std::max(last_served_sent_, sent);
}

void RouteHealth::ScheduleFirstTrial(Seconds now, RecoveryBudget& budget) {
  next_trial_at_ = now + budget.RandomFirstTrialDelay();
}

void RouteHealth::StartSlowStart(double initial_tokens, bool whole_route, Seconds now) {
  faults_ = 0;
  has_failures_ = false;
  in_recovery_ = in_recovery_ || whole_route;
  slow_start_at_ = now;
  slow_start_bucket_ = {initial_tokens, now};
}

Seconds RouteHealth::TimeUntilSlowStartCall(double rate, Seconds now) {
  slow_start_bucket_.Refill(now, rate, kSlowStartBurst);
  return slow_start_bucket_.TimeUntilToken(rate);
}

// Another relay's report may be wrong, so it is not counted as a fault: a trial is sent soon, and its success
// ends the suspicion.
void RouteHealth::MergeFailure(Seconds failed_at, Seconds now, RecoveryBudget& budget) {
  in_recovery_ = true;
  slow_start_at_ = kNever;
  fault_at_ = std::max(fault_at_, failed_at);
  ScheduleTrial(now + budget.RandomSoonTrialDelay());
}

void RouteHealth::MergeSlowStart(Seconds since, Seconds now) {
  if (in_recovery_ && since <= slow_start_at_) return;
  in_recovery_ = true;
  slow_start_at_ = since;
  slow_start_bucket_ = {std::min(0.0, slow_start_bucket_.tokens), now};
}

void RouteHealth::RecoverFaults(int faults, Seconds fault_at) {
  faults_ = faults;
  has_failures_ = faults > 0;
  fault_at_ = fault_at;
}

void RouteHealth::RecoverOutage(int faults, Seconds fault_at) {
  RecoverFaults(faults, fault_at);
  in_recovery_ = true;
  slow_start_at_ = kNever;
}

RouteCondition RouteHealth::Condition(const DecisionContext& context) const {
  if (IsSuspectedOut()) return RouteCondition::kSuspected;
  if (context.now - slow_start_at_ < context.settings.slow_start_duration && slow_start_at_ < kNever)
    return RouteCondition::kSlowStart;
  return has_faults() ? RouteCondition::kFaulty : RouteCondition::kServing;
}

bool RouteHealth::IsUnobserved() const {
  return faults_ == 0 && last_served_ == -kNever && fault_at_ == -kNever && slow_start_at_ == kNever;
}

bool RouteHealth::IsFailing() const { return IsSuspectedOut() || faults_ >= kMinFaultsToSuspect; }

}  // namespace opalroute::decision
