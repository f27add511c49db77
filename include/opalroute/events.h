// Events: what a RequestRouter is notified of. Plain values, handled in the order in which they happened.
//
// Outcomes, aborts and timers that are no longer known are ignored.
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
  kComplete,     // all endpoints; those that it does not name are removed
  kCached,       // the same, as an earlier process last held it: it may be out of date
  kChanges,      // the endpoints that have changed
  kWatchFailed,  // no endpoints: an attempt to watch the list has failed, or the watch has ended
};

struct ListedEndpoint {
  EndpointId endpoint{};
  int zone{};  // index into the deployment's zones
  int kind{};  // index into Settings::kinds
  DestinationId destination{};
  EndpointStatus status{};
  double listed_rate{};  // calls a second that it takes from all relays together; 0: not listed
  // Hash of the endpoint's name, the same at every relay; 0: it has none, and gossip leaves it out.
  std::uint32_t name_hash{};
};

struct ListUpdate {
  ListScope scope{};
  std::vector<ListedEndpoint> entries;
  // Else it is from another source (operators, DNS), which says nothing of how current the list is.
  bool from_discovery = true;
};

// The watch has brought a line that names no change: the list is still current.
struct ListConfirmed {};

// Discovery has moved to another address: its list has to be watched there.
struct DiscoveryMoved {};

// ---- requests ------------------------------------------------------------------------------------

struct NewRequest {
  RequestId request_id{};     // not in use
  int request_class{};        // index into Settings::classes
  std::optional<int> tenant;  // index into Settings::tenants
  std::string key;            // ordering key; used by classes with ordered_by_key
  Seconds remaining_time{};   // until the client gives the request up
  DestinationId destination{};
};

// An attempt that an earlier process of this relay had made.
struct EarlierAttempt {
  EndpointId endpoint{};
  int zone{};
  Seconds age{};  // since it was sent
  bool may_have_run{};
};

// A request that an earlier process of this relay held when it ended. Its attempts count, and those that may
// have run bind further ones as the class says.
struct RecoveredRequest {
  NewRequest request;
  std::vector<EarlierAttempt> attempts;
};

// The client has left before it had an answer.
struct RequestAborted {
  RequestId request_id{};
};

// ---- attempts and health checks ------------------------------------------------------------------

enum class Outcome {
  kServed,
  kError,             // the endpoint failed the request
  kRejected,          // over a limit: it surely did not run
  kTimeout,           // no answer by Send::timeout_at
  kConnectFailed,     // no connection: it surely did not run
  kReset,             // the connection broke after the request had been sent
  kCancelled,         // by CancelAttempt
  kNotSent,           // it never left this relay, and that says nothing of the endpoint
  kOutOfConnections,  // rejected for want of connections: neither a limit nor an outage
  kLocalShortage,     // this relay lacked a socket or disk space: it is no attempt
};

// What an endpoint reports of itself with an answer.
struct LoadReport {
  std::optional<double> remaining_share;   // part of its rate limit that is left, 0 to 1
  std::optional<double> calls_per_second;  // its rate limit; 0: none
};

struct AttemptOutcome {
  RequestId request_id{};
  int attempt{};  // index into the request's attempts, in the order of their Send actions
  EndpointId endpoint{};
  Outcome outcome{};
  Seconds duration{};     // since it was sent
  Seconds retry_after{};  // with a rejection; 0: none
  bool request_ended{};   // the request has ended, by this attempt or before
  LoadReport load_report;
};

// The answer of a streamed class has begun: the attempt now belongs to the client.
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

// Replaces Settings::relay_count wherever relays share a limit or a budget.
struct FleetSize {
  double share_count = 1;  // 1 or more; more than there are relays where this one is to hold back
};

// What the fleet has decided for a zone. At 0 the zone gets recovery trials of health-check relays only;
// above 0 again, all of it starts slowly.
struct ZoneTrafficShare {
  int zone{};
  double traffic_share = 1;  // 0 to 1, of the requests that could go elsewhere
  bool is_health_check_relay = false;
};

// What a relay knows of an upstream route, for one that knows nothing yet. Ages are those of the observations
// themselves, however often the state was passed on.
struct RouteState {
  DestinationId destination{};
  EndpointId endpoint{};                          // where it has limits of its own; 0: the destination
  Seconds retry_after{};                          // what is left of it; 0: none
  std::optional<Seconds> failure_age{};           // the route is failing: age of the latest failure
  std::optional<Seconds> recovery_age{};          // the route is in slow start: since when
  std::optional<Seconds> success_age{};           // of the latest success
  std::optional<Seconds> rejection_age{};         // of the rejection that reduced the send rate
  double send_rate{};                             // calls a second of one relay, after that rejection
  std::optional<Seconds> latency_age{};           // of the latest measurement
  Seconds latency{};                              // mean duration of a call
  std::optional<Seconds> hedging_disabled_age{};  // of the rejection that disabled hedging
};

// State of other relays. It only makes this one more careful: no Retry-After gets shorter, no suspected
// outage or slow start ends sooner, and nothing is sent that would not be sent without it.
struct TransferredState {
  std::vector<RouteState> routes;
};

// ---- time ----------------------------------------------------------------------------------------

// The timer of a SetTimer action is due.
struct TimerFired {
  std::uint64_t timer_id{};
};

// The process is about to end: only calls that can come back before are still sent.
struct ShutdownStarted {
  Seconds time_left{};
};

// Nothing more has happened for now. Sends leave only with this, so that requests for one endpoint share a
// call.
struct BatchEnd {};

using Event =
    std::variant<ListUpdate, ListConfirmed, DiscoveryMoved, NewRequest, RecoveredRequest, AttemptOutcome,
                 ResponseStarted, HealthCheckOutcome, RequestAborted, GossipReceived, TransferredState,
                 FleetSize, ZoneTrafficShare, TimerFired, ShutdownStarted, BatchEnd>;

}  // namespace opalroute
