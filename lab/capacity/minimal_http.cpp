#include "lab/capacity/minimal_http.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <system_error>

#include "net/listener.h"

namespace opalroute::lab::raw {

std::size_t CompleteMessageLength(std::string_view bytes) {
  const std::size_t end = bytes.find("\r\n\r\n");
  if (end == std::string_view::npos) return 0;
  std::size_t body = 0;
  constexpr std::string_view kLength = "\r\nContent-Length: ";
  const std::size_t at = bytes.substr(0, end + 2).find(kLength);
  if (at != std::string_view::npos) body = std::strtoul(bytes.data() + at + kLength.size(), nullptr, 10);
  return bytes.size() >= end + 4 + body ? end + 4 + body : 0;
}

namespace {

[[noreturn]] void Fail(const char* what) { throw std::system_error(errno, std::generic_category(), what); }

void DisableNagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

int Listen(const sockaddr_in& at) {
  const int fd = net::OpenListener(at);
  DisableNagle(fd);  // accepted sockets inherit it
  return fd;
}

int Connect(const sockaddr_in& to) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) Fail("connect");
  fcntl(fd, F_SETFL, O_NONBLOCK);
  DisableNagle(fd);
  return fd;
}

void AddToEpoll(int epoll, int fd, void* data) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP | EPOLLET;
  event.data.ptr = data;
  if (epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event) != 0) Fail("epoll_ctl");
}

double Now() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

bool ReadAll(int fd, std::string& to) {
  char bytes[16384];
  for (;;) {
    const ssize_t count = read(fd, bytes, sizeof(bytes));
    if (count > 0) to.append(bytes, static_cast<std::size_t>(count));
    if (count == 0) return false;
    if (count < 0) return errno == EAGAIN || errno == EINTR;
    if (static_cast<std::size_t>(count) < sizeof(bytes)) return true;
  }
}

bool WriteAll(int fd, std::string_view bytes) {
  return write(fd, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size());
}

}  // namespace opalroute::lab::raw
