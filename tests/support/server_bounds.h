// Bounds of a server in a test.
#pragma once

#include "net/http_server.h"

namespace opalroute::net {

// `connections`: served, and so many more that hear a reject; `time`: in seconds, for all that has one.
inline ServerBounds BoundsOf(int connections, Seconds time) {
  constexpr std::size_t kBytes = 4096;
  ServerBounds bounds;
  bounds.http = {kBytes, 16, kBytes};
  bounds.response_bytes = kBytes;
  bounds.connections = bounds.reject_connections = connections;
  bounds.requests_per_turn = 4;
  bounds.first_request_timeout = bounds.request_timeout = bounds.idle_timeout = bounds.linger_timeout = time;
  return bounds;
}

}  // namespace opalroute::net
