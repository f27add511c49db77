// Keeps the health of upstream routes for the next process of this relay, and writes its changes to the log.
#pragma once

#include "config/config.h"
#include "hot_restart/route_health_file.h"
#include "journal/persistent_clock.h"
#include "log/line_limiter.h"
#include "metrics/counters.h"
#include "opalroute/request_router.h"
#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"

namespace opalroute {

class RouteHealthLog {
 public:
  // Throws std::system_error if the state folder can't be used.
  RouteHealthLog(const Config& config, const PersistentClock& clock, const EndpointTable& endpoints,
                 DecisionLoop& decisions, Counters& counters, int own_process_slot, int other_process_slot);

  // Saves a change before anything that follows from it, and logs it.
  void Record(const RouteHealthChanged& change);
  // Posts what is saved of routes that were not serving. To be called again when the endpoint list has
  // changed; the router takes it over only for routes that it has not observed.
  void Recover();

 private:
  void Save(const RouteHealthChanged& change);
  void WriteLogLine(const RouteHealthChanged& change);

  const PersistentClock& clock_;
  const EndpointTable& endpoints_;
  DecisionLoop& decisions_;
  Counters& counters_;
  hot_restart::RouteHealthFile file_;
  // A fleet that loses a zone changes the health of many routes at once.
  log::LineLimiter line_limiter_;
};

}  // namespace opalroute
