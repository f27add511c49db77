// When a relay's process is killed and when the next one starts, under signals that come in series. Pure: it
// is told of signals and ends, and asked at any time what is due.
//
// SIGTERM: SIGKILL follows after a grace period unless the process has ended, and the next start comes some
// time after that moment, whether or not the process ended sooner. A further SIGTERM moves neither. SIGKILL
// ends the process, and the next start counts from it, also where a SIGTERM had planned a later one. A signal
// that finds no process changes nothing: the planned start stands.
#pragma once

#include <limits>

#include "net/event_loop.h"

namespace opalroute::lab {

class RestartSchedule {
 public:
  enum class State { kDown, kRunning, kStopping };
  static constexpr net::Seconds kNever = std::numeric_limits<net::Seconds>::infinity();

  // `kill_after`: from SIGTERM to SIGKILL, in seconds.
  explicit RestartSchedule(net::Seconds kill_after) : kill_after_(kill_after) {}

  void OnStarted();
  // Each returns whether there is a process that gets the signal. `down`: seconds from the SIGKILL, or from
  // the moment at which it would have come, to the next start; kNever: there is none.
  bool OnTerminate(net::Seconds now, net::Seconds down);
  bool OnKill(net::Seconds now, net::Seconds down);
  void OnEnded() { state_ = State::kDown; }

  State state() const { return state_; }
  bool IsKillDue(net::Seconds now) const { return state_ == State::kStopping && now >= kill_at_; }
  bool IsStartDue(net::Seconds now) const { return state_ == State::kDown && now >= start_at_; }
  net::Seconds next_start() const { return start_at_; }  // kNever: none is planned

 private:
  const net::Seconds kill_after_;
  State state_ = State::kDown;
  net::Seconds kill_at_ = kNever;
  net::Seconds start_at_ = kNever;
};

}  // namespace opalroute::lab
