// The bounds of the HTTP server for clients. The admin server starts from the same bounds and tightens some
// of them.
#pragma once

#include "config/limits.h"
#include "net/http_server.h"

namespace opalroute {

// `memory` may be null: the memory of the connections is not counted then.
inline net::ServerBounds ServerBoundsOf(const Limits& limits, net::MemoryBudget* memory,
                                        net::MemoryOwner memory_owner) {
  net::ServerBounds bounds;
  bounds.http = {limits.head_bytes, limits.header_count, limits.body_bytes};
  bounds.response_bytes = limits.head_bytes;
  bounds.connections = limits.client_connections;
  bounds.reject_connections = limits.reject_connections;
  bounds.requests_per_turn = limits.requests_per_turn;
  bounds.first_request_timeout = limits.first_request_timeout;
  bounds.request_timeout = limits.request_timeout;
  bounds.crowded_idle_timeout = limits.client_crowded_idle_timeout;
  bounds.silent_timeout = limits.client_silent_timeout;
  bounds.linger_timeout = limits.client_linger_timeout;
  bounds.linger_bytes = limits.client_linger_bytes;
  bounds.idle_timeout = limits.client_idle_timeout;
  bounds.reject_retry_after = limits.reject_retry_after;
  bounds.slow_request_time = limits.client_slow_request_time;
  bounds.memory = memory;
  bounds.memory_owner = memory_owner;
  return bounds;
}

}  // namespace opalroute
