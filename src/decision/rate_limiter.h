// The rate at which this relay may call an upstream route: the route's limit, this relay's part of it, the
// backoff after rejections, and Retry-After.
#pragma once

#include "decision/context.h"
#include "decision/never.h"
#include "decision/token_bucket.h"

namespace opalroute::decision {

// Part of Settings::overload_window. As much of the send rate may leave at once, and rejections inside the
// span count as one.
constexpr double kRateControlSpan = 0.2;

// Owns the limit, the send rate and the waits of one route.
class RateLimiter {
 public:
  // The route takes `limit` calls a second from all relays; 0 or less: not known, which changes nothing.
  void LearnLimit(double limit, const DecisionContext& context);
  // How long until the route may be called. The backoff after rejections does not bind a route in recovery,
  // whose calls are limited otherwise.
  Seconds TimeUntilCall(bool in_recovery, const DecisionContext& context);
  // Counts a call or a health check.
  void Charge();
  void OnServed();
  // Starts the next backoff, which doubles with each rejection in a row.
  void OnRejected(DecisionContext& context);
  // Reduces the send rate, once in kRateControlSpan; false inside it.
  bool ReduceSendRate(const DecisionContext& context);
  // No call leaves before `until`; an earlier Retry-After that lasts longer stays.
  void ExtendRetryAfter(Seconds until);
  // Takes over a reduction that another relay made at `reduced_at`, unless the rate is lower already.
  void MergeReduction(double send_rate, Seconds reduced_at, const DecisionContext& context);

  double limit() const { return limit_; }  // calls a second from all relays; 0: not known
  bool has_limit() const { return limit_ > 0; }
  double send_rate() const { return send_rate_; }  // calls a second of this relay; kNever: without a limit
  Seconds retry_after_until() const { return retry_after_until_; }
  Seconds reduced_at() const { return reduced_at_; }

 private:
  double EvenShare(const DecisionContext& context) const;

  double limit_ = 0;
  double send_rate_ = kNever;
  TokenBucket bucket_;
  Seconds retry_after_until_ = -kNever;
  Seconds backoff_until_ = -kNever;
  Seconds reduced_at_ = -kNever;
  int rejections_in_row_ = 0;
};

}  // namespace opalroute::decision
