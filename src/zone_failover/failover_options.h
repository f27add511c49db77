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
  bool share_quotas = true;    // quotas are divided by membership's share count, not by the fleet's size
  bool evacuate_zones = true;  // the fleet evacuates failing zones
  // Upper bound of a report's random delay. The report is suppressed if other relays have reported enough by
  // the end of the delay.
  Seconds report_delay = 0.15;
  // A relay need not report its new state of a zone once it has received this many messages with that state.
  int sufficient_confirmations = 3;
  double reports_per_second = 20;          // of the whole fleet, on average
  double urgent_reports_per_second = 0.2;  // of each relay, in addition, when a decision on a zone is near
  // A relay's share of the quotas grows only this long after the last change. It falls without delay.
  Seconds share_growth_interval = 0.5;
  Seconds join_timeout = 0.3;  // a new process waits at most this long for the first ack
};

}  // namespace opalroute::zone_failover
