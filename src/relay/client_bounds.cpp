#include "relay/client_bounds.h"

#include <algorithm>
#include <cstddef>

namespace opalroute {
namespace {

constexpr std::size_t kPlatformConnections = 4;

// The size of a request in a batch: Base64 turns three bytes into four, and the JSON around the body holds a
// few names.
std::size_t EncodedRequestBytes(const Limits& limits) {
  return limits.body_bytes * 4 / 3 + 4 * limits.name_bytes;
}

std::size_t MaxBatch(const Config& config) {
  std::size_t max_batch = 1;
  for (const EndpointKind& kind : config.settings.kinds) {
    max_batch = std::max(max_batch, static_cast<std::size_t>(std::max(1, kind.max_batch)));
  }
  return max_batch;
}

}  // namespace

net::ClientBounds EndpointClientBounds(const Config& config) {
  const Limits& limits = config.limits;
  net::ClientBounds bounds;
  bounds.http = {limits.head_bytes, limits.header_count, 4 * limits.body_bytes, limits.interim_answers};
  bounds.request_bytes = limits.head_bytes + MaxBatch(config) * EncodedRequestBytes(limits);
  bounds.connections = limits.upstream_connections;
  bounds.connect_timeout = limits.connect_time;
  bounds.idle_timeout = limits.upstream_idle;
  bounds.response_timeout = limits.answer_time;
  bounds.response_rest_timeout = limits.answer_rest;
  return bounds;
}

net::ClientBounds PlatformClientBounds(const Limits& limits) {
  net::ClientBounds bounds;
  bounds.http = {limits.head_bytes, limits.header_count, limits.list_bytes};
  bounds.request_bytes = limits.head_bytes + limits.notice_lines * 4 * limits.name_bytes;
  bounds.connections = kPlatformConnections;
  bounds.connect_timeout = limits.notice_time_most;
  bounds.idle_timeout = limits.upstream_idle;
  bounds.response_timeout = limits.list_time;
  return bounds;
}

}  // namespace opalroute
