// The interface of opalroute: what a courier is told, what it answers, and the Courier itself.
//
// One Courier serves one courier process. It is not thread-safe: call it from one thread at a time.
// It owns everything it knows; events and actions are plain values. Times are seconds on one clock
// that never goes back; that clock is the only one there is. Events go in as they happen; TurnEnd
// says that nothing more has come for now, and sends leave only then, so that messages for one
// endpoint can share a call. Outcomes of attempts, ends and timers that are no longer known are
// passed over. Nothing throws on the content of an event and nothing is printed.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace opalroute {

using Seconds = double;
using RequestId = std::uint64_t;
using EndpointId = std::uint32_t;
using DestinationId = std::int64_t;

// ---- settings ------------------------------------------------------------------------------

enum class Idempotency { kIdempotent, kIdempotencyKey, kNonIdempotent };  // what a repeat does
enum class DeduplicationScope {
  kAll,
  kDestination,
  kZone
};                                           // whose endpoints drop a repeat (kAll: refusal allowed too)
enum class LateDecay { kLinear, kHalving };  // how worth falls after the aim
enum class ListedRateAccuracy { kNone, kExact, kRough };  // how well listed ratings tell the limit

struct RequestClass {
  Idempotency idempotency{};
  DeduplicationScope deduplication_scope{};
  Seconds deduplication_window{};  // keyed: how long a key is remembered
  Seconds latency_objective{};     // full worth inside this
  Seconds deadline{};              // no worth after this
  double weight_at_deadline{};     // share of the worth left at the deadline
  double priority_weight{};
  bool ordered_by_key{};  // messages of one key go one at a time
};

struct Tenant {
  double quota{};  // messages a second within its share, from all couriers
};

struct EndpointKind {
  bool limits_per_endpoint{};  // endpoints have limits and outages of their own
  int max_batch{};             // messages that may share a call
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  std::vector<EndpointKind> kinds;
  int relay_count{};        // how many there are, this one among them
  int concurrency_limit{};  // calls out at once
  int request_capacity{};   // messages held at once
  int max_attempts{};
  bool may_cancel{};
  bool may_hedge{};
  bool may_health_check{};
  bool may_send_retry_after{};
  bool may_gossip{};
  bool poll_endpoint_list{};  // the list comes only when asked for
  LateDecay late_decay{};
  ListedRateAccuracy listed_rate_accuracy{};
  double over_quota_weight{};
  Seconds max_retry_after{};  // the longest advice that a client heeds
  Seconds tick{};
  Seconds
      max_poll_interval{};  // a courier that has not asked for the list for so long counts as told; 0: never
  // The endpoint list: a change binds so long after discovery had it, or after discovery has moved, whether
  // or not it has arrived; a watch brings a line at least every `list_heartbeat` (0: its end is always told).
  Seconds list_notification_time = 6;
  Seconds list_notification_time_after_move = 4;
  Seconds list_heartbeat = 0;
  Seconds drain_grace = 2;  // from hearing that an endpoint drains or went to the last new call (rule 3)
  Seconds overload_window{};
  double overload_factor{};
  double slow_start_initial_share{};
  Seconds slow_start_duration{};
  std::optional<Seconds> ordered_key_pause;  // order by key: rest after an attempt that may still run
  std::uint64_t seed{};
};

// ---- events --------------------------------------------------------------------------------

enum class EndpointStatus { kInService, kDraining, kRemoved };
enum class ListScope { kComplete, kCached, kChanges, kWatchFailed };
enum class Outcome {
  kServed,
  kError,
  kRejected,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotSent,
  kOutOfConnections,  // turned away for want of connections: neither a limit nor an outage
  kLocalShortage  // this relay could not send it just now, for want of a socket or of room on its disk: it is
                  // no try
};

struct ListedEndpoint {
  EndpointId endpoint{};
  int zone{};
  int kind{};
  DestinationId destination{};
  EndpointStatus status{};
  double listed_rate{};
  std::uint32_t
      name_hash{};  // the endpoint's name to every courier alike; 0: it has none, and notes pass it over
};

struct ListUpdate {
  ListScope scope{};
  std::vector<ListedEndpoint> entries;
  bool from_discovery =
      true;  // else from another source (operators, DNS), which says nothing of the list's age
};

// The watch has brought a line that names no change: the list is still current.
struct ListConfirmed {};
// Discovery is somewhere else now, and its watch has to be opened there.
struct DiscoveryMoved {};

struct NewRequest {
  RequestId request_id{};
  int request_class{};
  std::optional<int> tenant;
  std::string key;
  Seconds remaining_time{};  // time left until it is given up
  DestinationId destination{};
};

// A message that this courier's process held when it ended, handed back to its successor. A call that was
// out then may have run: such a message goes on only as its class allows, and its attempts still count.
struct EarlierAttempt {
  EndpointId endpoint{};
  int zone{};
  Seconds age{};  // since it was sent
  bool may_have_run{};
};
struct RecoveredRequest {
  NewRequest request;
  std::vector<EarlierAttempt> attempts;
};

struct LoadReport {
  std::optional<double> remaining_share;
  std::optional<double> calls_per_second;  // 0: no limit
};

