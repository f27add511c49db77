// Options of a relay's zone failover and of its modules.
#pragma once

#include "membership/membership.h"
#include "zone_failover/zone_consensus.h"
#include "zone_failover/zone_evacuation.h"
#include "zone_failover/zone_health_observer.h"

namespace opalroute::zone_failover {

struct FailoverOptions {
  membership::Options membership;
  ZoneHealthObserver::Options observer;
  ZoneConsensus::Options consensus;
  EvacuationOptions evacuation;
  int zones = 1;
  bool share_quotas = true;     // quotas are divided by the share count of the membership
  bool evacuate_zones = true;   // the fleet evacuates failing zones
  Seconds report_delay = 0.15;  // a report waits up to this, and is suppressed if others have reported enough
  int state_repeats = 3;        // a new state is not reported once so many others have gossiped it
  double reports_per_second = 20;          // of the whole fleet, on average
  double urgent_reports_per_second = 0.2;  // of each relay, in addition, while a zone may be about to fail
  Seconds share_growth_interval = 0.5;     // the own share of quotas grows no more often; it falls at once
  Seconds join_timeout = 0.3;              // a process that starts waits so long for the first ack
};

}  // namespace opalroute::zone_failover
