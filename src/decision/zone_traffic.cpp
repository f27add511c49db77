#include "decision/zone_traffic.h"

#include <algorithm>
#include <utility>

namespace opalroute::decision {
namespace {

constexpr double kHealthCheckRelays = 3;  // relays that send recovery trials to an evacuated zone

}  // namespace

ZoneTraffic::ZoneTraffic(DecisionContext& context) : context_(context) {}

double ZoneTraffic::SetShare(const ZoneTrafficShare& share) {
  return std::exchange(shares_[share.zone], share).traffic_share;
}

ZoneTrafficShare ZoneTraffic::Share(std::optional<ZoneId> zone) const {
  if (!zone) return {};
  const auto it = shares_.find(*zone);
  return it == shares_.end() ? ZoneTrafficShare{} : it->second;
}

bool ZoneTraffic::IsDiverted(const Destination& destination, const Endpoint& endpoint) {
  const ZoneTrafficShare own = Share(endpoint.zone);
  if (own.is_health_check_relay || own.traffic_share >= 1) return false;
  if (own.traffic_share > 0 && context_.random.Uniform() < own.traffic_share) return false;
  return std::any_of(destination.endpoints.begin(), destination.endpoints.end(), [&](const Endpoint* other) {
    return other->IsInService() && !other->NeedsTrial() && other->zone &&
           Share(other->zone).traffic_share > own.traffic_share;
  });
}

double ZoneTraffic::RelaysSendingTrials(std::optional<ZoneId> zone) const {
  const double relays = context_.share_count;
  return Share(zone).is_health_check_relay ? std::min(kHealthCheckRelays, relays) : relays;
}

}  // namespace opalroute::decision
