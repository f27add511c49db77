#include "decision/recovery_budget.h"

#include <algorithm>
#include <cmath>

#include "decision/never.h"

namespace opalroute::decision {
namespace {

constexpr double kInformedShare = 2.0 / 3;    // of the budget: for relays that know of the outage
constexpr double kReservedDeviations = 2;     // standard deviations of margin below that share
constexpr double kMaxTrialDelay = 0.1;        // of the overload window
constexpr double kFirstTrialShare = 1.0 / 3;  // of the informed share: for the first trials

}  // namespace

RecoveryBudget::RecoveryBudget(DecisionContext& context)
    : context_(context), min_limit_by_kind_(context.settings.kinds.size(), kNever) {}

void RecoveryBudget::LearnLimit(int kind, double limit) {
  if (limit <= 0) return;
  min_limit_by_kind_[kind] = std::min(min_limit_by_kind_[kind], limit);
}

double RecoveryBudget::EstimateCapacity(double limit, int kind) const {
  const double capacity = limit > 0 ? limit : min_limit_by_kind_[kind];
  return capacity == kNever ? 1 / context_.settings.overload_window : capacity;
}

// No relay sees the calls of the others or the moment of the recovery, so the budget leaves a margin for
// random clusters of calls.
double RecoveryBudget::FleetRate(double capacity, double share) const {
  const Settings& settings = context_.settings;
  const double relays = context_.share_count;
  const double informed_share = std::min(1.0, kInformedShare * relays / std::max(1.0, relays - 1.0));
  const double budget =
      informed_share * settings.overload_factor * share * capacity * settings.overload_window;
  const double half_margin = kReservedDeviations / 2 * std::sqrt(1 - 1 / relays);
  const double sqrt_calls = std::sqrt(half_margin * half_margin + budget) - half_margin;
  // A relay spaces its own calls, so a smaller margin may be enough.
  const double spaced_calls = budget - kReservedDeviations / 2 * std::sqrt(relays - 1);
  return std::max(sqrt_calls * sqrt_calls, spaced_calls) / ((1 + kMaxTrialDelay) * settings.overload_window);
}

// The share of the initial fleet rate that trials use; the rest is for the slow starts that they lead to.
double RecoveryBudget::TrialShare() const { return (1 + 1 / context_.share_count) / 2; }

bool RecoveryBudget::AllRelaysKnowOfRecovery(double limit) const {
  return context_.settings.may_gossip && context_.settings.relay_count > kLargeFleet && limit > 0;
}

double RecoveryBudget::SlowStartRate(double limit, double capacity, Seconds elapsed) const {
  const Settings& settings = context_.settings;
  const double initial_share = settings.slow_start_initial_share;
  const double progress = std::clamp(elapsed / settings.slow_start_duration, 0.0, 1.0);
  const double share = initial_share + (1 - initial_share) * progress;
  if (AllRelaysKnowOfRecovery(limit))
    return kInformedShare * settings.overload_factor * share * limit / context_.share_count;
  const double even = FleetRate(capacity, share) / context_.share_count;
  return std::max(TrialShare() * even, (FleetRate(capacity, 1) / FleetRate(capacity, initial_share) - 1) /
                                           (TrialShare() * settings.slow_start_duration));
}

double RecoveryBudget::InitialTokens(double limit) {
  return AllRelaysKnowOfRecovery(limit) ? context_.random.Uniform() : 1 / TrialShare() - 1;
}

Seconds RecoveryBudget::TrialInterval(double capacity, double relays_sending_trials) const {
  return relays_sending_trials /
         (TrialShare() * FleetRate(capacity, context_.settings.slow_start_initial_share));
}

Seconds RecoveryBudget::RandomFirstTrialDelay() {
  const Settings& settings = context_.settings;
  const double share =
      kFirstTrialShare * kInformedShare * settings.overload_factor * settings.slow_start_initial_share;
  return 2 * share * settings.overload_window * context_.random.Uniform();
}

Seconds RecoveryBudget::MaxTrialDelay() const { return kMaxTrialDelay * context_.settings.overload_window; }

}  // namespace opalroute::decision
