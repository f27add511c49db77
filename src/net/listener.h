// A listening TCP socket.
#pragma once

#include <netinet/in.h>

#include <functional>

#include "net/event_loop.h"

namespace opalroute::net {

// Throws std::system_error if nothing can be listened to there.
int OpenListener(const sockaddr_in& listen_at);
// A listening socket that another process has opened, made non-blocking. Throws std::system_error if it is
// none.
int InheritListener(int fd);
sockaddr_in BoundAddress(int fd);  // the port, too, if any was asked for
// The next connection that waits, made non-blocking, or -1. Then `more` says whether another try may bring
// one: the call failed for a moment, or for one connection alone, and raises no event for those behind it
// (accept(2)).
int AcceptNext(int fd, bool& more);
constexpr Seconds kAcceptPause = 0.01;  // before that try

// Hands over each connection that comes. The callback owns the descriptor.
class Listener : public EventHandler {
 public:
  Listener(EventLoop& loop, const sockaddr_in& listen_at, std::function<void(int fd)> accepted);
  // Takes over a socket that listens already.
  Listener(EventLoop& loop, int fd, std::function<void(int fd)> accepted);
  ~Listener() override;
  sockaddr_in address() const { return BoundAddress(fd_); }
  void OnEvents(std::uint32_t) override { Accept(); }

 private:
  EventLoop& loop_;
  void Accept();

  std::function<void(int fd)> accepted_;
  int fd_;
  EventLoop::TimerId again_ = 0;
};

}  // namespace opalroute::net
