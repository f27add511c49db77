// Settings of the decision library: the deployment's request classes, tenants, limits and rules. Constant
// during the lifetime of a RequestRouter.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "opalroute/types.h"

namespace opalroute {

// The effect of sending a request to an endpoint more than once.
enum class Idempotency {
  kIdempotent,      // none: it may be sent again at any time
  kIdempotencyKey,  // none within the deduplication window and scope of its key
  kNonIdempotent,   // duplicated: never sent again once an attempt may have run
};

// The endpoints among which a repeated idempotency key is recognised.
enum class DeduplicationScope {
  kAll,          // all endpoints; a request may then be rejected even after an attempt that may have run
  kDestination,  // the endpoints of the destination
  kZone,         // the endpoints in the zone of the first attempt
};

// How a request's priority weight declines between its latency objective and its deadline.
enum class LateDecay {
  kLinear,   // linearly, down to the weight at the deadline
  kHalving,  // by half for each further latency objective, but not below the weight at the deadline
};

// How closely the rates in the endpoint list match the actual rate limits.
enum class ListedRateAccuracy { kNone, kExact, kRough };

struct RequestClass {
  Idempotency idempotency{};
  DeduplicationScope deduplication_scope{};  // with kIdempotencyKey
  Seconds deduplication_window{};            // with kIdempotencyKey: how long a key is recognised
  Seconds latency_objective{};               // since receipt; full weight until then
  Seconds deadline{};                        // since receipt; no weight from then on
  double weight_at_deadline{};               // fraction of the priority weight left at the deadline, 0 to 1
  double priority_weight{};
  bool ordered_by_key{};  // requests of one key are sent one at a time, in the order of receipt
};

struct Tenant {
  double quota{};  // requests per second over all relays; excess requests get a lower priority weight
};

struct EndpointKind {
  bool limits_per_endpoint{};  // each endpoint has a rate limit and outages of its own
  int max_batch = 1;           // maximum number of requests in a call
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  std::vector<EndpointKind> kinds;
  int relay_count{};        // in the fleet, including this one; 1 or more
  int concurrency_limit{};  // maximum number of calls in flight
  int request_capacity{};   // maximum number of requests held
  int max_attempts{};       // per request
  bool may_cancel{};
  bool may_hedge{};
  bool may_health_check{};
  bool may_send_retry_after{};  // a rejection may carry a Retry-After
  bool may_gossip{};
  bool poll_endpoint_list{};  // changes to the list are not pushed, so it has to be polled
  LateDecay late_decay{};
  ListedRateAccuracy listed_rate_accuracy{};
  double over_quota_weight{};  // factor on the priority weight of requests above their tenant's quota
  Seconds max_retry_after{};   // the longest Retry-After that clients comply with
  Seconds tick{};              // batches end at multiples of this
  // A relay that has not polled the list for this long counts as notified of every change; 0: no such rule.
  Seconds max_poll_interval{};
  // A change to the endpoint list takes effect this long after discovery got it, even if the relay has not
  // received it.
  Seconds list_notification_time = 6;
  // The same, after discovery has moved to another address.
  Seconds list_notification_time_after_move = 4;
  // A watch delivers a line at least this often; 0: no heartbeat, as the end of a watch is always reported.
  Seconds list_heartbeat = 0;
  // How long after the notification that an endpoint drains or is removed it may still get new calls.
  Seconds drain_grace = 2;
  // In any overload window, a recovering destination must get no more calls than
  // overload_factor * current capacity * overload_window.
  Seconds overload_window{};
  double overload_factor{};
  double slow_start_initial_share{};  // of the capacity, at the end of an outage
  Seconds slow_start_duration{};      // until the full capacity is available
  // How long an ordering key pauses after an attempt that may still be running; empty: no pause.
  std::optional<Seconds> ordered_key_pause;
  std::uint64_t seed{};  // of the random numbers
};

// The kind with this index. For an unknown one, what holds for every kind: no limits of its own, and one
// request in a call.
inline EndpointKind KindOf(const Settings& settings, std::optional<KindId> kind) {
  return kind ? settings.kinds[static_cast<std::size_t>(*kind)] : EndpointKind{};
}

}  // namespace opalroute
