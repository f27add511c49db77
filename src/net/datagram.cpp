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

constexpr int kErrorsATurn = 16;

}  // namespace

DatagramSocket::DatagramSocket(EventLoop& loop, const sockaddr_in& listen, std::size_t most, Taken taken,
                               Refused refused)
    : loop_(loop),
      most_(most),
      taken_(std::move(taken)),
      refused_(std::move(refused)),
      fd_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&listen), sizeof(listen)) < 0 ||
      !loop_.Add(fd_, this)) {
    const int error = errno;
    if (fd_ >= 0) close(fd_);
    throw std::system_error(error, std::generic_category(), "datagram socket");
  }
  const int on = 1;
  if (refused_ && setsockopt(fd_, IPPROTO_IP, IP_RECVERR, &on, sizeof(on)) != 0) refused_ = nullptr;
}

DatagramSocket::~DatagramSocket() {
  loop_.Remove(fd_);
  close(fd_);
}

bool DatagramSocket::Send(const sockaddr_in& to, const std::string& bytes) {
  if (bytes.size() > most_) return false;
  const auto* address = reinterpret_cast<const sockaddr*>(&to);
  // The first try may hear of the fate of an earlier datagram in place of its own, or be interrupted.
  for (int tries = 0; tries < 2; ++tries) {
    if (sendto(fd_, bytes.data(), bytes.size(), 0, address, sizeof(to)) >= 0) return true;
    if (errno == EAGAIN || IsShortage(errno)) return false;
  }
  return false;
}

void DatagramSocket::OnEvents(std::uint32_t events) {
  if ((events & (EPOLLIN | EPOLLERR)) == 0) return;
  if (refused_ && (events & EPOLLERR) != 0) ReadErrors();
  for (int errors = 0; errors < kErrorsATurn;) {
    std::string bytes(most_ + 1, '\0');
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    const ssize_t count =
        recvfrom(fd_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (count < 0 && errno == EAGAIN) return;
    if (count < 0) {  // of an earlier datagram, mostly: what has come still stands behind it
      ++errors;
      continue;
    }
    if (static_cast<std::size_t>(count) > most_) continue;
    bytes.resize(static_cast<std::size_t>(count));
    taken_(from, std::move(bytes));
  }
}

// Each error in the queue carries the address that its datagram was sent to.
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
    for (cmsghdr* c = CMSG_FIRSTHDR(&message); c != nullptr; c = CMSG_NXTHDR(&message, c)) {
      if (c->cmsg_level != IPPROTO_IP || c->cmsg_type != IP_RECVERR) continue;
      sock_extended_err error{};
      std::memcpy(&error, CMSG_DATA(c), sizeof(error));
      if (error.ee_origin == SO_EE_ORIGIN_ICMP && error.ee_errno == ECONNREFUSED) refused_(to);
    }
  }
}

}  // namespace opalroute::net
