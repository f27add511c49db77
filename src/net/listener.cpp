#include "net/listener.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <system_error>
#include <utility>

namespace opalroute::net {

int OpenListener(const sockaddr_in& listen_address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (fd >= 0 && bind(fd, reinterpret_cast<const sockaddr*>(&listen_address), sizeof(listen_address)) == 0 &&
      listen(fd, SOMAXCONN) == 0)
    return fd;
  const int error = errno;
  if (fd >= 0) close(fd);
  throw std::system_error(error, std::generic_category(), "listen");
}

int InheritListener(int fd) {
  const auto fail = [fd](int error, const char* what) {
    throw std::system_error(error, std::generic_category(),
                            "inherited descriptor " + std::to_string(fd) + what);
  };
  int listens = 0;
  socklen_t size = sizeof(listens);
  if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) < 0) fail(errno, " is no socket");
  if (listens == 0) fail(EINVAL, " does not listen");
  const int flags = fcntl(fd, F_GETFL);
  if (flags < 0 || fcntl(fd, F_SETFL, flags | O_NONBLOCK) < 0 || fcntl(fd, F_SETFD, FD_CLOEXEC) < 0)
    fail(errno, " can't be made non-blocking and close-on-exec");
  return fd;
}

sockaddr_in BoundAddress(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

Listener::Listener(EventLoop& loop, const sockaddr_in& listen_address, std::function<void(int fd)> on_accept)
    : Listener(loop, OpenListener(listen_address), std::move(on_accept)) {}

Listener::Listener(EventLoop& loop, int fd, std::function<void(int fd)> on_accept)
    : loop_(loop), on_accept_(std::move(on_accept)), fd_(fd) {
  if (!loop_.Add(fd_, this)) throw std::system_error(errno, std::generic_category(), "listen");
}

Listener::~Listener() {
  loop_.Cancel(retry_timer_);
  loop_.Remove(fd_);
  close(fd_);
}

int AcceptNext(int fd, bool& retry) {
  constexpr int kMaxErrors = 16;  // consecutive errors, before the loop serves other descriptors
  retry = true;
  for (int i = 0; i < kMaxErrors; ++i) {
    const int accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) return accepted;
    if (errno == EAGAIN) {
      retry = false;
      return -1;
    }
    if (errno != EINTR && errno != ECONNABORTED) return -1;
  }
  return -1;
}

void Listener::Accept() {
  bool retry = false;
  for (int fd = AcceptNext(fd_, retry); fd >= 0; fd = AcceptNext(fd_, retry)) on_accept_(fd);
  loop_.Cancel(retry_timer_);
  if (!retry) return;
  retry_timer_ = loop_.At(loop_.Now() + kAcceptRetryDelay, [this] {
    retry_timer_ = 0;
    Accept();
  });
}

}  // namespace opalroute::net
