#include "lab/sockets/reserved_address.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

#include "net/listener.h"

namespace opalroute::lab {

namespace {

int BindAnyPort(const in_addr& at) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), "an address for a process");
  const int on = 1;
  sockaddr_in any{};
  any.sin_family = AF_INET;
  any.sin_addr = at;
  if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
      bind(fd, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) == 0)
    return fd;
  const int error = errno;
  close(fd);
  throw std::system_error(error, std::generic_category(), "an address for a process");
}

in_addr Loopback() {
  in_addr address{};
  address.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace

ReservedAddress::ReservedAddress() : ReservedAddress(Loopback()) {}

ReservedAddress::ReservedAddress(const in_addr& at)
    : fd_(BindAnyPort(at)), address_(net::BoundAddress(fd_)) {}

ReservedAddress::~ReservedAddress() { close(fd_); }

}  // namespace opalroute::lab
