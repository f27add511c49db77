#include "decision/rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace opalroute::decision {
namespace {

constexpr double kFirstBackoff = 0.01;         // of the overload window, times the number of relays
constexpr double kMaxFirstBackoff = 0.7;       // of the overload window
constexpr double kReductionFactor = 0.7;       // factor on the send rate after a rejection
constexpr double kMinRateShare = 0.2;          // of an even share: lower bound of the send rate
constexpr double kRateRecoveryTime = 0.4;      // of a slow start: time to regain an even share of the limit
constexpr double kUnknownLimitGrowth = 1.05;   // factor on the send rate with each served call
constexpr double kMinFirstBackoffCalls = 0.5;  // calls that the limit admits in the shortest first backoff
constexpr double kBurstAfterRejection = 1;     // calls
constexpr double kMinBurst = 1;                // calls

}  // namespace

void RateLimiter::LearnLimit(double limit, const DecisionContext& context) {
  if (limit <= 0) return;
  if (std::exchange(limit_, limit) <= 0) {
    const double even_share = limit / context.share_count;
    // An even share of less than one call in the overload window would delay the first calls needlessly.
    if (limit * context.settings.overload_window > context.settings.relay_count)
      send_rate_ = std::min(send_rate_, even_share);
    bucket_ = {1, std::max(bucket_.refilled_at, context.now)};
  }
  send_rate_ = std::min(send_rate_, limit);
}

// Assumes one call in the overload window for each relay where the limit is unknown. A lower guess could
// leave a relay with one call in many seconds.
double RateLimiter::EvenShare(const DecisionContext& context) const {
  return limit_ > 0 ? limit_ / context.share_count : 1 / context.settings.overload_window;
}

Seconds RateLimiter::TimeUntilCall(bool in_recovery, const DecisionContext& context) {
  const Settings& settings = context.settings;
  const Seconds now = context.now;
  const Seconds wait = std::max({0.0, retry_after_until_ - now, in_recovery ? 0 : backoff_until_ - now});
  if (send_rate_ == kNever) return wait;
  const Seconds passed = now - bucket_.refilled_at;
  if (limit_ > 0) {
    send_rate_ = std::min(limit_, send_rate_ + EvenShare(context) * passed /
                                                   (kRateRecoveryTime * settings.slow_start_duration));
  }
  bucket_.Refill(now, send_rate_,
                 std::max(kMinBurst, send_rate_ * kRateControlSpan * settings.overload_window));
  return std::max(wait, bucket_.TimeUntilToken(send_rate_));
}

void RateLimiter::Charge() {
  if (send_rate_ < kNever) bucket_.tokens -= 1;
}

void RateLimiter::OnServed() {
  consecutive_rejections_ = 0;
  if (limit_ <= 0) send_rate_ *= kUnknownLimitGrowth;
}

// Without jitter and doubling, all relays that a route has rejected would retry together at the end of the
// same Retry-After.
void RateLimiter::OnRejected(DecisionContext& context, Seconds spread) {
  const Settings& settings = context.settings;
  const Seconds first =
      std::max(std::min(kMaxFirstBackoff, kFirstBackoff * context.share_count) * settings.overload_window,
               limit_ > 0 ? kMinFirstBackoffCalls / limit_ : 0);
  const Seconds backoff =
      std::min(settings.slow_start_duration, first * std::exp2(consecutive_rejections_++));
  // One draw a statement: within an expression compilers for other machines draw in another order.
  const Seconds spread_delay = spread > 0 ? spread * context.random.Uniform() : 0;
  const Seconds delay = std::max(backoff * context.random.JitterFactor(), spread_delay);
  backoff_until_ = std::max(backoff_until_, std::max(context.now, retry_after_until_) + delay);
}

bool RateLimiter::ReduceSendRate(const DecisionContext& context) {
  bucket_.tokens = std::min(bucket_.tokens, kBurstAfterRejection);
  if (context.now - reduced_at_ <= kRateControlSpan * context.settings.overload_window) return false;
  const double even_share = EvenShare(context);
  const double from = std::min(send_rate_, std::max(1.0, even_share));
  send_rate_ = std::max(kReductionFactor * from, kMinRateShare * even_share);
  reduced_at_ = context.now;
  return true;
}

void RateLimiter::ExtendRetryAfter(Seconds until) {
  retry_after_until_ = std::max(retry_after_until_, until);
}

void RateLimiter::MergeReduction(double send_rate, Seconds reduced_at, const DecisionContext& context) {
  if (limit_ <= 0 || send_rate >= send_rate_) return;
  send_rate_ = std::min(send_rate_, std::max(send_rate, kMinRateShare * EvenShare(context)));
  reduced_at_ = std::max(reduced_at_, reduced_at);
}

}  // namespace opalroute::decision
