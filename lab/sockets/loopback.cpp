#include "lab/sockets/loopback.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace opalroute::lab {

namespace {

constexpr std::uint32_t kFirst = (127U << 24) + (32U << 16);

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
