// Upstream routes, endpoints and destinations. Each combines parts whose state other modules own.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "decision/circuit_breaker.h"
#include "decision/hedging.h"
#include "decision/latency_average.h"
#include "decision/load_balancer.h"
#include "decision/rate_limiter.h"
#include "decision/request.h"
#include "decision/route_health.h"
#include "decision/route_health_reporter.h"
#include "opalroute/events.h"

namespace opalroute::decision {

// The scope of a rate limit, a Retry-After and an outage: a destination, or a single endpoint if
// EndpointKind::limits_per_endpoint is set.
struct UpstreamRoute {
  RateLimiter rate_limiter;
  RouteHealth health;
  ReportedHealth reported;
};

// An endpoint of the list, with this relay's observations of it.
struct Endpoint : ListedEndpoint {
  UpstreamRoute* route = nullptr;  // the destination's route or own_route
  UpstreamRoute own_route;
  CircuitBreaker circuit;
  LatencyAverage latency;
  std::multiset<Seconds> in_flight_send_times;  // of the calls in flight
  Seconds last_served = -kNever;
  Seconds out_of_connections_at = -kNever;
  bool untried = true;
  bool latest_within_objective = true;  // the latest call was served within the latency objective
  bool health_check_in_flight = false;
  bool reported_circuit_open = false;

  EndpointLocation Location() const { return {endpoint, zone}; }
  bool HasOwnRoute() const { return route == &own_route; }
  std::uint32_t RouteNameHash() const { return HasOwnRoute() ? name_hash : 0; }
  EndpointId RouteEndpoint() const { return HasOwnRoute() ? endpoint : 0; }
  bool IsInService() const { return status == EndpointStatus::kInService; }
  // Whether a call to the endpoint would be a recovery trial.
  bool NeedsTrial() const { return circuit.IsOpen() || route->health.IsSuspectedOut(); }
  bool IsOutlier() const { return !circuit.IsClosed() || !latest_within_objective; }
  bool LooksIdle() const { return in_flight_send_times.empty() && (untried || latest_within_objective); }
  // Records whether the latest call was served within the latency objective, not late, rejected or failed.
  void RecordOutcome(bool within_objective);
};

// A group of endpoints that serve the same requests, and the requests that wait for them.
struct Destination {
  DestinationId id = 0;
  std::vector<Endpoint*> endpoints;  // ordered by id
  UpstreamRoute route;
  LatencyAverage latency;
  LoadBalancer load_balancer;
  HedgingBudget hedging;
  std::map<BucketKey, RequestsByTime> waiting;  // ordered by time of receipt
  int waiting_count = 0;
  int sheddable_count = 0;  // waiting requests that may be shed
  int requests_held = 0;
  int calls_in_flight = 0;
  std::uint64_t latest_call = 0;
};

}  // namespace opalroute::decision
