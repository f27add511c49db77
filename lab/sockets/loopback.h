// Gives many endpoints a loopback address each, with a single listening socket for all of them.
#pragma once

#include <netinet/in.h>

#include "opalroute/request_router.h"

namespace opalroute::lab {

// Returns a non-blocking socket that listens on all of 127.0.0.0/8, and nowhere else, on a free port. Throws
// std::system_error.
int ListenOnLoopback();

// Makes an address behave like an unreachable machine towards new connections: connection attempts are
// neither accepted nor refused, as the listener's accept queue is kept full (tcp(7)). Throws
// std::system_error if the address is taken.
class BlackHole {
 public:
  explicit BlackHole(const sockaddr_in& address);
  ~BlackHole();
  BlackHole(const BlackHole&) = delete;
  BlackHole& operator=(const BlackHole&) = delete;

 private:
  int listener_ = -1;
  int fillers_[2] = {-1, -1};
};

// Endpoint 1 has 127.32.0.1, endpoint 2 has 127.32.0.2, and so on, up to 14 million. The port is left at 0.
sockaddr_in LoopbackAddress(EndpointId endpoint);
EndpointId EndpointIdOf(const sockaddr_in& address);

}  // namespace opalroute::lab
