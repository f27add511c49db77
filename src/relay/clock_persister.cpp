#include "relay/clock_persister.h"

#include <cerrno>
#include <cstring>
#include <utility>

#include "log/log.h"

namespace opalroute {

ClockPersister::ClockPersister(net::EventLoop& loop, const Config& config, PersistentClock& clock)
    : loop_(loop), config_(config), clock_(clock), timer_(loop) {
  Persist();
}

// Without the stored offset, a later process of the same boot would take its time from the wall clock, which
// may have been stepped in between.
void ClockPersister::Persist() {
  if (clock_.Persist()) return;
  if (!std::exchange(failure_logged_, true)) {
    log::Warn("clock_not_persisted", {{"folder", config_.state_folder}, {"why", std::strerror(errno)}});
  }
  timer_.Start(loop_.Now() + config_.limits.state_poll_interval, [this] { Persist(); });
}

}  // namespace opalroute
