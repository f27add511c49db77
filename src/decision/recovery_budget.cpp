#include "decision/recovery_budget.h"

#include <algorithm>
#include <cmath>

#include "decision/never.h"

namespace opalroute::decision {
namespace {

constexpr double kInformedPart = 2.0 / 3;    // of the budget: for relays that know of the outage
constexpr double kDeviations = 2;            // standard deviations kept free under that part
constexpr double kTrialLapse = 0.1;          // of the overload window
constexpr double kFirstTrialPart = 1.0 / 3;  // of the informed part: for the first trials

}  // namespace

RecoveryBudget::RecoveryBudget(DecisionContext& context)
    : context_(context), least_limit_by_kind_(context.settings.kinds.size(), kNever) {}

void RecoveryBudget::LearnLimit(int kind, double limit) {
  if (limit <= 0) return;
  least_limit_by_kind_[kind] = std::min(least_limit_by_kind_[kind], limit);
}

double RecoveryBudget::EstimateCapacity(double limit, int kind) const {
  const double capacity = limit > 0 ? limit : least_limit_by_kind_[kind];
  return capacity == kNever ? 1 / context_.settings.overload_window : capacity;
}

// No relay sees the calls of the others or the moment of the return, so the sum keeps room for chance.
double RecoveryBudget::FleetRate(double capacity, double share) const {
  const Settings& settings = context_.settings;
  const double relays = context_.share_count;
  const double part = std::min(1.0, kInformedPart * relays / std::max(1.0, relays - 1.0));
  const double budget = part * settings.overload_factor * share * capacity * settings.overload_window;
  const double chance = kDeviations / 2 * std::sqrt(1 - 1 / relays);
  const double root = std::sqrt(chance * chance + budget) - chance;
  const double spaced = budget - kDeviations / 2 * std::sqrt(relays - 1);  // calls of one relay are spaced
  return std::max(root * root, spaced) / ((1 + kTrialLapse) * settings.overload_window);
}

// The part of the lowest rate that trials use; the rest is for the slow starts that they lead to.
double RecoveryBudget::TrialShare() const { return (1 + 1 / context_.share_count) / 2; }

bool RecoveryBudget::AllRelaysKnowOfReturn(double limit) const {
  return context_.settings.may_gossip && context_.settings.relay_count > kLargeFleet && limit > 0;
}

double RecoveryBudget::SlowStartRate(double limit, double capacity, Seconds elapsed) const {
  const Settings& settings = context_.settings;
  const double initial_share = settings.slow_start_initial_share;
  const double progress = std::clamp(elapsed / settings.slow_start_duration, 0.0, 1.0);
  const double share = initial_share + (1 - initial_share) * progress;
  if (AllRelaysKnowOfReturn(limit))
    return kInformedPart * settings.overload_factor * share * limit / context_.share_count;
  const double even = FleetRate(capacity, share) / context_.share_count;
  return std::max(TrialShare() * even, (FleetRate(capacity, 1) / FleetRate(capacity, initial_share) - 1) /
                                           (TrialShare() * settings.slow_start_duration));
}

double RecoveryBudget::DrawInitialTokens(double limit) {
  return AllRelaysKnowOfReturn(limit) ? context_.random.Unit() : 1 / TrialShare() - 1;
}

Seconds RecoveryBudget::TrialInterval(double capacity, double trying_relays) const {
  return trying_relays / (TrialShare() * FleetRate(capacity, context_.settings.slow_start_initial_share));
}

Seconds RecoveryBudget::DrawFirstTrialDelay() {
  const Settings& settings = context_.settings;
  const double part =
      kFirstTrialPart * kInformedPart * settings.overload_factor * settings.slow_start_initial_share;
  return 2 * part * settings.overload_window * context_.random.Unit();
}

Seconds RecoveryBudget::TrialLapse() const { return kTrialLapse * context_.settings.overload_window; }

}  // namespace opalroute::decision
