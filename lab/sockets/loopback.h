// Many endpoints on the loopback device: an address each, one listening socket for all.
#pragma once

#include <netinet/in.h>

#include "opalroute/rules.h"

namespace opalroute::lab {

// Listens, non-blocking, at all of 127.0.0.0/8 and nowhere else, on a port of its own. Throws
// std::system_error.
int ListenOnLoopback();

// Endpoint 1 is 127.32.0.1, and so on; 14 million have room. The port is left at 0.
sockaddr_in LoopbackOf(EndpointId endpoint);
EndpointId EndpointAt(const sockaddr_in& address);

}  // namespace opalroute::lab
