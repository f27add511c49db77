// Actions: what a RequestRouter asks for. Plain values, to be carried out in the order in which they come.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <variant>

#include "opalroute/types.h"

namespace opalroute {

// Sends one more attempt of a request; its index is the number of earlier ones. Sends of one batch to one
// endpoint share a call, up to EndpointKind::max_batch.
struct Send {
  RequestId request_id{};
  EndpointId endpoint{};
  Seconds timeout_at{};  // 0: until the client gives the request up
  // The first byte leaves before this or never: later, the deduplication window of the request's key may be
  // over.
  Seconds send_deadline = std::numeric_limits<Seconds>::infinity();
};

// Ends a request that surely has no effect; the client may send it again.
struct Reject {
  RequestId request_id{};
  Seconds retry_after{};  // 0: not stated
};

// Ends a request as failed.
struct Fail {
  RequestId request_id{};
};

struct CancelAttempt {
  RequestId request_id{};
  int attempt{};
};

// Checks the health of an endpoint with a call that carries no request.
struct HealthCheck {
  EndpointId endpoint{};
};

struct SetTimer {
  Seconds due{};
  std::uint64_t timer_id{};
};

// Opens a watch on the endpoint list, or ends all watching. A watch that stands or is being opened goes on
// until another one has brought the list.
struct WatchEndpointList {
  bool enabled{};
};

struct CloseIdleConnections {
  EndpointId endpoint{};
};

struct SendGossip {
  std::optional<int> peer;  // index of the peer; none: all of them
  std::string payload;
};

struct Log {
  std::string text;
};

using Action = std::variant<Send, Reject, Fail, CancelAttempt, HealthCheck, SetTimer, WatchEndpointList,
                            CloseIdleConnections, SendGossip, Log>;

}  // namespace opalroute
