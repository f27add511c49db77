// Settings of the decisions: the deployment's request classes, tenants, limits and rules. Constant for the
// life of a RequestRouter.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "opalroute/types.h"

namespace opalroute {

// What a repeated request does at an endpoint.
enum class Idempotency {
  kIdempotent,      // no harm: it may be sent again at any time
  kIdempotencyKey,  // no harm inside the deduplication window of its key and its scope
  kNonIdempotent,   // a second effect: never sent again once an attempt may have run
};

// The endpoints that recognise a repeated idempotency key.
enum class DeduplicationScope {
  kAll,          // all; such a request may also be rejected after an attempt that may have run
  kDestination,  // those of the destination
  kZone,         // those in the zone of the first attempt
};

// How a request's priority weight falls between its latency objective and its deadline.
enum class LateDecay {
  kLinear,   // evenly, to the weight at the deadline
  kHalving,  // by half with each further latency objective, and not under the weight at the deadline
};

// How well the rates in the endpoint list tell the rate limits.
enum class ListedRateAccuracy { kNone, kExact, kRough };

struct RequestClass {
  Idempotency idempotency{};
  DeduplicationScope deduplication_scope{};  // with kIdempotencyKey
  Seconds deduplication_window{};            // with kIdempotencyKey: how long a key is recognised
  Seconds latency_objective{};               // since it was handed in; full weight inside it
  Seconds deadline{};                        // since it was handed in; no weight after it
  double weight_at_deadline{};               // part of the priority weight left at the deadline, 0 to 1
  double priority_weight{};
  bool ordered_by_key{};  // requests of one key go one at a time, in the order in which they came
};

struct Tenant {
  double quota{};  // requests a second over all relays; those beyond it weigh less
};

struct EndpointKind {
  bool limits_per_endpoint{};  // each endpoint has a rate limit and outages of its own
  int max_batch{};             // requests that may share a call
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  std::vector<EndpointKind> kinds;
  int relay_count{};        // of the fleet, this one among them; 1 or more
  int concurrency_limit{};  // calls in flight at once
  int request_capacity{};   // requests held at once
  int max_attempts{};       // for one request
  bool may_cancel{};
  bool may_hedge{};
  bool may_health_check{};
  bool may_send_retry_after{};  // a rejection may say when to come back
  bool may_gossip{};
  bool poll_endpoint_list{};  // the list comes only when it is asked for
  LateDecay late_decay{};
  ListedRateAccuracy listed_rate_accuracy{};
  double over_quota_weight{};  // factor on the weight of requests above their tenant's quota
  Seconds max_retry_after{};   // the longest that clients keep to
  Seconds tick{};              // batches end on a grid of this
  // A relay that has not asked for the list for so long counts as notified of each change; 0: never.
  Seconds max_poll_interval{};
  // A change to the endpoint list binds so long after discovery had it, whether or not it has arrived.
  Seconds list_notification_time = 6;
  // The same after discovery has moved to another address.
  Seconds list_notification_time_after_move = 4;
  // A watch brings a line at least so often; 0: the end of a watch is always notified.
  Seconds list_heartbeat = 0;
  // From the notification that an endpoint drains or is removed to the last new call there.
  Seconds drain_grace = 2;
  // A recovering destination must not get more than factor x present capacity x window in any window.
  Seconds overload_window{};
  double overload_factor{};
  double slow_start_initial_share{};  // of capacity, right after an outage
  Seconds slow_start_duration{};      // until full capacity is back
  // Pause of an ordering key after an attempt that may still run; none: keys need no pause.
  std::optional<Seconds> ordered_key_pause;
  std::uint64_t seed{};  // of all random draws
};

}  // namespace opalroute
