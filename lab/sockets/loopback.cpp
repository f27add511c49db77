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

constexpr std::uint32_t kBaseAddress = (127U << 24) + (32U << 16);

// Returns the lines of /proc/net/tcp that mention the port, local or remote (proc(5)), for an error message.
std::string ListSocketsOnPort(std::uint16_t port) {
  char port_field[8];
  std::snprintf(port_field, sizeof(port_field), ":%04X ", port);
  std::ifstream table("/proc/net/tcp");
  std::string lines;
  for (std::string line; std::getline(table, line);)
    if (line.find(port_field) != std::string::npos) lines += "\n" + line;
  return lines;
}

// Retries while the address is in use: a listener that was just closed here stays open in a child that
// another thread has forked, until the child calls execve.
bool BindWithRetries(int fd, const sockaddr_in& address) {
  constexpr int kMaxAttempts = 200;
  constexpr auto kRetryInterval = std::chrono::milliseconds(1);
  for (int i = 0; i < kMaxAttempts; ++i) {
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) return true;
    if (errno != EADDRINUSE) return false;
    std::this_thread::sleep_for(kRetryInterval);
  }
  errno = EADDRINUSE;
  return false;
}

}  // namespace

// Binds to any address but only on the loopback device, so that it can't be reached from outside
// (SO_BINDTODEVICE, socket(7)). Since Linux 5.7 an unbound socket needs no privileges for this.
int ListenOnLoopback() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const char device[] = "lo";
  sockaddr_in any_address{};
  any_address.sin_family = AF_INET;
  if (fd >= 0 && setsockopt(fd, SOL_SOCKET, SO_BINDTODEVICE, device, sizeof(device)) == 0 &&
      bind(fd, reinterpret_cast<const sockaddr*>(&any_address), sizeof(any_address)) == 0 &&
      listen(fd, SOMAXCONN) == 0)
    return fd;
  const int error = errno;
  if (fd >= 0) close(fd);
  throw std::system_error(error, std::generic_category(), "cannot listen on the loopback device");
}

BlackHole::BlackHole(const sockaddr_in& address) {
  const auto* address_pointer = reinterpret_cast<const sockaddr*>(&address);
  const int enabled = 1;
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  if (listener_ < 0 || !BindWithRetries(listener_, address) || listen(listener_, 0) != 0) {
    const int error = errno;
    if (listener_ >= 0) close(listener_);
    const std::string sockets = ListSocketsOnPort(ntohs(address.sin_port));
    throw std::system_error(
        error, std::generic_category(),
        "cannot make " + net::FormatAddress(address) + " unreachable; sockets on its port:" + sockets);
  }
  for (int& filler : fillers_) {
    filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (filler >= 0 && connect(filler, address_pointer, sizeof(address)) != 0 && errno != EINPROGRESS) {
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

sockaddr_in LoopbackAddress(EndpointId endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(kBaseAddress + endpoint);
  return address;
}

EndpointId EndpointIdOf(const sockaddr_in& address) {
  return static_cast<EndpointId>(ntohl(address.sin_addr.s_addr) - kBaseAddress);
}

}  // namespace opalroute::lab
