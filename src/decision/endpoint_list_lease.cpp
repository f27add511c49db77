#include "decision/endpoint_list_lease.h"

#include <algorithm>
#include <utility>

namespace opalroute::decision {
namespace {

constexpr double kRenewalsPerTerm = 4;   // per shortest term, unless the spread is longer than their spacing
constexpr double kSpacingJitter = 0.25;  // maximum, as a fraction of the spacing; desynchronizes the relays
constexpr double kHeartbeatTolerance = 1.4;  // heartbeat intervals without a line before the list is renewed
constexpr int kSmallFleet = 8;               // maximum number of relays
constexpr Seconds kSpreadPerRelay = 0.05;    // evenly distributes the calls to discovery

// A relay that has not polled the list for Settings::max_poll_interval also counts as notified.
Seconds LeaseTerm(const Settings& settings) {
  const Seconds notified = settings.list_notification_time;
  const Seconds poll = settings.max_poll_interval;
  return poll > 0 ? std::min(notified, poll) : notified;
}

}  // namespace

// A drain takes effect even if the relay has not received it, so the spread is at most the drain grace
// period.
EndpointListLease::EndpointListLease(const Settings& settings)
    : term_(LeaseTerm(settings)),
      term_after_move_(std::min(settings.list_notification_time_after_move, term_)),
      heartbeat_(settings.list_heartbeat),
      is_small_fleet_(settings.relay_count <= kSmallFleet),
      changes_are_pushed_(!settings.poll_endpoint_list),
      spread_(std::min(settings.drain_grace, kSpreadPerRelay * settings.relay_count)),
      random_(settings.seed) {}

void EndpointListLease::OnListUpdate(ListScope scope, Seconds now) {
  switch (scope) {
    case ListScope::kCached:
      return BeginFromCache(now);
    case ListScope::kWatchFailed:
      return OnWatchFailed(now);
    case ListScope::kComplete:
    case ListScope::kChanges:
      return Confirm(now);
  }
}

void EndpointListLease::BeginFromCache(Seconds now) {
  if (changes_are_pushed_ && heartbeat_ <= 0) return;
  next_renewal_ = is_small_fleet_ || changes_are_pushed_ ? now : now + DrawSpreadDelay();
  expires_at_ = now + term_;
}

void EndpointListLease::Confirm(Seconds now) {
  const bool end_is_notified = heartbeat_ <= 0;
  next_renewal_ = end_is_notified ? kNever : now + kHeartbeatTolerance * heartbeat_ + DrawSpreadDelay();
  expires_at_ = end_is_notified ? kNever : now + term_;
}

// The spacing counts from the previous attempt, so a quick failure does not advance the next attempt.
void EndpointListLease::OnWatchFailed(Seconds now) {
  const Seconds spaced = latest_renewal_ + DrawSpacing();
  const Seconds delayed = now + DrawSpreadDelay();
  next_renewal_ = std::min(next_renewal_, std::max(delayed, spaced));
  expires_at_ = std::min(expires_at_, now + term_);
}

void EndpointListLease::OnDiscoveryMoved(Seconds now) {
  next_renewal_ = now;
  expires_at_ = std::min(expires_at_, now + term_after_move_);
}

bool EndpointListLease::TakeDueRenewal(Seconds now) {
  if (now < next_renewal_) return false;
  latest_renewal_ = now;
  next_renewal_ = now + DrawSpacing();
  return true;
}

std::optional<bool> EndpointListLease::TakeExpiryChange(Seconds now) {
  const bool expired = now > expires_at_;
  if (std::exchange(was_expired_, expired) == expired) return std::nullopt;
  return expired;
}

Seconds EndpointListLease::DrawSpreadDelay() { return spread_ * random_.Uniform(); }

Seconds EndpointListLease::DrawSpacing() {
  const Seconds spacing = std::max(term_after_move_ / kRenewalsPerTerm, spread_);
  return spacing * (1 + kSpacingJitter * random_.Uniform());
}

}  // namespace opalroute::decision
