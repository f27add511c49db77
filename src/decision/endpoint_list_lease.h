// The lease on the endpoint list: how long the list that is held may count as current, and when to try to
// renew it. Pure: no I/O, the clock is handed in; times are seconds on one clock that never goes back.
//
// A change to the list binds a relay a fixed time after discovery had it, whether or not it has arrived. So
// tries to renew overlap: the next one begins when its time has come, whatever became of those before, and no
// failure puts it off. Tries keep to one step, which is a part of the shortest term: a discovery that returns
// after any outage is asked within one step, and one that is crowded gets no more than a call a step.
// A lease that has run out stops nothing: the list as it was last held serves on, and the tries go on.
#pragma once

#include <optional>

#include "decision/never.h"
#include "decision/random.h"
#include "opalroute/events.h"
#include "opalroute/settings.h"

namespace opalroute {

class EndpointListLease {
 public:
  // Takes the terms, the grace of drains, the size of the fleet and the seed from the settings.
  explicit EndpointListLease(const Settings& settings);

  // What discovery has said, or that a try to watch it has failed. A remembered list, of an earlier process,
  // has to be renewed; where changes come by themselves and no watch brings them there is nothing to renew.
  void Heed(ListScope scope, Seconds now);
  // The watch has brought a line: the list is current.
  void Confirm(Seconds now);
  // Discovery is elsewhere now: a try is due at once.
  void Moved(Seconds now);

  // True once for each try that is due; the caller begins it.
  bool TakeDueTry(Seconds now);
  // When the next one is due; kNever: none, as a watch stands whose end is always told.
  Seconds next_try() const { return next_try_; }
  // Whether a change may bind by now that has not been heard of; only where that has changed since it was
  // asked.
  std::optional<bool> TakeChange(Seconds now);

 private:
  void Begin(Seconds now);
  void TryFailed(Seconds now);
  Seconds Spread() { return spread_ * random_.Unit(); }
  Seconds TrySpacing();

  const Seconds told_within_, told_after_move_, heartbeat_;
  const bool few_;        // relays, which may all ask at once
  const bool pushed_;     // changes come by themselves
  const Seconds spread_;  // over which the relays of a fleet draw the moments of their tries
  Random random_;
  Seconds last_try_ = -kNever, next_try_ = kNever, expires_ = kNever;
  bool was_expired_ = false;
};

}  // namespace opalroute
