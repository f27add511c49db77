#include "net/datagram.h"

#include <linux/errqueue.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include "net/socket_error.h"

namespace opalroute::net {

namespace {

constexpr int kMaxErrorsPerEvent = 16;

}  // namespace

DatagramSocket::DatagramSocket(EventLoop& loop, const sockaddr_in& listen, std::size_t max_size,
                               ReceiveCallback on_receive, RefusedCallback on_refused)
    : loop_(loop),
      max_size_(max_size),
      on_receive_(std::move(on_receive)),
      on_refused_(std::move(on_refused)),
      fd_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&listen), sizeof(listen)) < 0 ||
      !loop_.Add(fd_, this)) {
    const int error = errno;
    if (fd_ >= 0) close(fd_);
    throw std::system_error(error, std::generic_category(), "datagram socket");
  }
  const int on = 1;
  if (on_refused_ && setsockopt(fd_, IPPROTO_IP, IP_RECVERR, &on, sizeof(on)) != 0) on_refused_ = nullptr;
}

DatagramSocket::~DatagramSocket() {
  loop_.Remove(fd_);
  close(fd_);
}

bool DatagramSocket::Send(const sockaddr_in& to, const std::string& bytes) {
  if (bytes.size() > max_size_) return false;
  const auto* address = reinterpret_cast<const sockaddr*>(&to);
  // The first attempt may report a pending error of an earlier datagram instead of its own, or be
  // interrupted.
  for (int attempt = 0; attempt < 2; ++attempt) {
    if (sendto(fd_, bytes.data(), bytes.size(), 0, address, sizeof(to)) >= 0) return true;
    if (errno == EAGAIN || IsResourceShortage(errno)) return false;
  }
  return false;
}

void DatagramSocket::OnEvents(std::uint32_t events) {
  if ((events & (EPOLLIN | EPOLLERR)) == 0) return;
  if (on_refused_ && (events & EPOLLERR) != 0) ReadErrors();
  for (int errors = 0; errors < kMaxErrorsPerEvent;) {
    std::string bytes(max_size_ + 1, '\0');
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    const ssize_t count =
        recvfrom(fd_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (count < 0 && errno == EAGAIN) return;
    if (count < 0) {  // usually that of a datagram sent earlier: received ones may still be queued
      ++errors;
      continue;
    }
    if (static_cast<std::size_t>(count) > max_size_) continue;
    bytes.resize(static_cast<std::size_t>(count));
    on_receive_(from, std::move(bytes));
  }
}

// Each entry of the error queue carries the address that the failed datagram was sent to.
void DatagramSocket::ReadErrors() {
  for (;;) {
    sockaddr_in to{};
    char control[256];
    msghdr message{};
    message.msg_name = &to;
    message.msg_namelen = sizeof(to);
    message.msg_control = control;
    message.msg_controllen = sizeof(control);
    if (recvmsg(fd_, &message, MSG_ERRQUEUE) < 0) return;
    for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr;
         header = CMSG_NXTHDR(&message, header)) {
      if (header->cmsg_level != IPPROTO_IP || header->cmsg_type != IP_RECVERR) continue;
      sock_extended_err error{};
      std::memcpy(&error, CMSG_DATA(header), sizeof(error));
      if (error.ee_origin == SO_EE_ORIGIN_ICMP && error.ee_errno == ECONNREFUSED) on_refused_(to);
    }
  }
}

}  // namespace opalroute::net
