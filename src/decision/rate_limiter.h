// The rate at which this relay may call an upstream route: the route's limit, this relay's share of it, the
// backoff after rejections, and Retry-After.
#pragma once

#include "decision/context.h"
#include "decision/never.h"
#include "decision/token_bucket.h"

namespace opalroute::decision {

// A time span, as a share of Settings::overload_window. A burst may be as large as the send rate allows in
// this span, and several rejections within it reduce the send rate only once.
constexpr double kRateControlSpan = 0.2;

// Owns the limit, the send rate, the backoff and the Retry-After of one route.
class RateLimiter {
 public:
  // Sets the route's limit, in calls per second from all relays. 0 or less means unknown and changes nothing.
  void LearnLimit(double limit, const DecisionContext& context);
  // How long until the route may be called. In recovery the backoff after rejections does not apply, as
  // recovery trials and slow start limit the calls.
  Seconds TimeUntilCall(bool in_recovery, const DecisionContext& context);
  // Takes a token for a call or a health check.
  void Charge();
  void OnServed();
  // Starts a backoff, which doubles with each consecutive rejection. It is drawn from up to `spread` if that
  // is longer.
  void OnRejected(DecisionContext& context, Seconds spread);
  // Reduces the send rate, at most once per kRateControlSpan. Returns whether it was reduced.
  bool ReduceSendRate(const DecisionContext& context);
  // Allows no call before `until`; an earlier Retry-After that lasts longer stays in force.
  void ExtendRetryAfter(Seconds until);
  // Takes over a reduction that another relay made at `reduced_at`, unless the send rate is already lower.
  void MergeReduction(double send_rate, Seconds reduced_at, const DecisionContext& context);

  double limit() const { return limit_; }  // calls per second from all relays; 0: unknown
  bool has_limit() const { return limit_ > 0; }
  double send_rate() const { return send_rate_; }  // calls per second of this relay; kNever: unlimited
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
  int consecutive_rejections_ = 0;
};

}  // namespace opalroute::decision
