// Calls of a simulated fleet's relays to destinations in all zones. The test says what each call meets.
#pragma once

#include <functional>
#include <map>

#include "tests/membership/simulated_fleet.h"

namespace opalroute {

constexpr int kZones = 3;
constexpr int kDestinations = 12;  // each has an endpoint in every zone

zone_failover::FailoverOptions OptionsFor(int fleet_size);

struct CallResult {
  Outcome outcome = Outcome::kServed;
  Seconds duration = 0.2;  // kTimeout: it hangs, and is given up after this
};

CallResult Failing(Outcome outcome);

// Each relay calls random endpoints, as its traffic shares allow.
class SimulatedCalls {
 public:
  using Response = std::function<CallResult(int relay, int destination, int zone)>;

  // `rate`: calls a second and relay.
  SimulatedCalls(SimulatedFleet& fleet, double rate, Response response);
  void RunUntil(Seconds until);

  std::map<int, long> calls_by_zone;

 private:
  struct InFlight {
    int relay;
    int destination;
    int zone;
    zone_failover::ZoneFailover* caller;  // the process that sent it
    CallResult result;
  };

  static EndpointId EndpointOf(int destination, int zone);
  void Step();
  void EndDueCalls();
  void Call(int relay);

  SimulatedFleet& fleet_;
  const double rate_;
  const Response response_;
  std::multimap<Seconds, InFlight> in_flight_;  // by time of the end
};

// Relays that are up and have the zone in that phase.
int CountInPhase(SimulatedFleet& fleet, int zone, zone_failover::EvacuationPhase phase);

}  // namespace opalroute
