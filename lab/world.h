// The partners of a scenario, drawn from a seed: who they are, what they take, and what befalls them. The
// same for sockets and for simulated time.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "lab/lane_model.h"
#include "lab/scenario.h"

namespace opalroute::lab {

struct PartnerEndpoint {
  EndpointId id = 0;
  DestinationId destination = 0;
  int zone = 0, kind = 0;
  double rating = 0;
  std::uint32_t lane = 0;  // in World::lanes: its limit
  std::uint32_t machine =
      0;                // there too: what goes out and comes back; where nothing strikes it alone, `lane`
  int connections = 0;  // that it takes from all relays; 0: no limit
};

struct WorldPartner {
  DestinationId id = 0;
  double share = 0;  // of the load
  bool apart = false;
  double limit = 0;  // of all its lanes
  std::vector<EndpointId> endpoints;
};

class World {
 public:
  static constexpr Seconds kDrainLasts = 5;  // from 'draining' until the machine has gone

  World(const Scenario& scenario, std::uint64_t seed);

  const Scenario& scenario() const { return scenario_; }
  std::vector<WorldPartner>& partners() { return partners_; }
  const std::vector<WorldPartner>& partners() const { return partners_; }
  const PartnerEndpoint& endpoint(EndpointId id) const { return endpoints_[id - 1]; }  // ids count from 1
  std::size_t endpoint_count() const { return endpoints_.size(); }
  RouteModel& lane(std::uint32_t index) { return *lanes_[index]; }

  // The one whose load is worth a look: the busiest that a trouble strikes, else the busiest.
  int WatchedPartner() const;
  // Calls that the partner can do at that moment, a second, over all its lanes.
  double CapacityOf(std::size_t partner, Seconds now) const;

  // What such a change does to the list as it stands. `draw`: from 0 to 1.
  struct ListChange {
    EndpointId endpoint = 0;
    EndpointStatus listing{};
  };
  std::vector<ListChange> Change(const PoolChange& change,
                                 const std::function<EndpointStatus(EndpointId)>& listing_of,
                                 const std::function<double()>& draw);

  // Another machine takes the endpoint's place, under a new id; the lane of a shared limit stays.
  EndpointId Replace(EndpointId old);

 private:
  RouteSettings LaneOf(double load, double limit);
  // Of that zone alone, or with -1 of what strikes all zones.
  std::vector<RouteFault> OutagesOf(std::size_t partner, int zone) const;
  std::uint32_t AddLane(const RouteSettings& settings, std::vector<RouteFault> outages);
  EndpointId AddEndpoint(PartnerEndpoint endpoint);
  double Draw(const Range& range) { return DrawFrom(range, random_); }
  double Unit() { return DrawUnit(random_); }

  const Scenario scenario_;
  pcg32 random_;
  std::vector<WorldPartner> partners_;
  std::vector<PartnerEndpoint> endpoints_;
  std::vector<std::unique_ptr<RouteModel>> lanes_;
  std::vector<std::vector<bool>> struck_by_;  // by trouble, by partner
};

}  // namespace opalroute::lab
