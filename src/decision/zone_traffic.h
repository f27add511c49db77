// The share of the traffic that each zone may get, as decided by the fleet.
#pragma once

#include <map>
#include <optional>

#include "decision/context.h"
#include "decision/upstream.h"
#include "opalroute/events.h"

namespace opalroute::decision {

// Owns the shares, by zone.
class ZoneTraffic {
 public:
  explicit ZoneTraffic(DecisionContext& context);

  // Sets the zone's share and returns the previous traffic share, 0 to 1.
  double SetShare(const ZoneTrafficShare& share);
  // An endpoint whose zone is unknown gets all of its traffic, and counts as in no other zone.
  bool IsEvacuated(std::optional<ZoneId> zone) const { return Share(zone).traffic_share <= 0; }
  // Whether a call has to go to another zone of the destination and not to this endpoint. Random if the zone
  // gets a share of the traffic. A call is diverted only if a zone with a greater share has an endpoint that
  // appears to serve, so the last zone of a destination stays in use.
  bool IsDiverted(const Destination& destination, const Endpoint& endpoint);
  // Number of relays that send recovery trials to the zone.
  double RelaysSendingTrials(std::optional<ZoneId> zone) const;

 private:
  ZoneTrafficShare Share(std::optional<ZoneId> zone) const;

  DecisionContext& context_;
  std::map<ZoneId, ZoneTrafficShare> shares_;  // a zone without an entry gets all of its traffic
};

}  // namespace opalroute::decision
