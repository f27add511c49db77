// Decides when a relay's process gets SIGKILL and when the next process starts, also when several signals are
// sent to one relay. Has no clock and no process of its own: the caller reports signals and exits, and polls
// for what is due.
//
// SIGTERM: SIGKILL follows after a grace period unless the process has exited, and the next start is due some
// time after the end of the grace period, even if the process exits sooner. A further SIGTERM changes neither
// time. SIGKILL: the process is gone, and the next start is due some time after it, even if an earlier
// SIGTERM had scheduled a later start. A signal sent while no process is running changes nothing, so the
// scheduled start remains.
#pragma once

#include <limits>

#include "net/event_loop.h"

namespace opalroute::lab {

class RestartSchedule {
 public:
  enum class State { kDown, kRunning, kStopping };
  static constexpr net::Seconds kNever = std::numeric_limits<net::Seconds>::infinity();

  // `grace_period`: seconds from SIGTERM to SIGKILL.
  explicit RestartSchedule(net::Seconds grace_period) : grace_period_(grace_period) {}

  void OnStarted();
  // Return whether a process is running that the signal can be sent to. `down`: seconds from the SIGKILL, or
  // from the end of the grace period, to the next start; kNever: no restart.
  bool OnTerminate(net::Seconds now, net::Seconds down);
  bool OnKill(net::Seconds now, net::Seconds down);
  void OnExited() { state_ = State::kDown; }

  State state() const { return state_; }
  bool IsKillDue(net::Seconds now) const { return state_ == State::kStopping && now >= kill_at_; }
  bool IsStartDue(net::Seconds now) const { return state_ == State::kDown && now >= start_at_; }
  net::Seconds next_start() const { return start_at_; }  // kNever: none is scheduled

 private:
  const net::Seconds grace_period_;
  State state_ = State::kDown;
  net::Seconds kill_at_ = kNever;
  net::Seconds start_at_ = kNever;
};

}  // namespace opalroute::lab
