#include "lab/fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace opalroute::lab {

zone_failover::FailoverOptions FailoverOptionsOf(const Scenario& s, int relay) {
  zone_failover::FailoverOptions options;
  options.membership.fleet_size = s.relays;
  options.membership.own_peer = relay;
  options.zones = static_cast<int>(s.zones.size());
  options.share_quotas = s.share_quotas;
  options.evacuate_zones = s.evacuate_zones;
  options.evacuation.slow_start_initial_share = s.settings.slow_start_initial_share;
  options.evacuation.slow_start_duration = s.settings.slow_start_duration;
  return options;
}

namespace {

const char* KindOf(const std::string& bytes) {
  const auto message = membership::DecodeMessage(bytes);
  if (!message) return "lanes";
  switch (message->kind) {
    case membership::MessageKind::kPing:
      return "ask";
    case membership::MessageKind::kJoin:
      return "hello";
    case membership::MessageKind::kAck:
      return "answer";
    case membership::MessageKind::kGossip:
      return "told";
    case membership::MessageKind::kLeave:
      break;
  }
  return "leaving";
}

}  // namespace

FleetSimulation::FleetSimulation(const Scenario& scenario, std::uint64_t seed, Host& host, Auditor& auditor,
                                 RunResult& result)
    : s_(scenario),
      host_(host),
      auditor_(auditor),
      result_(result),
      links_(scenario.links, seed),
      members_(static_cast<std::size_t>(scenario.relays)),
      saved_states_(static_cast<std::size_t>(scenario.relays)),
      oracle_shares_(scenario.zones.size(), 1) {}

void FleetSimulation::StartRelay(int relay) {
  if (!enabled()) return;
  const auto i = static_cast<std::size_t>(relay);
  const std::uint64_t incarnation = ++last_incarnation_;
  members_[i] = std::make_unique<zone_failover::ZoneFailover>(FailoverOptionsOf(s_, relay), incarnation,
                                                              incarnation * 7919 + i, host_.CurrentTime(),
                                                              saved_states_[i]);
  Tick(relay);
}

void FleetSimulation::StopRelay(int relay, bool forgets) {
  const auto i = static_cast<std::size_t>(relay);
  if (!members_[i]) return;
  saved_states_[i] =
      forgets ? zone_failover::ZoneFailover::SavedState() : members_[i]->Save(host_.CurrentTime());
  members_[i].reset();
  auditor_.OnShareReleased(host_.CurrentTime(), relay);
}

void FleetSimulation::AnnounceLeave(int relay) {
  zone_failover::ZoneFailover::Actions actions;
  if (!members_[static_cast<std::size_t>(relay)]) return;
  members_[static_cast<std::size_t>(relay)]->AnnounceLeave(actions);
  PerformActions(relay, actions);
}

void FleetSimulation::Tick(int relay) {
  zone_failover::ZoneFailover::Actions actions;
  members_[static_cast<std::size_t>(relay)]->Tick(host_.CurrentTime(), actions);
  PerformActions(relay, actions);
}

void FleetSimulation::ApplyOverride(const OperatorOverridePlan& order) {
  const auto& member = members_[static_cast<std::size_t>(order.relay)];
  zone_failover::ZoneFailover::Actions actions;
  if (!member) return;
  member->ApplyOverride(host_.CurrentTime(), order.zone, order.kind, order.duration, actions);
  PerformActions(order.relay, actions);
}

bool FleetSimulation::HasJoined(int relay) const {
  const auto& member = members_[static_cast<std::size_t>(relay)];
  return !member || member->HasJoined(host_.CurrentTime());
}

void FleetSimulation::PerformActions(int relay, zone_failover::ZoneFailover::Actions& actions) {
  for (opalroute::Event& event : actions.events) {
    if (const auto* size = std::get_if<FleetSize>(&event))
      auditor_.OnShareCount(host_.CurrentTime(), relay, size->share_count);
    host_.PostEvent(relay, std::move(event));
  }
  for (const zone_failover::OutgoingDatagram& datagram : actions.datagrams)
    SendDatagram(relay, datagram.to, datagram.bytes);
  for (const zone_failover::ZoneFailover::Change& c : actions.changes)
    result_.zone_phase_changes.push_back({host_.CurrentTime(), relay, c.zone, c.after.round,
                                          zone_failover::NameOf(c.after.phase), c.from_peer});
}

