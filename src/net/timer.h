// A timer of the event loop that cancels itself when it is destroyed.
#pragma once

#include <functional>

#include "net/event_loop.h"

namespace opalroute::net {

class Timer {
 public:
  // `loop` must outlive the timer.
  explicit Timer(EventLoop& loop) : loop_(loop) {}
  ~Timer() { Cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Schedules one call of `callback` at `when` on the loop's clock; a call that is already scheduled is
  // cancelled. The callback may restart or destroy this timer.
  void Start(Seconds when, std::function<void()> callback);
  void Cancel() { loop_.Cancel(id_); }
  bool pending() const { return id_ != 0; }

 private:
  EventLoop& loop_;
  EventLoop::TimerId id_ = 0;
};

}  // namespace opalroute::net
