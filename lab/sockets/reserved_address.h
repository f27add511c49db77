// A loopback TCP address that is kept for a process which has not started yet.
#pragma once

#include <netinet/in.h>

namespace opalroute::lab {

// Holds a bound socket that does not listen. The kernel gives the port to no other socket that asks for any
// free one, nor to an outgoing connection; a program that names the port and sets SO_REUSEADDR, as a server
// does, may bind it and listen. Until then connections are refused (socket(7), ip(7)).
class ReservedAddress {
 public:
  ReservedAddress();  // throws std::system_error if no port is free
  ~ReservedAddress();
  ReservedAddress(const ReservedAddress&) = delete;
  ReservedAddress& operator=(const ReservedAddress&) = delete;

  const sockaddr_in& address() const { return address_; }

 private:
  const int fd_;
  const sockaddr_in address_;
};

}  // namespace opalroute::lab
