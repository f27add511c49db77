#include "net/connection.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "net/socket_error.h"

namespace opalroute::net {

Connection::Connection(EventLoop& loop, int fd, Owner& owner, std::size_t most_in, std::size_t most_out)
    : loop_(loop), owner_(owner), fd_(fd), in_(most_in), out_(most_out) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection() { Close(); }

std::unique_ptr<Connection> Connection::Adopt(EventLoop& loop, int fd, Owner& owner, std::size_t most_in,
                                              std::size_t most_out) {
  std::unique_ptr<Connection> connection(new Connection(loop, fd, owner, most_in, most_out));
  return loop.Add(fd, connection.get()) ? std::move(connection) : nullptr;
}

std::unique_ptr<Connection> Connection::Connect(EventLoop& loop, const sockaddr_in& to, Owner& owner,
                                                std::size_t most_in, std::size_t most_out) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  std::unique_ptr<Connection> connection(new Connection(loop, fd, owner, most_in, most_out));
  connection->connecting_ = true;
  const int result = connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  const int error = result < 0 ? errno : 0;
  if (IsLocalConnectError(error)) return nullptr;
  // Interrupted, it goes on like any other (connect(2)).
  if (error == 0 || error == EINPROGRESS || error == EINTR)
    return loop.Add(fd, connection.get()) ? std::move(connection) : nullptr;
  // Danger: the call has taken the socket's error, and an event would find none.
  connection->GoOnAfter(0);
  return connection;
}

void Connection::OnEvents(std::uint32_t events) {
  if (fd_ < 0) return;
  if (connecting_) {
    if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0) return;
    int error = 0;
    socklen_t size = sizeof(error);
    if (getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) < 0 || error != 0)
      return Finish(End::kNotConnected);
    connecting_ = false;
    owner_.OnOpen(*this);
    if (fd_ < 0) return;
  }
  if ((events & EPOLLOUT) != 0 && !out_.empty()) {
    Flush();
    if (out_.empty()) owner_.OnWritten(*this);
  }
  if (fd_ >= 0 && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) Read();
}

// Edge-triggered: reads until the socket has no more, or the ring is full and its owner takes nothing.
// Danger: one who sends at full speed would hold the only thread. After a ring's worth the others have a
// turn.
void Connection::Read() {
  std::size_t left = in_.most();
  while (fd_ >= 0) {
    bool drained = false, reset = false, short_of = false;
    while (!in_.full() && !drained && !peer_ended_ && !reset && left > 0) {
      const ssize_t count = in_.ReadFrom(fd_);
      if (count > 0) left -= std::min(left, static_cast<std::size_t>(count));
      if (count == 0) peer_ended_ = true;
      if (count < 0 && errno == EINTR) continue;
      if (count >= 0) continue;
      short_of = IsShortage(errno);
      (errno == EAGAIN || short_of ? drained : reset) = true;
    }
    if (short_of) GoOnAfter(kShortagePause);
    const bool was_full = in_.full();
    if (reset) peer_ended_ = true;
    owner_.OnData(*this);
    if (fd_ < 0) return;
    if (reset) return Finish(End::kReset);
    if (peer_ended_) return Finish(End::kEnded);
    if (drained || (was_full && in_.full())) return;
    if (left == 0) return loop_.Rearm(fd_, this) ? void() : GoOnAfter(kShortagePause);
  }
}

void Connection::ReadOn() {
  if (open()) Read();
}

bool Connection::Write(std::string_view bytes) {
  if (!out_.Append(bytes)) return false;
  if (open()) Flush();
  return true;
}

// What fails here is told in a later turn, not inside the owner's own call. Danger: neither a shortage nor
// every break raises an event.
void Connection::Flush() {
  while (!out_.empty()) {
    if (out_.WriteTo(fd_) >= 0 || errno == EINTR) continue;
    if (errno == EAGAIN) return;
    broken_ = !IsShortage(errno);
    return GoOnAfter(broken_ ? 0 : kShortagePause);
  }
  if (close_when_written_) {
    shutdown(fd_, SHUT_WR);
    close_when_written_ = false;
  }
}

void Connection::GoOnAfter(Seconds pause) {
  if (go_on_ != 0 || fd_ < 0) return;
  go_on_ = loop_.At(loop_.Now() + pause, [this] {
    go_on_ = 0;
    GoOn();
  });
}

void Connection::GoOn() {
  if (connecting_) return Finish(End::kNotConnected);
  if (!broken_) return OnEvents(EPOLLIN | EPOLLOUT);
  Read();  // what the other side had sent before counts
  if (fd_ >= 0) Finish(End::kReset);
}

// The other side's end of its sending, or a time-out of the owner's, closes the socket itself: closing it
// with unread bytes would reset the answer away.
void Connection::CloseWhenWritten() {
  close_when_written_ = true;
  if (open()) Flush();
}

int Connection::Peek() const {
  char byte = 0;
  ssize_t count = 0;
  do {
    count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (count < 0 && errno == EINTR);
  return count < 0 ? errno : 0;
}

bool Connection::SeemsAlive() const {
  const int error = Peek();
  return !broken_ && (error == EAGAIN || IsShortage(error));
}

void Connection::Finish(End how) {
  Close();
  owner_.OnEnd(*this, how);
}

void Connection::Close() {
  if (fd_ < 0) return;
  loop_.Cancel(go_on_);
  loop_.Remove(fd_);
  close(fd_);
  fd_ = -1;
}

}  // namespace opalroute::net
