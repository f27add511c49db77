// The page GET /zones of --admin-listen: membership and the state of each zone, as one relay sees them. The
// keys are fixed by docs/operate/zones.md and are mapped to the terms of the code here.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "opalroute/types.h"
#include "zone_failover/zone_failover.h"

namespace opalroute {

// Datagrams of membership and zone failover that this process has sent.
struct GossipTraffic {
  long messages_sent = 0;
  long bytes_sent = 0;
};

// `zone_names`: by zone.
nlohmann::ordered_json ZonesPage(Seconds now, const std::string& relay_name,
                                 const std::vector<std::string>& zone_names,
                                 const zone_failover::ZoneFailover& failover, const GossipTraffic& traffic);

}  // namespace opalroute
