#include "relay/clock_persister.h"

#include <cerrno>
#include <cstring>

#include "log/log.h"

namespace opalroute {

ClockPersister::ClockPersister(net::EventLoop& loop, const Config& config, PersistentClock& clock)
    : loop_(loop), config_(config), clock_(clock) {
  Persist();
}

ClockPersister::~ClockPersister() { loop_.Cancel(timer_); }

// A later process of this boot that does not find the offset counts by the wall clock, which may have been
// stepped.
void ClockPersister::Persist() {
  if (clock_.Persist()) return;
  const bool first_failure = timer_ == 0;
  if (first_failure) {
    log::Warn("clock_not_persisted", {{"folder", config_.state_folder}, {"why", std::strerror(errno)}});
  }
  timer_ = loop_.At(loop_.Now() + config_.limits.state_poll, [this] { Persist(); });
}

}  // namespace opalroute
