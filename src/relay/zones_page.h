// The admin page GET /zones: membership and the state of each zone, as seen by this relay. The JSON keys are
// fixed by docs/operate/zones.md, so they differ from the terms used in the code.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "opalroute/types.h"
#include "zone_failover/zone_failover.h"

namespace opalroute {

// Counts the datagrams of membership and zone failover sent by this process.
struct GossipTraffic {
  long messages_sent = 0;
  long bytes_sent = 0;
};

// `zone_names` holds the name of each zone, by zone index.
nlohmann::ordered_json ZonesPage(Seconds now, const std::string& relay_name,
                                 const std::vector<std::string>& zone_names,
                                 const zone_failover::ZoneFailover& failover, const GossipTraffic& traffic);

}  // namespace opalroute
