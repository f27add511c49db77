#include "relay/zones_page.h"

#include <algorithm>

namespace opalroute {

namespace {

using membership::MemberState;
using nlohmann::ordered_json;
using zone_failover::ZoneFailover;

int CountMembers(Seconds now, const membership::Membership& membership, MemberState state) {
  int count = 0;
  for (membership::Peer peer = 0; peer < membership.options().fleet_size; ++peer) {
    count += membership.StateOf(now, peer) == state ? 1 : 0;
  }
  return count;
}

ordered_json MembershipJson(Seconds now, const membership::Membership& membership,
                            const GossipTraffic& traffic) {
  return {{"relays", membership.options().fleet_size},
          {"live", CountMembers(now, membership, MemberState::kAlive)},
          {"suspected", CountMembers(now, membership, MemberState::kSuspect)},
          {"unheard", CountMembers(now, membership, MemberState::kUnknown)},
          {"gone", CountMembers(now, membership, MemberState::kDead)},
          {"parts", membership.ShareCount(now)},
          {"settled", membership.IsSettled(now)},
          {"restarts_seen", membership.restarts()},
          {"notes_sent", traffic.messages_sent},
          {"note_bytes_sent", traffic.bytes_sent}};
}

ordered_json ZoneJson(Seconds now, int zone, const std::string& name, const ZoneFailover& failover) {
  const zone_failover::EvacuationState& state = failover.StateOf(zone);
  const zone_failover::ZoneView view = failover.ViewOf(now, zone);
  const zone_failover::TrafficDirective directive = failover.DirectiveFor(now, zone);
  const zone_failover::OverrideKind override_kind = failover.ActiveOverride(now, zone);
  const zone_failover::OperatorOverride& latest = failover.OverrideOf(zone);
  const bool has_override = override_kind != zone_failover::OverrideKind::kNone;
  return {{"zone", name},
          {"stage", zone_failover::NameOf(state.phase)},
          {"for_s", std::max(0.0, now - state.since)},
          {"round", state.round},
          {"relapses", state.relapses},
          {"share", directive.traffic_share},
          {"scout", directive.is_health_check_relay},
          {"accusers", view.failure_reporters},
          {"vouchers", view.success_reporters},
          {"partners_failing", view.failed_destinations},
          {"partners", view.destinations},
          {"why", zone_failover::NameOf(view.fault)},
          {"order", zone_failover::NameOf(override_kind)},
          {"order_left_s", has_override ? latest.expires_at - now : 0.0},
          {"order_told_to", latest.issued_by}};
}

}  // namespace

ordered_json ZonesPage(Seconds now, const std::string& relay_name, const std::vector<std::string>& zone_names,
                       const ZoneFailover& failover, const GossipTraffic& traffic) {
  ordered_json page = {{"relay", relay_name},
                       {"tier", MembershipJson(now, failover.membership(), traffic)},
                       {"zones", ordered_json::array()}};
  for (int zone = 0; zone < failover.zones(); ++zone) {
    page["zones"].push_back(ZoneJson(now, zone, zone_names[static_cast<std::size_t>(zone)], failover));
  }
  return page;
}

}  // namespace opalroute
