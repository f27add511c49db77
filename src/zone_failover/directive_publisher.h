// Publishes the outcome of membership and zone failover to the request router: the share count that quotas
// are divided by, and the traffic share of each zone. Only changes are published. Does no I/O.
#pragma once

#include <vector>

#include "opalroute/events.h"
#include "zone_failover/failover_options.h"

namespace opalroute::zone_failover {

class DirectivePublisher {
 public:
  explicit DirectivePublisher(const FailoverOptions& options);

  // Appends FleetSize if the share count has changed, and ZoneTrafficShare for each zone whose directive has
  // changed. A decrease of the share count is held back for `share_growth_interval` after the last change.
  void Publish(Seconds now, double share_count, const ZoneEvacuation& evacuation,
               std::vector<opalroute::Event>& events);

 private:
  void PublishShareCount(Seconds now, double share_count, std::vector<opalroute::Event>& events);

  const Seconds share_growth_interval_;
  std::vector<TrafficDirective> published_directives_;  // by zone
  double published_share_count_;
  Seconds share_count_published_at_ = kLongAgo;
};

}  // namespace opalroute::zone_failover
