// What is the same for a call that reaches its partner in simulated time and on sockets.
#pragma once

#include <algorithm>

#include "decision/outcome.h"
#include "lab/auditor.h"
#include "lab/tally.h"
#include "lab/world.h"

namespace opalroute::lab {

// What becomes of a call whose last byte has come, with what auditor and tally have to know of it: its
// machine is asked, and then the limit that it shares with others.
inline LaneModel::Verdict TakeCall(World& world, Auditor& auditor, Tally& tally, Seconds now, int relay,
                                   const PartnerEndpoint& endpoint) {
  const auto take = [&](std::uint32_t number) {
    LaneModel& lane = world.route(number);
    const bool cold = lane.ColdAt(now) && !lane.collapsed();
    const LaneModel::Verdict verdict = lane.Take(now);
    if (cold) auditor.ReachedCold(now, relay, number, verdict.fell_over);
    if (verdict.fell_over) ++tally.result().collapses;
    if (verdict.fate == LaneModel::Fate::kFull) tally.CountRejectedCall(now);
    return verdict;
  };
  const LaneModel::Verdict machine = take(endpoint.machine_route);
  if (endpoint.machine_route == endpoint.route || machine.fate != LaneModel::Fate::kServed) return machine;
  LaneModel::Verdict verdict = take(endpoint.route);
  if (verdict.fate == LaneModel::Fate::kServed) verdict.takes = std::max(verdict.takes, machine.takes);
  return verdict;
}

}  // namespace opalroute::lab
