// The lease on the endpoint list: how long the list counts as current, and when to renew it.
//
// A change to the list binds a relay a fixed time after discovery had it, whether or not it has arrived. So
// attempts to renew overlap: the next one begins at its time, whatever became of those before, and no failure
// delays it. Attempts keep a fixed spacing, a part of the shortest term: discovery that comes back after an
// outage is called within one spacing, and overloaded discovery gets no more than one call a spacing. A lease
// that has expired stops nothing: the list stays in use, and the attempts go on.
#pragma once

#include <optional>

#include "decision/never.h"
#include "decision/random.h"
#include "opalroute/events.h"
#include "opalroute/settings.h"

namespace opalroute::decision {

// Owns the term of the list and the times of renewals; draws from a generator of its own.
class EndpointListLease {
 public:
  // Takes the terms, the grace of drains, the size of the fleet and the seed from the settings.
  explicit EndpointListLease(const Settings& settings);

  // Discovery has sent a list, or an attempt to watch it has failed. A cached list, of an earlier process,
  // has to be renewed; where changes come by themselves and no watch brings them there is nothing to renew.
  void OnListUpdate(ListScope scope, Seconds now);
  // The watch has brought a line: the list is current.
  void Confirm(Seconds now);
  // Discovery has another address now: an attempt to renew is due at once.
  void OnDiscoveryMoved(Seconds now);

  // True once for each attempt to renew that is due; the caller begins it.
  bool TakeDueRenewal(Seconds now);
  // When the next attempt is due; kNever: none, as a watch stands whose end is always notified.
  Seconds next_renewal() const { return next_renewal_; }
  // Whether the lease has expired, so that an unknown change may bind; nothing if that has not changed since
  // the last call.
  std::optional<bool> TakeChange(Seconds now);

 private:
  void BeginFromCache(Seconds now);
  void OnWatchFailed(Seconds now);
  Seconds DrawDelay();
  Seconds DrawSpacing();

  const Seconds term_;  // of the lease
  const Seconds term_after_move_;
  const Seconds heartbeat_;      // of the watch; 0: none
  const bool is_small_fleet_;    // all relays may call discovery at once
  const bool changes_are_sent_;  // without being polled for
  const Seconds spread_;         // over which the relays of a fleet draw the times of their attempts
  Random random_;
  Seconds latest_renewal_ = -kNever;
  Seconds next_renewal_ = kNever;
  Seconds expires_at_ = kNever;
  bool was_expired_ = false;
};

}  // namespace opalroute::decision
