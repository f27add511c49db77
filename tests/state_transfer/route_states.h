// Route states for the tests of state transfer.
#pragma once

#include <string>
#include <vector>

#include "state_transfer/codec.h"

namespace opalroute::state_transfer {

inline NamedRouteState FailingRoute(DestinationId destination, Seconds age) {
  NamedRouteState route;
  route.state.destination = destination;
  route.state.failure_age = age;
  return route;
}

inline NamedRouteState RouteWithRetryAfter(DestinationId destination, Seconds remaining) {
  NamedRouteState route;
  route.state.destination = destination;
  route.state.retry_after = remaining;
  return route;
}

inline std::vector<NamedRouteState> SomeRoutes(int count) {
  std::vector<NamedRouteState> routes;
  for (int i = 0; i < count; ++i) {
    NamedRouteState route = FailingRoute(i, i % 7);
    if (i % 3 == 0) route.endpoint = "s-" + std::to_string(i);
    route.state.retry_after = i % 5;
    route.state.success_age = i;
    route.state.latency_age = 1;
    route.state.latency = 0.25;
    routes.push_back(route);
  }
  return routes;
}

}  // namespace opalroute::state_transfer
