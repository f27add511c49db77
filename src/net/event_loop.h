// One thread, one epoll set (edge-triggered) and timers on an injected clock.
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
  virtual void OnEvents(std::uint32_t events) = 0;  // epoll's bits
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

  // Both return false, with errno set, if the system is short of memory.
  bool Add(int fd, EventHandler* handler);    // for reading and writing, edge-triggered
  bool Rearm(int fd, EventHandler* handler);  // raises the edge anew if there still is something to do
  void Remove(int fd);

  TimerId At(Seconds when, std::function<void()> due);
  void Cancel(TimerId& timer);  // sets it to 0

  // Keeps an object until no event of the current batch can still name it.
  template <typename T>
  void Retire(std::unique_ptr<T> object) {
    if (object) retired_.push_back(std::shared_ptr<void>(std::move(object)));
  }

  void RunOnce(Seconds longest_wait);
  void Run();
  void Stop() { stopped_ = true; }

 private:
  void RunTimers();

  const Clock& clock_;
  int epoll_;
  bool stopped_ = false;
  TimerId last_timer_ = 0;
  using Timers = std::map<std::pair<Seconds, TimerId>, std::function<void()>>;
  Timers timers_;
  std::unordered_map<TimerId, Timers::iterator> due_;
  std::vector<std::shared_ptr<void>> retired_;
};

}  // namespace opalroute::net
