// A listening TCP socket.
#pragma once

#include <netinet/in.h>

#include <functional>

#include "net/event_loop.h"

namespace opalroute::net {

// Opens a listening socket. Throws std::system_error if that fails.
int OpenListener(const sockaddr_in& listen_address);
// Checks a listening socket that another process has opened, and makes it non-blocking. Throws
// std::system_error if `fd` is not one.
int InheritListener(int fd);
sockaddr_in BoundAddress(int fd);  // with the actual port, if port 0 was requested
// Accepts the next pending connection as a non-blocking socket; -1 if there is none. On -1, `retry` tells
// whether the caller should call again after kAcceptRetryDelay: accept failed for a temporary reason or for a
// single connection (accept(2)), and no event will be reported for the connections that are still queued.
int AcceptNext(int fd, bool& retry);
constexpr Seconds kAcceptRetryDelay = 0.01;

// Passes each accepted connection to a callback, which takes ownership of the descriptor.
class Listener : public EventHandler {
 public:
  Listener(EventLoop& loop, const sockaddr_in& listen_address, std::function<void(int fd)> on_accept);
  // Takes ownership of a socket that is already listening.
  Listener(EventLoop& loop, int fd, std::function<void(int fd)> on_accept);
  ~Listener() override;
  sockaddr_in address() const { return BoundAddress(fd_); }
  void OnEvents(std::uint32_t) override { Accept(); }

 private:
  EventLoop& loop_;
  void Accept();

  std::function<void(int fd)> on_accept_;
  int fd_;
  EventLoop::TimerId retry_timer_ = 0;
};

}  // namespace opalroute::net
