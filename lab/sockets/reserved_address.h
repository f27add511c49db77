// Reserves a loopback TCP address, also while no process listens on it.
#pragma once

#include <netinet/in.h>

namespace opalroute::lab {

// Holds a socket that is bound but does not listen. The kernel assigns the port neither to another socket
// that binds to port 0 nor to an outgoing connection; a program that names the port and sets SO_REUSEADDR, as
// servers do, can bind and listen. Until then connections are refused (socket(7), ip(7)).
class ReservedAddress {
 public:
  // Reserves a free port on 127.0.0.1, or on the given IP address. Throws std::system_error if there is none.
  ReservedAddress();
  explicit ReservedAddress(const in_addr& ip);
  ~ReservedAddress();
  ReservedAddress(const ReservedAddress&) = delete;
  ReservedAddress& operator=(const ReservedAddress&) = delete;

  const sockaddr_in& address() const { return address_; }

 private:
  const int fd_;
  const sockaddr_in address_;
};

}  // namespace opalroute::lab
