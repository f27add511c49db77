// A clock that only the laboratory moves, and the loop that moves it: real sockets on loopback, simulated
// time.
#pragma once

#include <arpa/inet.h>
#include <sched.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <system_error>

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

// Told that what was sent before on the loopback device can be read by now. A busy machine may deliver later
// than the next call (a datagram waits for its processor's turn), and a clock that runs on meanwhile counts
// that as silence. A datagram of its own, sent last on the same processor, is delivered last.
class LoopbackBarrier {
 public:
  LoopbackBarrier() : fd_(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(own);
    auto* address = reinterpret_cast<sockaddr*>(&own);
    if (fd_ < 0 || bind(fd_, address, size) != 0 || getsockname(fd_, address, &size) != 0 ||
        connect(fd_, address, size) != 0)
      throw std::system_error(errno, std::generic_category(), "loopback barrier");
    sched_getaffinity(0, sizeof(before_), &before_);
    cpu_set_t one;
    CPU_ZERO(&one);
    CPU_SET(sched_getcpu(), &one);
    sched_setaffinity(0, sizeof(one), &one);
  }
  ~LoopbackBarrier() {
    sched_setaffinity(0, sizeof(before_), &before_);
    close(fd_);
  }
  LoopbackBarrier(const LoopbackBarrier&) = delete;
  LoopbackBarrier& operator=(const LoopbackBarrier&) = delete;
  void Pass() const {
    char byte = 0;
    if (send(fd_, &byte, 1, 0) == 1 && recv(fd_, &byte, 1, 0) == 1) return;
    throw std::system_error(errno, std::generic_category(), "loopback barrier");
  }

 private:
  int fd_;
  cpu_set_t before_{};
};

// Plays until that time in steps of a millisecond. On loopback what one socket has sent the other can read at
// once; a few rounds a step let an answer come in the step of its request.
inline void PlayUntil(net::EventLoop& loop, Clock& clock, net::Seconds until) {
  constexpr net::Seconds kStep = 0.001;
  constexpr int kRounds = 3;
  const LoopbackBarrier sent;
  while (clock.Now() < until) {
    for (int i = 0; i < kRounds; ++i) {
      loop.RunOnce(0);
      sent.Pass();
    }
    clock.Advance(kStep);
  }
}

}  // namespace opalroute::lab
