// Simulates calls of a fleet's relays to destinations in all zones. The test decides the outcome of each
// call.
#pragma once

#include <functional>
#include <map>

#include "tests/membership/simulated_fleet.h"

namespace opalroute {

constexpr int kZones = 3;
constexpr int kDestinations = 12;  // each has an endpoint in every zone

// Options of a fleet of `fleet_size` relays and kZones zones.
zone_failover::FailoverOptions FailoverOptionsFor(int fleet_size);

struct CallResult {
  Outcome outcome = Outcome::kServed;
  Seconds duration = 0.2;  // with kTimeout: the time after which the relay gives up
};

// A call that ends in `outcome`: a timeout after 3 s, anything else after 20 ms.
CallResult FailedCall(Outcome outcome);

// Each relay calls random endpoints, as often as its traffic shares allow.
class SimulatedCalls {
 public:
  using Response = std::function<CallResult(int relay, int destination, int zone)>;

  // `rate`: calls per second and relay, before traffic shares are applied.
  SimulatedCalls(SimulatedFleet& fleet, double rate, Response response);
  void RunUntil(Seconds until);

  std::map<int, long> calls_by_zone;

 private:
  struct InFlight {
    int relay;
    int destination;
    int zone;
    zone_failover::ZoneFailover* caller;  // the process that made the call
    CallResult result;
  };

  static EndpointId EndpointOf(int destination, int zone);
  void Step();
  void EndDueCalls();
  void Call(int relay);

  SimulatedFleet& fleet_;
  const double rate_;
  const Response response_;
  std::multimap<Seconds, InFlight> in_flight_;  // by the time at which the call ends
};

// Number of relays that are up and have the zone in `phase`.
int CountInPhase(SimulatedFleet& fleet, int zone, zone_failover::EvacuationPhase phase);

}  // namespace opalroute
