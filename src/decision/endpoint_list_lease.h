// The lease on the endpoint list: how long the list counts as current, and when to renew it.
//
// A change to the list takes effect for a relay a fixed time after discovery got it, even if the relay has
// not received it. Renewal attempts may therefore overlap: the next one starts on schedule regardless of the
// outcome of earlier ones, and no failure delays it. The spacing of attempts is a fraction of the shortest
// term, plus jitter, so discovery gets an attempt within one spacing after it comes back from an outage, and
// an overloaded discovery service gets at most one per spacing. An expired lease stops nothing: the list
// stays in use, and the attempts continue.
#pragma once

#include <optional>

#include "decision/never.h"
#include "decision/random.h"
#include "opalroute/events.h"
#include "opalroute/settings.h"

namespace opalroute::decision {

// Owns the term of the lease and the times of renewal attempts; uses a random number generator of its own.
class EndpointListLease {
 public:
  // Uses the settings on the endpoint list, the drain grace period, the fleet size and the seed.
  explicit EndpointListLease(const Settings& settings);

  // Discovery has sent a list, or a watch has failed or ended. A list cached by an earlier process has to be
  // renewed, unless changes are pushed and there is no watch heartbeat.
  void OnListUpdate(ListScope scope, Seconds now);
  // The watch has delivered a line: the list is current.
  void Confirm(Seconds now);
  // Discovery has a new address: a renewal is due immediately.
  void OnDiscoveryMoved(Seconds now);

  // Returns true once for each renewal attempt that is due; the caller starts it.
  bool TakeDueRenewal(Seconds now);
  // When the next attempt is due; kNever: none, as the end of the watch or a change is always notified.
  Seconds next_renewal() const { return next_renewal_; }
  // Returns whether the lease has expired, so that an unknown change may be in effect; nothing if that has
  // not changed since the last call.
  std::optional<bool> TakeExpiryChange(Seconds now);

 private:
  void BeginFromCache(Seconds now);
  void OnWatchFailed(Seconds now);
  Seconds DrawSpreadDelay();
  Seconds DrawSpacing();

  const Seconds term_;  // of the lease
  const Seconds term_after_move_;
  const Seconds heartbeat_;        // of the watch; 0: none
  const bool is_small_fleet_;      // so small that all relays may call discovery at once
  const bool changes_are_pushed_;  // not only delivered when polled
  const Seconds spread_;           // time over which the relays of a fleet spread their attempts
  Random random_;
  Seconds latest_renewal_ = -kNever;
  Seconds next_renewal_ = kNever;
  Seconds expires_at_ = kNever;
  bool was_expired_ = false;
};

}  // namespace opalroute::decision
