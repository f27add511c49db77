// Events: the input of a RequestRouter. Plain values, to be passed in the order in which they happened.
//
// Outcomes of unknown attempts, aborts of unknown requests and superseded timers are ignored.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "opalroute/types.h"

namespace opalroute {

// ---- the endpoint list ---------------------------------------------------------------------------

enum class EndpointStatus { kInService, kDraining, kRemoved };

enum class ListScope {
  kComplete,     // all endpoints; those that are not named are removed
  kCached,       // all endpoints as last known to an earlier process of this relay; may be outdated
  kChanges,      // only the endpoints that have changed
  kWatchFailed,  // no endpoints: a watch could not be opened, or has ended
};

struct ListedEndpoint {
  EndpointId endpoint{};
  std::optional<ZoneId> zone;  // empty: unknown, as only DNS has named the endpoint
  // Empty: unknown, as only DNS has named the endpoint. It then shares the destination's limits, and a call
  // to it has one request.
  std::optional<KindId> kind;
  DestinationId destination{};
  EndpointStatus status{};
  double listed_rate{};  // rate limit in calls per second, for all relays together; 0: not listed
  // Hash of the endpoint's name, the same at every relay; 0: no name, and gossip does not mention it.
  std::uint32_t name_hash{};
};

struct ListUpdate {
  ListScope scope{};
  std::vector<ListedEndpoint> entries;
  // False: from an operator or DNS, which does not show that the list is current.
  bool from_discovery = true;
};

// The watch has delivered a line without changes: the list is still current.
struct ListConfirmed {};

// The discovery service has moved to another address, where the list has to be watched from now on.
struct DiscoveryMoved {};

// ---- requests ------------------------------------------------------------------------------------

struct NewRequest {
  RequestId request_id{};     // not used by any request that the router knows
  int request_class{};        // index into Settings::classes
  std::optional<int> tenant;  // index into Settings::tenants
  std::string key;            // ordering key; ignored unless the class is ordered_by_key
  Seconds remaining_time{};   // until the request's deadline
  DestinationId destination{};
};

// An attempt that an earlier process of this relay made.
struct EarlierAttempt {
  EndpointId endpoint{};
  std::optional<ZoneId> zone;  // as known when the attempt was sent; empty: unknown
  Seconds age{};               // since the attempt was sent
  bool may_have_run{};
};

// A request that an earlier process of this relay had accepted and not finished. Its attempts count against
// the limit, and one that may have run restricts further attempts by the class's idempotency.
struct RecoveredRequest {
  NewRequest request;
  std::vector<EarlierAttempt> attempts;
  // It counted as delivered by a response that has come into doubt. Its further attempts must not come into
  // doubt, too (Send::requires_new_connection).
  bool response_was_doubted{};
};

// What an earlier process of this relay has reported of a route in its latest RouteHealthChanged. Ignored if
// this process has called the route, or if the endpoint or the destination is not listed.
struct RecoveredRouteHealth {
  DestinationId destination{};
  EndpointId endpoint{};  // 0: the destination as a whole
  RouteCondition condition{};
  bool circuit_open{};
  int faults{};
  Seconds age{};  // of RouteHealthChanged::since
};

// The client has disconnected before it got a response.
struct RequestAborted {
  RequestId request_id{};
};

// ---- attempts and health checks ------------------------------------------------------------------

enum class Outcome {
  kServed,
  kError,             // the endpoint failed the request
  kRejected,          // over a limit; the request did not run
  kTimeout,           // no response by Send::timeout_at
  kConnectFailed,     // no connection; the request did not run
  kReset,             // the connection broke after the request was sent
  kCancelled,         // because of CancelAttempt
  kNotSent,           // it never left this relay, for a reason unrelated to the endpoint
  kOutOfConnections,  // the endpoint has no free connections: neither a rate limit nor an outage
  kLocalShortage,     // this relay lacked a socket or disk space; not counted as an attempt
};

// What an endpoint reports about its rate limit in a response.
struct LoadReport {
  std::optional<double> remaining_share;   // unused fraction of the rate limit, 0 to 1
  std::optional<double> calls_per_second;  // the rate limit; 0: none
};

struct AttemptOutcome {
  RequestId request_id{};
  int attempt{};  // index into the request's attempts, in the order of their Send actions
  EndpointId endpoint{};
  Outcome outcome{};
  Seconds duration{};     // since the attempt was sent
  Seconds retry_after{};  // of a rejection; 0: none
  bool request_ended{};   // the request has ended, through this attempt or earlier
  // The call goes on for other requests of its batch, so the endpoint may still be serving this one until the
  // attempt's AttemptClosed.
  bool call_continues{};
  LoadReport load_report;
};

// The call of an attempt whose outcome came with `call_continues` has ended.
struct AttemptClosed {
  RequestId request_id{};
  int attempt{};
};

// The outcome of an attempt had proved that it never ran, and has come into doubt: its response may have been
// another request's.
struct AttemptMayHaveRun {
  RequestId request_id{};
  int attempt{};
};

// A streamed response has begun to arrive: the router no longer ends the request at its deadline.
struct ResponseStarted {
  RequestId request_id{};
  int attempt{};
};

struct HealthCheckOutcome {
  EndpointId endpoint{};
  Outcome outcome{};
  Seconds duration{};
  LoadReport load_report;
};

// ---- other relays --------------------------------------------------------------------------------

struct GossipReceived {
  int from{};           // index of the peer
  std::string payload;  // of SendGossip
};

// The number of relays among which limits and budgets are divided; replaces Settings::relay_count there.
struct FleetSize {
  double share_count = 1;  // 1 or more; above the number of relays if this one has to take a smaller share
};

// The fleet's decision on a zone. With a share of 0 the zone gets only recovery trials, from the health-check
// relays, except for destinations that no other zone serves. When the share rises above 0 again, endpoints
// with a route of their own go through slow start.
struct ZoneTrafficShare {
  ZoneId zone{};
  double traffic_share = 1;  // 0 to 1, of the requests that another zone could serve
  bool is_health_check_relay = false;
};

// What a relay knows about an upstream route, for a relay that has just started. Ages count from the
// observation itself, no matter how many relays have passed the state on.
struct RouteState {
  DestinationId destination{};
  EndpointId endpoint{};                   // if it has limits of its own; 0: the destination as a whole
  Seconds retry_after{};                   // remaining; 0: none
  std::optional<Seconds> failure_age{};    // age of the latest failure; empty: the route is not failing
  std::optional<Seconds> recovery_age{};   // time since slow start began; empty: not in slow start
  std::optional<Seconds> success_age{};    // age of the latest success
  std::optional<Seconds> rejection_age{};  // age of the rejection that reduced the send rate
  double send_rate{};                      // calls per second of one relay, after that rejection
  std::optional<Seconds> latency_age{};    // age of the latest measurement
  Seconds latency{};                       // mean duration of a call
  std::optional<Seconds> hedging_disabled_age{};  // age of the rejection that disabled hedging
};

// Route states from other relays. Merging them only makes this relay more cautious: it shortens no
// Retry-After, ends no suspected outage or slow start early, and causes no send that would not have happened
// anyway.
struct TransferredState {
  std::vector<RouteState> routes;
};

// ---- time ----------------------------------------------------------------------------------------

// The timer set by a SetTimer action has fired.
struct TimerFired {
  std::uint64_t timer_id{};
};

// The process is shutting down: only calls that are expected to complete in the time left are still sent.
struct ShutdownStarted {
  Seconds time_left{};
};

// No more events are pending. Sends are emitted only in response to this event, so that requests for the same
// endpoint can share a call.
struct BatchEnd {};

using Event =
    std::variant<ListUpdate, ListConfirmed, DiscoveryMoved, NewRequest, RecoveredRequest,
                 RecoveredRouteHealth, AttemptOutcome, AttemptClosed, AttemptMayHaveRun, ResponseStarted,
                 HealthCheckOutcome, RequestAborted, GossipReceived, TransferredState, FleetSize,
                 ZoneTrafficShare, TimerFired, ShutdownStarted, BatchEnd>;

}  // namespace opalroute
