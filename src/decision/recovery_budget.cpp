#include "decision/recovery_budget.h"

#include <algorithm>
#include <cmath>

#include "decision/never.h"

namespace opalroute::decision {
namespace {

constexpr double kInformedShare = 2.0 / 3;    // of the budget: for relays that know of the outage
constexpr double kFewCalls = 30;              // up to here the rule tolerates more random variation
constexpr double kReservedDeviations = 5;     // standard deviations of margin below what a route bears
constexpr double kMaxTrialDelay = 0.1;        // of the overload window
constexpr double kMaxRejectionSpread = 1;     // overload windows
constexpr double kFirstTrialShare = 1.0 / 3;  // of the informed share: for the first trials
constexpr double kSoonTrialShare = 1.0 / 2;   // of the relays of a large fleet
constexpr double kLateTrialDelay = 4;         // overload windows, on average: for the others

}  // namespace

RecoveryBudget::RecoveryBudget(DecisionContext& context)
    : context_(context), min_limit_by_kind_(context.settings.kinds.size(), kNever) {}

void RecoveryBudget::LearnLimit(std::optional<KindId> kind, double limit) {
  if (limit <= 0 || !kind) return;
  double& min_limit = min_limit_by_kind_[static_cast<std::size_t>(*kind)];
  min_limit = std::min(min_limit, limit);
}

double RecoveryBudget::LowestKnownLimit(std::optional<KindId> kind) const {
  if (kind) return min_limit_by_kind_[static_cast<std::size_t>(*kind)];
  const auto lowest = std::min_element(min_limit_by_kind_.begin(), min_limit_by_kind_.end());
  return lowest == min_limit_by_kind_.end() ? kNever : *lowest;
}

double RecoveryBudget::EstimateCapacity(double limit, std::optional<KindId> kind) const {
  const double capacity = limit > 0 ? limit : LowestKnownLimit(kind);
  return capacity == kNever ? 1 / context_.settings.overload_window : capacity;
}

// Calls that a route bears in an overload window if its capacity allows `allowed` calls.
double RecoveryBudget::MaxCalls(double allowed) {
  const double deviations = allowed < kFewCalls ? 3 : 2;
  return allowed + deviations * std::sqrt(allowed + deviations);
}

// No relay sees the calls of the others or the moment of the recovery, so the budget leaves a margin for
// random clusters of calls.
double RecoveryBudget::FleetRate(double capacity, double share) const {
  const Settings& settings = context_.settings;
  const double allowed = settings.overload_factor * share * capacity * settings.overload_window;
  const bool is_large = context_.share_count > kLargeFleet;
  const double calls = is_large ? LargeFleetCalls(allowed) : SmallFleetCalls(allowed);
  return calls / ((1 + kMaxTrialDelay) * settings.overload_window);
}

// n + kReservedDeviations * sqrt(n) = MaxCalls(allowed)
double RecoveryBudget::LargeFleetCalls(double allowed) {
  const double half_margin = kReservedDeviations / 2;
  const double sqrt_calls = std::sqrt(half_margin * half_margin + MaxCalls(allowed)) - half_margin;
  return sqrt_calls * sqrt_calls;
}

// Few relays space most of the calls, so they stay close to what the capacity allows.
double RecoveryBudget::SmallFleetCalls(double allowed) const {
  const double relays = context_.share_count;
  const double informed_share = std::min(1.0, kInformedShare * relays / std::max(1.0, relays - 1.0));
  const double budget = informed_share * allowed;
  const double half_margin = std::sqrt(1 - 1 / relays);
  const double sqrt_calls = std::sqrt(half_margin * half_margin + budget) - half_margin;
  const double spaced_calls = budget - std::sqrt(relays - 1);
  return std::max(sqrt_calls * sqrt_calls, spaced_calls);
}

// The share of the initial fleet rate that trials use; the rest is for the slow starts that they lead to.
double RecoveryBudget::TrialShare() const { return (1 + 1 / context_.share_count) / 2; }

bool RecoveryBudget::AllRelaysKnowOfRecovery() const {
  return context_.settings.may_gossip && context_.settings.relay_count > kLargeFleet;
}

double RecoveryBudget::SlowStartRate(double capacity, Seconds elapsed) const {
  const Settings& settings = context_.settings;
  const double initial_share = settings.slow_start_initial_share;
  const double progress = std::clamp(elapsed / settings.slow_start_duration, 0.0, 1.0);
  const double share = initial_share + (1 - initial_share) * progress;
  const double even = FleetRate(capacity, share) / context_.share_count;
  if (AllRelaysKnowOfRecovery()) return even;
  return std::max(TrialShare() * even, (FleetRate(capacity, 1) / FleetRate(capacity, initial_share) - 1) /
                                           (TrialShare() * settings.slow_start_duration));
}

double RecoveryBudget::InitialTokens() {
  return AllRelaysKnowOfRecovery() ? context_.random.Uniform() : 1 / TrialShare() - 1;
}

Seconds RecoveryBudget::TrialInterval(double capacity, double relays_sending_trials) const {
  return relays_sending_trials /
         (TrialShare() * FleetRate(capacity, context_.settings.slow_start_initial_share));
}

Seconds RecoveryBudget::RejectionSpread(double capacity) const {
  const Settings& settings = context_.settings;
  const Seconds interval = context_.share_count / FleetRate(capacity, settings.slow_start_initial_share);
  return std::min(interval, kMaxRejectionSpread * settings.overload_window);
}

Seconds RecoveryBudget::RandomSoonTrialDelay() {
  const Settings& settings = context_.settings;
  const double share =
      kFirstTrialShare * kInformedShare * settings.overload_factor * settings.slow_start_initial_share;
  return 2 * share * settings.overload_window * context_.random.Uniform();
}

Seconds RecoveryBudget::RandomFirstTrialDelay() {
  const Settings& settings = context_.settings;
  const Seconds soon = RandomSoonTrialDelay();
  if (!context_.IsLargeFleet() || context_.random.Uniform() < kSoonTrialShare) return soon;
  return soon + kLateTrialDelay * settings.overload_window * (0.5 + context_.random.Uniform());
}

Seconds RecoveryBudget::MaxTrialDelay() const { return kMaxTrialDelay * context_.settings.overload_window; }

}  // namespace opalroute::decision
