// Actions: the requests of a RequestRouter to its caller. Plain values, to be carried out in the order given.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <variant>

#include "opalroute/types.h"

namespace opalroute {

// Sends one more attempt of a request; its index is the number of earlier attempts. Sends to the same
// endpoint in the same batch share a call, up to EndpointKind::max_batch.
struct Send {
  RequestId request_id{};
  EndpointId endpoint{};
  Seconds timeout_at{};  // 0: no timeout but the request's deadline
  // The attempt must not be sent at or after this time, as the deduplication window of the request's
  // idempotency key may have ended by the time it arrives.
  Seconds send_deadline = std::numeric_limits<Seconds>::infinity();
  // The outcome must not rest on a response that could be another request's: it has to be the first response
  // of its connection.
  bool requires_new_connection = false;
};

// Ends a request that is known to have had no effect or is safe to repeat; the client may send it again.
struct Reject {
  RequestId request_id{};
  Seconds retry_after{};  // 0: not specified
};

// Ends a request as failed; it may have had an effect.
struct Fail {
  RequestId request_id{};
};

struct CancelAttempt {
  RequestId request_id{};
  int attempt{};
};

// Sends a call without a request to an endpoint, to check its health.
struct HealthCheck {
  EndpointId endpoint{};
};

struct SetTimer {
  Seconds due{};
  std::uint64_t timer_id{};
};

// Opens a watch on the endpoint list, or ends all watches. An existing watch, open or being opened, continues
// until the new one has delivered the list.
struct WatchEndpointList {
  bool enabled{};
};

struct CloseIdleConnections {
  EndpointId endpoint{};
};

struct SendGossip {
  std::optional<int> peer;  // index of the peer; empty: all peers
  std::string payload;
};

// Why the health of a route has changed.
enum class RouteHealthCause {
  kServed,     // a call, a recovery trial or a health check was served
  kRejected,   // a call was rejected
  kFailed,     // a call failed
  kStalled,    // no responses
  kElapsed,    // the time of a slow start has passed
  kGossip,     // another relay's datagram
  kTransfer,   // state of other relays, for a relay that starts
  kRecovered,  // an earlier process of this relay
  kZone,       // traffic returns to the zone
};

// The health of a route, or of an endpoint's circuit, has changed. The latest one of each route is kept for
// the next process of this relay, which passes it to its router as RecoveredRouteHealth.
struct RouteHealthChanged {
  DestinationId destination{};
  EndpointId endpoint{};  // 0: the destination as a whole
  // Of the endpoint's own route, or of the destination's. kServing for an endpoint without its own route, of
  // which only the circuit is reported.
  RouteCondition condition{};
  RouteCondition previous{};  // as reported before
  bool circuit_open = false;  // of the endpoint
  int faults{};               // since the latest served call
  Seconds age{};              // since the slow start began, or else since the latest fault
  RouteHealthCause cause{};
  double share_count = 1;       // relays that share the budget
  double calls_per_second = 0;  // kSlowStart: this relay's rate at its beginning
};

struct Log {
  std::string text;
};

using Action = std::variant<Send, Reject, Fail, CancelAttempt, HealthCheck, SetTimer, WatchEndpointList,
                            CloseIdleConnections, SendGossip, RouteHealthChanged, Log>;

}  // namespace opalroute