void FleetSimulation::SendDatagram(int from, std::optional<int> to, const std::string& bytes) {
  const auto shared = std::make_shared<const std::string>(bytes);
  for (int peer = 0; peer < s_.relays; ++peer)
    if (peer != from && (!to || *to == peer)) SendTo(from, peer, shared);
}

void FleetSimulation::SendTo(int from, int to, const std::shared_ptr<const std::string>& bytes) {
  ++result_.datagrams;
  ++result_.datagrams_by_kind[KindOf(*bytes)];
  result_.datagram_bytes += static_cast<long>(bytes->size());
  for (const Seconds when : links_.DrawArrivals(host_.CurrentTime(), from, to)) {
    in_flight_[++last_datagram_] = {from, to, bytes};
    host_.ScheduleDatagram(when, to, last_datagram_);
  }
}

void FleetSimulation::OnDatagramArrived(std::uint64_t number) {
  const auto it = in_flight_.find(number);
  const Datagram datagram = std::move(it->second);
  in_flight_.erase(it);
  const Seconds now = host_.CurrentTime();
  if (!host_.IsUp(datagram.to)) {  // its host answers 'port unreachable', unless the link back is cut
    if (!links_.IsPeerLinkCut(now, datagram.to, datagram.from))
      host_.ScheduleUnreachable(now + 0.001, datagram.from, datagram.to);
    return;
  }
  const auto& member = members_[static_cast<std::size_t>(datagram.to)];
  zone_failover::ZoneFailover::Actions actions;
  if (member && member->HandleMessage(now, datagram.from, *datagram.bytes, actions))
    return PerformActions(datagram.to, actions);
  host_.PostEvent(datagram.to, GossipReceived{datagram.from, *datagram.bytes});
}

void FleetSimulation::OnPeerUnreachable(int relay, int peer) {
  const auto& member = members_[static_cast<std::size_t>(relay)];
  if (member) member->OnUnreachable(host_.CurrentTime(), peer);
}

void FleetSimulation::OnSent(int relay, const ListedEndpoint& e) {
  const auto& member = members_[static_cast<std::size_t>(relay)];
  if (member)
    member->OnSent(host_.CurrentTime(), static_cast<int>(e.zone.value()), e.destination, e.endpoint);
}

void FleetSimulation::OnEnded(int relay, const ListedEndpoint& e, Outcome outcome, Seconds duration) {
  const auto& member = members_[static_cast<std::size_t>(relay)];
  const int zone = static_cast<int>(e.zone.value());
  if (member) member->OnEnded(host_.CurrentTime(), zone, e.destination, e.endpoint, outcome, duration);
}

double FleetSimulation::TrueTrafficShare(Seconds now, int zone) const {
  double share = 1;
  constexpr double kSteps = 20;  // as in zone evacuation
  for (const PartnerFault& t : s_.partner_faults) {
    if (t.zone != zone || t.share < 0.6 || now < t.start) continue;
    const double progress = s_.settings.slow_start_duration > 0
                                ? (now - t.start - t.duration) / s_.settings.slow_start_duration
                                : 1;
    const double initial_share = s_.settings.slow_start_initial_share;
    share = std::min(
        share,
        progress < 0
            ? 0
            : std::floor(std::min(1.0, initial_share + (1 - initial_share) * progress) * kSteps) / kSteps);
  }
  return share;
}

void FleetSimulation::RunOracle() {
  for (int zone = 0; zone < static_cast<int>(oracle_shares_.size()); ++zone) {
    const double share = TrueTrafficShare(host_.CurrentTime(), zone);
    if (std::exchange(oracle_shares_[static_cast<std::size_t>(zone)], share) == share) continue;
    for (int relay = 0; relay < s_.relays; ++relay)
      if (host_.IsUp(relay)) host_.PostEvent(relay, ZoneTrafficShare{ZoneId{zone}, share, false});
  }
}

}  // namespace opalroute::lab
