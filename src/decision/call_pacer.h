// Determines when an endpoint may get its next call or health check, from Retry-After, backoff, rate limit,
// recovery trials and slow start.
#pragma once

#include "decision/context.h"
#include "decision/endpoint_health.h"
#include "decision/recovery_budget.h"
#include "decision/zone_traffic.h"

namespace opalroute::decision {

// Has no state of its own: combines the limits kept in routes and endpoints.
class CallPacer {
 public:
  CallPacer(DecisionContext& context, EndpointHealth& health, const RecoveryBudget& budget,
            const ZoneTraffic& zones);

  // How long until the endpoint may be called; 0: now. Schedules the next recovery trial if one is needed and
  // the scheduled one has lapsed.
  Seconds TimeUntilCall(Endpoint& endpoint);
  // Time between two recovery trials of this relay.
  Seconds TrialInterval(const Endpoint& endpoint) const;
  // Counts a call or a health check against all limits.
  void Charge(Endpoint& endpoint);

 private:
  Seconds TimeUntilTrial(Endpoint& endpoint, Seconds wait);
  double SlowStartRate(const Endpoint& endpoint) const;

  DecisionContext& context_;
  EndpointHealth& health_;
  const RecoveryBudget& budget_;
  const ZoneTraffic& zones_;
};

}  // namespace opalroute::decision
