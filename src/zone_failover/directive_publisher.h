// Tells the request router what follows from membership and zone failover: the share count that quotas are
// divided by and the traffic share of each zone. Only changes are published. Without I/O.
#pragma once

#include <vector>

#include "opalroute/events.h"
#include "zone_failover/failover_options.h"

namespace opalroute::zone_failover {

class DirectivePublisher {
 public:
  explicit DirectivePublisher(const FailoverOptions& options);

  // Appends FleetSize if the share count has changed, and ZoneTrafficShare for each zone with a new
  // directive.
  void Publish(Seconds now, double share_count, const ZoneEvacuation& evacuation,
               std::vector<opalroute::Event>& events);

 private:
  void PublishShareCount(Seconds now, double share_count, std::vector<opalroute::Event>& events);

  const Seconds share_growth_interval_;
  std::vector<TrafficDirective> directives_;  // as published, by zone
  double share_count_;                        // as published
  Seconds share_count_at_ = kLongAgo;
};

}  // namespace opalroute::zone_failover
