#include "lab/sockets/loopback.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <system_error>
#include <thread>

#include "net/address.h"

namespace opalroute::lab {

namespace {

constexpr std::uint32_t kFirst = (127U << 24) + (32U << 16);

// The kernel's lines for sockets of the port (proc(5), /proc/net/tcp).
std::string SocketsAt(std::uint16_t port) {
  char wanted[8];
  std::snprintf(wanted, sizeof(wanted), ":%04X ", port);
  std::ifstream table("/proc/net/tcp");
  std::string found;
  for (std::string line; std::getline(table, line);)
    if (line.find(wanted) != std::string::npos) found += "\n" + line;
  return found;
}

// A listener that was closed here a moment ago goes on listening in a child that another thread has forked,
// until the child runs execve.
bool BindOnceFree(int fd, const sockaddr_in& address) {
  constexpr int kTries = 200;
  constexpr auto kPause = std::chrono::milliseconds(1);
  for (int i = 0; i < kTries; ++i) {
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) return true;
    if (errno != EADDRINUSE) return false;
    std::this_thread::sleep_for(kPause);
  }
  errno = EADDRINUSE;
  return false;
}

}  // namespace

// Bound to no address, but to the loopback device, so nobody else reaches it (SO_BINDTODEVICE, socket(7); for
// an unbound socket it needs no rights since Linux 5.7).
int ListenOnLoopback() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const char device[] = "lo";
  sockaddr_in any{};
  any.sin_family = AF_INET;
  if (fd >= 0 && setsockopt(fd, SOL_SOCKET, SO_BINDTODEVICE, device, sizeof(device)) == 0 &&
      bind(fd, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) == 0 && listen(fd, SOMAXCONN) == 0)
    return fd;
  const int error = errno;
  if (fd >= 0) close(fd);
  throw std::system_error(error, std::generic_category(), "listening on the loopback device");
}

BlackHole::BlackHole(const sockaddr_in& address) {
  const auto* to = reinterpret_cast<const sockaddr*>(&address);
  const int on = 1;
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (listener_ < 0 || !BindOnceFree(listener_, address) || listen(listener_, 0) != 0) {
    const int error = errno;
    if (listener_ >= 0) close(listener_);
    const std::string others = SocketsAt(ntohs(address.sin_port));
    throw std::system_error(
        error, std::generic_category(),
        "a machine that is cut off, " + net::FormatAddress(address) + ", beside" + others);
  }
  for (int& filler : fillers_) {
    filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (filler >= 0 && connect(filler, to, sizeof(address)) != 0 && errno != EINPROGRESS) {
      close(filler);
      filler = -1;
    }
  }
}

BlackHole::~BlackHole() {
  for (const int filler : fillers_)
    if (filler >= 0) close(filler);
  close(listener_);
}

sockaddr_in LoopbackOf(EndpointId endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(kFirst + endpoint);
  return address;
}

EndpointId EndpointAt(const sockaddr_in& address) {
  return static_cast<EndpointId>(ntohl(address.sin_addr.s_addr) - kFirst);
}

}  // namespace opalroute::lab
