// A simulated clock, and the loop that advances it: real sockets on loopback, run in simulated time.
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

class SimulatedClock : public net::Clock {
 public:
  net::Seconds Now() const override { return now_; }
  std::int64_t WallMicros() const override {
    return 1'700'000'000'000'000 + static_cast<std::int64_t>(now_ * 1e6);
  }
  void Advance(net::Seconds by) { now_ += by; }

 private:
  net::Seconds now_ = 1000;
};

// Waits until everything that was sent before on the loopback device can be read. On a busy machine the
// kernel may deliver a datagram only after the next system call, when its processor gets to it; a simulated
// clock that moves on meanwhile would count the delay as a peer's silence. The barrier pins the thread to one
// processor and sends itself a datagram: it was sent last on this processor, so it is delivered last.
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
    sched_getaffinity(0, sizeof(original_affinity_), &original_affinity_);
    cpu_set_t one;
    CPU_ZERO(&one);
    CPU_SET(sched_getcpu(), &one);
    sched_setaffinity(0, sizeof(one), &one);
  }
  ~LoopbackBarrier() {
    sched_setaffinity(0, sizeof(original_affinity_), &original_affinity_);
    close(fd_);
  }
  LoopbackBarrier(const LoopbackBarrier&) = delete;
  LoopbackBarrier& operator=(const LoopbackBarrier&) = delete;
  void Wait() const {
    char byte = 0;
    if (send(fd_, &byte, 1, 0) == 1 && recv(fd_, &byte, 1, 0) == 1) return;
    throw std::system_error(errno, std::generic_category(), "loopback barrier");
  }

 private:
  int fd_;
  cpu_set_t original_affinity_{};
};

// Advances the clock to `until` in steps of a millisecond. Each step runs a few iterations of the loop, so
// that a request and its response over loopback fall into the same step.
inline void RunEventLoopUntil(net::EventLoop& loop, SimulatedClock& clock, net::Seconds until) {
  constexpr net::Seconds kStep = 0.001;
  constexpr int kIterationsPerStep = 3;
  const LoopbackBarrier barrier;
  while (clock.Now() < until) {
    for (int i = 0; i < kIterationsPerStep; ++i) {
      loop.RunOnce(0);
      barrier.Wait();
    }
    clock.Advance(kStep);
  }
}

}  // namespace opalroute::lab
