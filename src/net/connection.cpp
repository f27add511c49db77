#include "net/connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "net/socket_error.h"

namespace opalroute::net {

Connection::Connection(EventLoop& loop, int fd, Owner& owner, const ConnectionBounds& bounds)
    : loop_(loop),
      owner_(owner),
      fd_(fd),
      turn_bytes_(bounds.turn_bytes > 0 ? bounds.turn_bytes : bounds.max_in),
      in_(bounds.max_in),
      out_(bounds.max_out),
      holding_(bounds.memory, bounds.memory_owner) {
  SetNoDelay(fd);
  SetSocketBuffers(fd, bounds.socket_send_bytes, bounds.socket_receive_bytes);
}

Connection::~Connection() { Close(); }

std::unique_ptr<Connection> Connection::Adopt(EventLoop& loop, int fd, Owner& owner,
                                              const ConnectionBounds& bounds) {
  std::unique_ptr<Connection> connection(new Connection(loop, fd, owner, bounds));
  return loop.Add(fd, connection.get()) ? std::move(connection) : nullptr;
}

std::unique_ptr<Connection> Connection::Connect(EventLoop& loop, const sockaddr_in& to, Owner& owner,
                                                const ConnectionBounds& bounds) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  std::unique_ptr<Connection> connection(new Connection(loop, fd, owner, bounds));
  connection->connecting_ = true;
  const int result = connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  const int error = result < 0 ? errno : 0;
  if (IsLocalConnectError(error)) return nullptr;
  // After EINTR the connection is established asynchronously, as after EINPROGRESS (connect(2)).
  if (error == 0 || error == EINPROGRESS || error == EINTR)
    return loop.Add(fd, connection.get()) ? std::move(connection) : nullptr;
  // connect has returned the socket's pending error and cleared it: SO_ERROR would be 0 at the next event. So
  // the failure is reported by a timer.
  connection->ResumeAfter(0);
  return connection;
}

void Connection::OnEvents(std::uint32_t events) {
  if (fd_ < 0) return;
  if (connecting_) {
    if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0) return;
    int error = 0;
    socklen_t size = sizeof(error);
    if (getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) < 0 || error != 0)
      return Finish(CloseReason::kNotConnected);
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

// Events are edge-triggered: reads until the socket has no more bytes, or the buffer is full and the owner
// consumes nothing, or there is no memory. One call reads no more than the bytes of a turn, and then lets
// other connections have theirs: a peer that sends at full speed would otherwise occupy the only thread.
void Connection::Read() {
  std::size_t left = turn_bytes_;
  while (fd_ >= 0) {
    bool drained = false, reset = false, shortage = false, paused = false;
    while (!in_.full() && !drained && !peer_closed_ && !reset && left > 0) {
      paused = !MayRead();
      if (paused) break;
      const ssize_t count = in_.ReadFrom(fd_);
      if (count > 0) left -= std::min(left, static_cast<std::size_t>(count));
      if (count == 0) peer_closed_ = true;
      if (count < 0 && errno == EINTR) continue;
      if (count >= 0) continue;
      shortage = IsResourceShortage(errno);
      (errno == EAGAIN || shortage ? drained : reset) = true;
    }
    if (shortage) ResumeAfter(kShortageRetryDelay);
    const bool was_full = in_.full();
    if (reset) peer_closed_ = true;
    owner_.OnData(*this);
    CountMemory();
    if (fd_ < 0) return;
    if (reset) return Finish(CloseReason::kReset);
    if (peer_closed_) return Finish(CloseReason::kPeerClosed);
    if (drained || paused || (was_full && in_.full())) return;
    if (left == 0) return loop_.Rearm(fd_, this) ? void() : ResumeAfter(kShortageRetryDelay);
  }
}

bool Connection::MayRead() {
  if (!in_.empty() && !owner_.WantsMoreInput()) return false;
  awaits_memory_ = !holding_.GrowOrAwait(in_.NextCapacity() - in_.capacity(), *this);
  return !awaits_memory_;
}

void Connection::ResumeReading() {
  if (open()) Read();
}

bool Connection::Write(std::string_view bytes) {
  if (!out_.Append(bytes)) return false;
  if (open()) Flush();
  CountMemory();
  return true;
}

// A failure is reported in a later iteration of the loop, not from within the owner's own call. That takes a
// timer: epoll reports no event for a resource shortage, nor for every broken connection.
void Connection::Flush() {
  while (!out_.empty()) {
    if (out_.WriteTo(fd_) >= 0 || errno == EINTR) continue;
    if (errno == EAGAIN) return;
    write_failed_ = !IsResourceShortage(errno);
    return ResumeAfter(write_failed_ ? 0 : kShortageRetryDelay);
  }
  if (close_when_written_) {
    shutdown(fd_, SHUT_WR);
    close_when_written_ = false;
  }
}

void Connection::ResumeAfter(Seconds pause) {
  if (resume_timer_ != 0 || fd_ < 0) return;
  resume_timer_ = loop_.At(loop_.Now() + pause, [this] {
    resume_timer_ = 0;
    Resume();
  });
}

void Connection::Resume() {
  if (connecting_) return Finish(CloseReason::kNotConnected);
  if (!write_failed_) return OnEvents(EPOLLIN | EPOLLOUT);
  Read();  // delivers what the peer had sent before the connection broke
  if (fd_ >= 0) Finish(CloseReason::kReset);
}

// The socket itself is closed when the peer closes its side, or by a timeout of the owner: closing it with
// unread bytes would reset the connection, and the peer could lose the response.
void Connection::CloseWhenWritten() {
  close_when_written_ = true;
  if (open()) Flush();
}

void Connection::Finish(CloseReason how) {
  Close();
  owner_.OnClosed(*this, how);
}

void Connection::Close() {
  if (fd_ < 0) return;
  holding_.Detach(*this);
  loop_.Cancel(resume_timer_);
  loop_.Remove(fd_);
  close(fd_);
  fd_ = -1;
}

}  // namespace opalroute::net
