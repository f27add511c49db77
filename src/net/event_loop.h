// A single-threaded event loop: an edge-triggered epoll set, and timers on an injected clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/clock.h"

namespace opalroute::net {

class EventHandler {
 public:
  virtual ~EventHandler() = default;
  virtual void OnEvents(std::uint32_t events) = 0;  // bit mask of epoll (EPOLLIN, ...)
};

class EventLoop {
 public:
  using TimerId = std::uint64_t;  // 0: none

  explicit EventLoop(const Clock& clock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  const Clock& clock() const { return clock_; }
  Seconds Now() const { return clock_.Now(); }

  // Both return false, with errno set, if epoll_ctl fails, as it does where the system is short of memory.
  bool Add(int fd, EventHandler* handler);    // for reading and writing, edge-triggered
  bool Rearm(int fd, EventHandler* handler);  // reports the current readiness once more, as a new edge
  void Remove(int fd);

  // Calls `callback` once at `when` on the clock of the loop.
  TimerId At(Seconds when, std::function<void()> callback);
  void Cancel(TimerId& timer);  // sets it to 0

  // Destroys `object` at the end of the current iteration: an event of the same batch may still point to it.
  template <typename T>
  void Retire(std::unique_ptr<T> object) {
    if (object) retired_.push_back(std::shared_ptr<void>(std::move(object)));
  }

  void RunOnce(Seconds max_wait);  // one wait of at most that long, its events and the timers due
  void Run();
  void Stop() { stopped_ = true; }

 private:
  void RunTimers();

  const Clock& clock_;
  int epoll_;
  bool stopped_ = false;
  TimerId last_timer_id_ = 0;
  using Timers = std::map<std::pair<Seconds, TimerId>, std::function<void()>>;
  Timers timers_;
  std::unordered_map<TimerId, Timers::iterator> timer_positions_;
  std::vector<std::shared_ptr<void>> retired_;
};

}  // namespace opalroute::net
