// Many endpoints on the loopback device: an address each, one listening socket for all.
#pragma once

#include <netinet/in.h>

#include "opalroute/request_router.h"

namespace opalroute::lab {

// Listens, non-blocking, at all of 127.0.0.0/8 and nowhere else, on a port of its own. Throws
// std::system_error.
int ListenOnLoopback();

// A machine that is cut off, for new connections: its address takes them and never answers, as its queue for
// them is full (tcp(7)). Throws std::system_error if the address can't be had.
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

// Endpoint 1 is 127.32.0.1, and so on; 14 million have room. The port is left at 0.
sockaddr_in LoopbackOf(EndpointId endpoint);
EndpointId EndpointAt(const sockaddr_in& address);

}  // namespace opalroute::lab
