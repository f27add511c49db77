// The share of requests that each zone may get, as the fleet has decided it.
#pragma once

#include <map>

#include "decision/context.h"
#include "decision/upstream.h"
#include "opalroute/events.h"

namespace opalroute::decision {

// Owns the shares, by zone.
class ZoneTraffic {
 public:
  explicit ZoneTraffic(DecisionContext& context);

  // Stores the zone's share and returns the one before, 0 to 1.
  double Exchange(const ZoneTrafficShare& share);
  bool IsEvacuated(int zone) const { return Share(zone).traffic_share <= 0; }
  // Whether a call to the endpoint has to go to another zone of its destination. Draws where the zone gets a
  // part. Never the last zone: only where an endpoint of a zone with a greater share seems to serve.
  bool IsDiverted(const Destination& destination, const Endpoint& endpoint);
  // The number of relays that send recovery trials to the zone.
  double TryingRelays(int zone) const;

 private:
  ZoneTrafficShare Share(int zone) const;

  DecisionContext& context_;
  std::map<int, ZoneTrafficShare> shares_;  // none: all of it
};

}  // namespace opalroute::decision
