#include "relay/client_bounds.h"

#include <algorithm>
#include <cstddef>

namespace opalroute {
namespace {

constexpr std::size_t kPlatformConnections = 4;

// The size of a request in a batch: Base64 turns three bytes into four, and the JSON around the body holds a
// few names.
std::size_t EncodedRequestBytes(const Limits& limits) {
  return limits.body_bytes * 4 / 3 + 4 * limits.identifier_bytes;
}

std::size_t MaxBatch(const Config& config) {
  std::size_t max_batch = 1;
  for (const EndpointKind& kind : config.settings.kinds) {
    max_batch = std::max(max_batch, static_cast<std::size_t>(std::max(1, kind.max_batch)));
  }
  return max_batch;
}

}  // namespace

net::MemoryBudget::Shares MemorySharesOf(const MemoryLimits& limits) {
  return {limits.clients, limits.requests, limits.endpoints, limits.discovery, limits.operators};
}

net::ClientBounds EndpointClientBounds(const Config& config, net::MemoryBudget* memory) {
  const Limits& limits = config.limits;
  net::ClientBounds bounds;
  bounds.http = {limits.head_bytes, limits.header_count, 4 * limits.body_bytes, limits.interim_responses};
  bounds.request_bytes = limits.head_bytes + MaxBatch(config) * EncodedRequestBytes(limits);
  bounds.connections = limits.upstream_connections;
  bounds.connect_timeout = limits.upstream_connect_timeout;
  bounds.idle_timeout = limits.upstream_idle_timeout;
  bounds.watch_timeout = limits.max_confirmation_time;
  bounds.replaceable_after = limits.max_confirmation_time;
  bounds.response_timeout = limits.upstream_response_timeout;
  bounds.response_rest_timeout = limits.upstream_response_rest_timeout;
  bounds.memory = memory;
  return bounds;
}

net::ClientBounds PlatformClientBounds(const Limits& limits, net::MemoryBudget* memory) {
  net::ClientBounds bounds;
  bounds.http = {limits.head_bytes, limits.header_count, limits.endpoint_list_bytes};
  bounds.request_bytes = limits.head_bytes + limits.notifications_per_request * 4 * limits.identifier_bytes;
  bounds.connections = kPlatformConnections;
  // On a kept connection a repeated 204 would acknowledge notifications that the platform has not taken.
  bounds.keeps_connections = false;
  bounds.connect_timeout = limits.notification_attempt_timeout;
  bounds.idle_timeout = limits.upstream_idle_timeout;
  bounds.response_timeout = limits.platform_response_timeout;
  bounds.memory = memory;
  return bounds;
}

}  // namespace opalroute
