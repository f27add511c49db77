// A loopback TCP address that is kept while nobody listens there.
#pragma once

#include <netinet/in.h>

namespace opalroute::lab {

// Holds a bound socket that does not listen. The kernel gives the port to no other socket that asks for any
// free one, nor to an outgoing connection; a program that names the port and sets SO_REUSEADDR, as a server
// does, may bind it and listen. Until then connections are refused (socket(7), ip(7)).
class ReservedAddress {
 public:
  // A free port of 127.0.0.1, or of the address given, whose own port is not looked at. Throws
  // std::system_error if there is none.
  ReservedAddress();
  explicit ReservedAddress(const in_addr& at);
  ~ReservedAddress();
  ReservedAddress(const ReservedAddress&) = delete;
  ReservedAddress& operator=(const ReservedAddress&) = delete;

  const sockaddr_in& address() const { return address_; }

 private:
  const int fd_;
  const sockaddr_in address_;
};

}  // namespace opalroute::lab
