#include "lab/sockets/reserved_address.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

#include "net/listener.h"

namespace opalroute::lab {

namespace {

int BindFreePort(const in_addr& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), "cannot reserve a loopback address");
  const int enabled = 1;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr = ip;
  if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled)) == 0 &&
      bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
    return fd;
  const int error = errno;
  close(fd);
  throw std::system_error(error, std::generic_category(), "cannot reserve a loopback address");
}

in_addr LoopbackIp() {
  in_addr address{};
  address.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace

ReservedAddress::ReservedAddress() : ReservedAddress(LoopbackIp()) {}

ReservedAddress::ReservedAddress(const in_addr& ip)
    : fd_(BindFreePort(ip)), address_(net::BoundAddress(fd_)) {}

ReservedAddress::~ReservedAddress() { close(fd_); }

}  // namespace opalroute::lab
