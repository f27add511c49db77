#include "net/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <system_error>

namespace opalroute::net {

Seconds SystemClock::Now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::int64_t SystemClock::WallMicros() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

EventLoop::EventLoop(const Clock& clock) : clock_(clock), epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

EventLoop::~EventLoop() {
  retired_.clear();
  close(epoll_);
}

namespace {

epoll_event MakeEpollEvent(EventHandler* handler) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = handler;
  return event;
}

}  // namespace

bool EventLoop::Add(int fd, EventHandler* handler) {
  epoll_event event = MakeEpollEvent(handler);
  return epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) == 0;
}

bool EventLoop::Rearm(int fd, EventHandler* handler) {
  epoll_event event = MakeEpollEvent(handler);
  return epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event) == 0;
}

void EventLoop::Remove(int fd) { epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr); }

EventLoop::TimerId EventLoop::At(Seconds when, std::function<void()> callback) {
  const TimerId id = ++last_timer_id_;
  timer_positions_[id] = timers_.emplace(std::make_pair(when, id), std::move(callback)).first;
  return id;
}

void EventLoop::Cancel(TimerId& timer) {
  const auto it = timer_positions_.find(std::exchange(timer, 0));
  if (it == timer_positions_.end()) return;
  timers_.erase(it->second);
  timer_positions_.erase(it);
}

void EventLoop::RunTimers() {
  const Seconds now = Now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    const auto callback = std::move(timers_.begin()->second);
    timer_positions_.erase(timers_.begin()->first.second);
    timers_.erase(timers_.begin());
    callback();
  }
}

void EventLoop::RunOnce(Seconds max_wait) {
  Seconds wait = max_wait;
  if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first.first - Now());
  std::array<epoll_event, 64> events;
  const int milliseconds = static_cast<int>(std::ceil(std::clamp(wait, 0.0, 60.0) * 1000));
  const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), milliseconds);
  for (int i = 0; i < count; ++i) static_cast<EventHandler*>(events[i].data.ptr)->OnEvents(events[i].events);
  RunTimers();
  retired_.clear();
}

void EventLoop::Run() {
  while (!stopped_) RunOnce(60);
}

}  // namespace opalroute::net
