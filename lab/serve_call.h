// How an endpoint handles a call, shared by the simulation and by the runs over sockets.
#pragma once

#include <algorithm>

#include "decision/outcome.h"
#include "lab/auditor.h"
#include "lab/tally.h"
#include "lab/world.h"

namespace opalroute::lab {

// Handles a call whose last byte has arrived, and reports it to the auditor and the tally: first by the
// endpoint's own machine, then, if that served it, by the route whose limit the endpoint shares. The longer
// of the two response times counts.
inline RouteModel::CallResult ServeCall(World& world, Auditor& auditor, Tally& tally, Seconds now, int relay,
                                        const PartnerEndpoint& endpoint) {
  const auto handle = [&](std::uint32_t number) {
    RouteModel& route = world.route(number);
    const bool recovering = route.IsRecovering(now) && !route.collapsed();
    const RouteModel::CallResult result = route.HandleCall(now);
    if (recovering)
      auditor.OnCallDuringRecovery(now, relay, number, *route.LastOutageStart(now), result.caused_collapse);
    if (result.caused_collapse) ++tally.result().collapses;
    if (result.status == RouteModel::CallStatus::kRejected) tally.CountRejectedCall(now);
    return result;
  };
  const RouteModel::CallResult machine = handle(endpoint.machine_route);
  if (endpoint.machine_route == endpoint.route || machine.status != RouteModel::CallStatus::kServed)
    return machine;
  RouteModel::CallResult result = handle(endpoint.route);
  if (result.status == RouteModel::CallStatus::kServed)
    result.duration = std::max(result.duration, machine.duration);
  return result;
}

}  // namespace opalroute::lab
