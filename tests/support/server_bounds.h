// Limits of an HTTP server under test.
#pragma once

#include "net/http_server.h"

namespace opalroute::net {

// `connections`: how many are served at the same time; as many more are rejected. `timeout`: in seconds,
// for the first request, each later one, idle connections and lingering.
inline ServerBounds TestServerBounds(int connections, Seconds timeout) {
  constexpr std::size_t kBytes = 4096;
  ServerBounds bounds;
  bounds.http = {kBytes, 16, kBytes};
  bounds.response_bytes = kBytes;
  bounds.connections = bounds.reject_connections = connections;
  bounds.requests_per_turn = 4;
  bounds.first_request_timeout = bounds.request_timeout = bounds.idle_timeout = bounds.linger_timeout =
      timeout;
  return bounds;
}

}  // namespace opalroute::net
