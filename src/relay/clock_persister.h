// Writes the persistent clock's offset to the state folder, and retries until that succeeds.
#pragma once

#include "config/config.h"
#include "journal/persistent_clock.h"
#include "net/event_loop.h"
#include "net/timer.h"

namespace opalroute {

class ClockPersister {
 public:
  // Makes the first attempt.
  ClockPersister(net::EventLoop& loop, const Config& config, PersistentClock& clock);

 private:
  void Persist();

  net::EventLoop& loop_;
  const Config& config_;
  PersistentClock& clock_;
  net::Timer timer_;
  bool failure_logged_ = false;
};

}  // namespace opalroute
