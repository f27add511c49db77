// A clock that only the laboratory moves, and the loop that moves it: real sockets on loopback, simulated
// time.
#pragma once

#include <functional>

#include "net/event_loop.h"

namespace opalroute::lab {

class Clock : public net::Clock {
 public:
  net::Seconds Now() const override { return now_; }
  std::int64_t WallMicros() const override {
    return 1'700'000'000'000'000 + static_cast<std::int64_t>(now_ * 1e6);
  }
  void Advance(net::Seconds by) { now_ += by; }

 private:
  net::Seconds now_ = 1000;
};

// Plays until that time in steps of a millisecond. On loopback what one socket has sent the other can read at
// once; a few rounds a step let an answer come in the step of its request.
inline void PlayUntil(net::EventLoop& loop, Clock& clock, net::Seconds until) {
  constexpr net::Seconds kStep = 0.001;
  constexpr int kRounds = 3;
  while (clock.Now() < until) {
    for (int i = 0; i < kRounds; ++i) loop.RunOnce(0);
    clock.Advance(kStep);
  }
}

}  // namespace opalroute::lab
