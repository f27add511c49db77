// Upstream routes, endpoints and destinations, put together from the parts that own their state.
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
#include "opalroute/events.h"

namespace opalroute::decision {

// What one rate limit, one Retry-After and one outage apply to: a destination, or one endpoint where the
// settings say so.
struct UpstreamRoute {
  RateLimiter rate_limiter;
  RouteHealth health;
};

// One endpoint of the list, with what this relay has learnt of it.
struct Endpoint : ListedEndpoint {
  UpstreamRoute* route = nullptr;  // the destination's or its own
  UpstreamRoute own_route;
  CircuitBreaker circuit;
  LatencyAverage latency;
  std::multiset<Seconds> in_flight;  // send times of calls
  Seconds last_served = -kNever;
  Seconds out_of_connections_at = -kNever;
  bool untried = true;
  bool latest_in_objective = true;  // the latest outcome was served within the latency objective
  bool health_check_in_flight = false;

  bool HasOwnRoute() const { return route == &own_route; }
  std::uint32_t RouteNameHash() const { return HasOwnRoute() ? name_hash : 0; }
  EndpointId RouteEndpoint() const { return HasOwnRoute() ? endpoint : 0; }
  bool IsInService() const { return status == EndpointStatus::kInService; }
  // Whether a call there is a recovery trial.
  bool NeedsTrial() const { return circuit.IsOpen() || route->health.IsSuspectedOut(); }
  bool IsOutlier() const { return !circuit.IsClosed() || !latest_in_objective; }
  bool LooksIdle() const { return in_flight.empty() && (untried || latest_in_objective); }
  // The latest outcome of a call; false: late, rejected or failed.
  void SetLatestInObjective(bool in_objective);
};

// The endpoints that serve the same requests, and what waits for them.
struct Destination {
  DestinationId id = 0;
  std::vector<Endpoint*> endpoints;  // ordered by id
  UpstreamRoute route;
  LatencyAverage latency;
  LoadBalancer load_balancer;
  HedgingBudget hedging;
  std::map<BucketKey, RequestLine> waiting;  // by the time of receipt
  int waiting_count = 0;
  int sheddable_count = 0;  // of the waiting ones
  int requests_held = 0;
  int calls_in_flight = 0;
  std::uint64_t latest_call = 0;
};

}  // namespace opalroute::decision