struct AttemptOutcome {
  RequestId request_id{};
  int attempt{};
  EndpointId endpoint{};
  Outcome outcome{};
  Seconds duration{};
  Seconds retry_after{};  // told by a refusal; 0: none
  bool request_ended{};   // the message has ended, by this or before
  LoadReport load_report;
};

struct ResponseStarted {  // streamed classes: the attempt now belongs to the client
  RequestId request_id{};
  int attempt{};
};

struct HealthCheckOutcome {
  EndpointId endpoint{};
  Outcome outcome{};
  Seconds duration{};
  LoadReport load_report;
};

struct RequestAborted {
  RequestId request_id{};
};
struct GossipReceived {
  int from{};
  std::string payload;
};
struct TimerFired {
  std::uint64_t timer_id{};
};
// How many couriers share limits and cold budgets by now, in place of Settings::couriers: those that are
// there. 1 or more; more than the tier has where this one is to hold back.
struct FleetSize {
  double share_count = 1;
};
// What all couriers make of a zone together: this share of the ordinary sends goes there, from 0 to 1, where
// a destination has endpoints elsewhere. With 0 nothing goes there but a scout's trials; above 0 again all of
// the zone starts slowly.
struct ZoneTrafficShare {
  int zone{};
  double traffic_share = 1;
  bool is_health_check_relay = false;
};
struct ShutdownStarted {  // the process ends in so long: only what can come back before is still sent
  Seconds time_left{};
};
struct BatchEnd {};

// What a courier believes of a lane (a destination, or one endpoint where routes are apart), for another that
// knows nothing yet. Ages are those of the observations themselves, however often a belief was passed on.
struct RouteState {
  DestinationId destination{};
  EndpointId endpoint{};                          // of a route apart; 0: the destination as a whole
  Seconds retry_after{};                          // told and not over: the rest of it; 0: none
  std::optional<Seconds> failure_age{};           // failing or shut: age of the latest bad outcome
  std::optional<Seconds> recovery_age{};          // starts slowly after an outage: since when
  std::optional<Seconds> success_age{};           // age of the latest served call
  std::optional<Seconds> rejection_age{};         // age of the refusal that cut ...
  double send_rate{};                             // ... what a courier sends, in calls a second
  std::optional<Seconds> latency_age{};           // age of ...
  Seconds latency{};                              // ... the usual time of a call
  std::optional<Seconds> hedging_disabled_age{};  // no copies: age of the refusal that barred them
};
// Beliefs of others, judged by their ages. They add care and never daring: a wait grows no shorter, no doubt
// or slow start ends sooner, and nothing is sent that would not be sent without them.
struct TransferredState {
  std::vector<RouteState> routes;
};

using Event =
    std::variant<ListUpdate, ListConfirmed, DiscoveryMoved, NewRequest, RecoveredRequest, AttemptOutcome,
                 ResponseStarted, HealthCheckOutcome, RequestAborted, GossipReceived, TransferredState,
                 FleetSize, ZoneTrafficShare, TimerFired, ShutdownStarted, BatchEnd>;

// ---- actions -------------------------------------------------------------------------------

struct Send {
  RequestId request_id{};
  EndpointId endpoint{};
  Seconds timeout_at{};  // 0: until the client gives up
  // Danger: a repeat whose connection comes up late may find the window of its key over. Its first byte
  // leaves before this or never; infinite: whenever.
  Seconds send_deadline = std::numeric_limits<Seconds>::infinity();
};
struct Reject {
  RequestId request_id{};
  Seconds retry_after{};  // 0: no advice
};
struct Fail {
  RequestId request_id{};
};
struct CancelAttempt {
  RequestId request_id{};
  int attempt{};
};
struct HealthCheck {
  EndpointId endpoint{};
};
struct SetTimer {
  Seconds due{};
  std::uint64_t timer_id{};
};
// Opens a watch on the list. One that is open or being opened goes on until another one has brought the list.
struct WatchEndpointList {
  bool enabled{};
};
struct CloseIdleConnections {
  EndpointId endpoint{};
};
struct SendGossip {
  std::optional<int> peer;  // none: all of them
  std::string payload;
};
struct Log {
  std::string text;
};

using Action = std::variant<Send, Reject, Fail, CancelAttempt, HealthCheck, SetTimer, WatchEndpointList,
                            CloseIdleConnections, SendGossip, Log>;

// ---- the courier ---------------------------------------------------------------------------

class RequestRouter {
 public:
  explicit RequestRouter(const Settings& settings);
  ~RequestRouter();
  RequestRouter(RequestRouter&&) noexcept;
  RequestRouter& operator=(RequestRouter&&) noexcept;
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  // Takes one event at the time `now` and appends what is to be done, in order.
  void Handle(Seconds now, const Event& event, std::vector<Action>& actions);

  // Whether a send that has waited for its connection may still leave: no told wait and no drain came since.
  bool MaySend(Seconds now, EndpointId endpoint) const;

  // What is believed of up to `most` destinations, from the number `from` on; `from` is then where to go on,
  // or nothing after the last.
  std::vector<RouteState> ExportRouteStates(Seconds now, std::optional<DestinationId>& from, int most) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace opalroute
