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

// A later process of this boot that does not find the offset counts by the wall clock, which may have been
// stepped.
void ClockPersister::Persist() {
  if (clock_.Persist()) return;
  if (!std::exchange(failure_logged_, true)) {
    log::Warn("clock_not_persisted", {{"folder", config_.state_folder}, {"why", std::strerror(errno)}});
  }
  timer_.Start(loop_.Now() + config_.limits.state_poll, [this] { Persist(); });
}

}  // namespace opalroute
