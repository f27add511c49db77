#include "lab/sockets/restart_schedule.h"

namespace opalroute::lab {

void RestartSchedule::OnStarted() {
  state_ = State::kRunning;
  kill_at_ = start_at_ = kNever;
}

bool RestartSchedule::OnTerminate(net::Seconds now, net::Seconds down) {
  if (state_ == State::kDown) return false;
  if (state_ == State::kStopping) return true;
  state_ = State::kStopping;
  kill_at_ = now + grace_period_;
  start_at_ = kill_at_ + down;
  return true;
}

bool RestartSchedule::OnKill(net::Seconds now, net::Seconds down) {
  if (state_ == State::kDown) return false;
  state_ = State::kDown;
  start_at_ = now + down;
  return true;
}

}  // namespace opalroute::lab
