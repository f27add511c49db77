#include "zone_failover/gossip_composer.h"

#include <algorithm>

namespace opalroute::zone_failover {

namespace {

ZoneReport MakeZoneReport(Seconds now, const ZoneObservation& observation) {
  ZoneReport report;
  report.succeeded = observation.succeeded;
  report.failed = observation.failed;
  report.observed = observation.observed;
  report.success_age = std::min(ZoneReport::kMaxAge, now - observation.success_at);
  report.failure_age = std::min(ZoneReport::kMaxAge, now - observation.failure_at);
  report.fault = observation.fault;
  return report;
}

}  // namespace

Report MakeReport(Seconds now, const ZoneHealthObserver& observer) {
  Report report;
  for (int zone = 0; zone < observer.zones(); ++zone) {
    report.push_back(MakeZoneReport(now, observer.Observe(now, zone)));
  }
  return report;
}

std::vector<EvacuationState> StatesWithAges(Seconds now, const ZoneEvacuation& evacuation) {
  std::vector<EvacuationState> states;
  for (int zone = 0; zone < evacuation.zones(); ++zone) {
    states.push_back(evacuation.StateOf(zone));
    states.back().since = now - states.back().since;
  }
  return states;
}

void AppendDatagrams(const std::vector<membership::OutgoingMessage>& messages,
                     const std::string& zone_payload, std::size_t max_bytes,
                     std::vector<OutgoingDatagram>& out) {
  for (const membership::OutgoingMessage& outgoing : messages) {
    membership::Message message = outgoing.message;
    message.zone_payload = zone_payload;
    out.push_back({outgoing.to, EncodeMessage(message, max_bytes)});
  }
}

}  // namespace opalroute::zone_failover
