// The partners of a scenario, drawn from a seed: their endpoints, limits and faults. The same for runs on
// sockets and in simulated time.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "lab/route_model.h"
#include "lab/scenario.h"

namespace opalroute::lab {

struct PartnerEndpoint {
  EndpointId id = 0;
  DestinationId destination = 0;
  int zone = 0, kind = 0;
  double listed_rate = 0;
  std::uint32_t route = 0;  // index for World::route: the model with its limit
  // Index for World::route: the model with the outages of its own machine; equal to `route` unless the
  // endpoint has outages apart from those of a shared route.
  std::uint32_t machine_route = 0;
  int max_connections = 0;  // from all relays together; 0: no limit
};

struct PartnerInfo {
  DestinationId id = 0;
  double share = 0;              // of the load
  bool separate_routes = false;  // each endpoint is a route of its own
  double limit = 0;              // calls a second, over all its routes
  std::vector<EndpointId> endpoints;
};

class World {
 public:
  static constexpr Seconds kDrainDuration = 5;  // from the status kDraining until the machine is gone

  World(const Scenario& scenario, std::uint64_t seed);

  const Scenario& scenario() const { return scenario_; }
  std::vector<PartnerInfo>& partners() { return partners_; }
  const std::vector<PartnerInfo>& partners() const { return partners_; }
  const PartnerEndpoint& endpoint(EndpointId id) const { return endpoints_[id - 1]; }  // ids count from 1
  std::size_t endpoint_count() const { return endpoints_.size(); }
  RouteModel& route(std::uint32_t index) { return *routes_[index]; }

  // The partner whose load is recorded by second: the busiest that a fault affects, or else the busiest.
  int WatchedPartner() const;
  // The partner's capacity at that moment in calls a second, over all its routes.
  double CapacityOf(std::size_t partner, Seconds now) const;

  struct ListChange {
    EndpointId endpoint = 0;
    EndpointStatus status{};
  };
  // Returns what the change does to the endpoint list as it is. `draw` returns a number in [0, 1).
  std::vector<ListChange> ApplyChange(const EndpointChange& change,
                                      const std::function<EndpointStatus(EndpointId)>& status_of,
                                      const std::function<double()>& draw);

  // Another machine takes the endpoint's place under a new id. A shared route stays; a separate one is
  // replaced by a new one with the same settings and no outages.
  EndpointId Replace(EndpointId old);

 private:
  RouteSettings DrawRouteSettings(double load, double limit);
  // Outages in this zone only; -1: those that affect all zones.
  std::vector<RouteFault> OutagesOf(std::size_t partner, int zone) const;
  std::uint32_t AddRoute(const RouteSettings& settings, std::vector<RouteFault> outages);
  EndpointId AddEndpoint(PartnerEndpoint endpoint);
  double Draw(const Range& range) { return DrawFrom(range, random_); }
  double Uniform() { return DrawUniform(random_); }

  const Scenario scenario_;
  pcg32 random_;
  std::vector<PartnerInfo> partners_;
  std::vector<PartnerEndpoint> endpoints_;
  std::vector<std::unique_ptr<RouteModel>> routes_;
  std::vector<std::vector<bool>> affected_;  // by fault, by partner
};

}  // namespace opalroute::lab
