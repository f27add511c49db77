#include "zone_failover/zone_failover.h"

#include <algorithm>

namespace opalroute::zone_failover {

namespace {

// While a zone is being evacuated, a call into the control zone counts if it was sent at most this long
// before the phase began, so that a call which takes this long and is served within the phase counts.
constexpr Seconds kControlMargin = 0.3;

}  // namespace

ZoneFailover::ZoneFailover(const FailoverOptions& options, std::uint64_t incarnation, std::uint64_t seed,
                           Seconds now, const SavedState& saved)
    : options_(options),
      incarnation_(incarnation),
      started_at_(now),
      membership_(options.membership, incarnation, seed, now),
      observer_(options.observer, options.zones),
      consensus_(options.consensus, options.zones),
      evacuation_(options.evacuation, options.zones, options.membership.own_peer),
      overrides_(options.zones),
      scheduler_(options, seed, now, observer_, consensus_, evacuation_),
      publisher_(options) {
  RestoreOverrides(now, saved.overrides);
  RestoreStates(now, saved.states);
}

void ZoneFailover::RestoreOverrides(Seconds now, const std::vector<OperatorOverride>& saved) {
  if (saved.size() != static_cast<std::size_t>(options_.zones)) return;
  for (int zone = 0; zone < options_.zones; ++zone) {
    OperatorOverride restored = saved[static_cast<std::size_t>(zone)];
    restored.expires_at += now;
    overrides_.Merge(now, zone, restored);
  }
}

// Until gossip arrives the more cautious state is assumed: an evacuation in progress is complete, and a
// recovery starts again from its beginning.
void ZoneFailover::RestoreStates(Seconds now, const std::vector<EvacuationState>& saved) {
  if (saved.size() != static_cast<std::size_t>(options_.zones)) return;
  for (int zone = 0; zone < options_.zones; ++zone) {
    EvacuationState restored = saved[static_cast<std::size_t>(zone)];
    if (restored.phase == EvacuationPhase::kEvacuating) restored.phase = EvacuationPhase::kEvacuated;
    restored.since = now;
    evacuation_.Merge(now, zone, restored);
  }
}

ZoneFailover::SavedState ZoneFailover::Save(Seconds now) const {
  return {StatesWithAges(now, evacuation_), overrides_.ForGossip(now)};
}

// ---- Observations -----------------------------------------------------------------------------------------

void ZoneFailover::OnSent(Seconds now, int zone, DestinationId destination, EndpointId endpoint) {
  observer_.OnSent(now, zone, destination, endpoint);
}

void ZoneFailover::OnEnded(Seconds now, int zone, DestinationId destination, EndpointId endpoint,
                           Outcome outcome, Seconds duration) {
  observer_.OnEnded(now, zone, destination, endpoint, outcome, duration);
}

void ZoneFailover::OnUnreachable(Seconds now, membership::Peer peer) { membership_.OnUnreachable(now, peer); }

// ---- Receiving --------------------------------------------------------------------------------------------

bool ZoneFailover::HandleMessage(Seconds now, membership::Peer from, std::string_view bytes, Actions& out) {
  const auto message = membership::DecodeMessage(bytes);
  if (!message) return false;
  std::vector<membership::OutgoingMessage> answers;
  if (!membership_.HandleMessage(now, from, *message, answers)) return true;
  Send(now, answers, out);
  if (!options_.evacuate_zones) return true;
  const auto gossip = DecodeZoneGossip(message->zone_payload);
  if (!gossip || static_cast<int>(gossip->states.size()) != options_.zones) return true;
  if (gossip->report) {
    consensus_.AddReport(now, from, message->incarnation, message->sequence, *gossip->report);
  }
  MergeGossip(now, *gossip, out);
  return true;
}

void ZoneFailover::MergeGossip(Seconds now, const ZoneGossip& gossip, Actions& out) {
  for (int zone = 0; zone < options_.zones; ++zone) {
    const auto index = static_cast<std::size_t>(zone);
    MergeState(now, zone, gossip.states[index], out);
    if (!gossip.overrides.empty()) MergeOverride(now, zone, gossip.overrides[index], out);
  }
  PublishDirectives(now, out);
}

void ZoneFailover::MergeState(Seconds now, int zone, EvacuationState received, Actions& out) {
  const EvacuationState before = evacuation_.StateOf(zone);
  received.since = now - received.since;
  if (evacuation_.Merge(now, zone, received)) {
    out.changes.push_back({zone, before, evacuation_.StateOf(zone), consensus_.ViewOf(now, zone), true});
    scheduler_.OnAdoptedState(zone);
  } else if (!received.IsOlderThan(before)) {
    scheduler_.OnConfirmedState(zone);
  }
}

void ZoneFailover::MergeOverride(Seconds now, int zone, OperatorOverride received, Actions& out) {
  received.expires_at += now;
  if (overrides_.Merge(now, zone, received)) out.overrides.push_back({zone, received, true});
}

// ---- Sending ----------------------------------------------------------------------------------------------

void ZoneFailover::Send(Seconds now, const std::vector<membership::OutgoingMessage>& messages, Actions& out) {
  if (messages.empty()) return;
  std::string payload;
  if (options_.evacuate_zones) {
    ZoneGossip gossip{StatesWithAges(now, evacuation_), std::nullopt, overrides_.ForGossip(now)};
    if (!scheduler_.AreAllZonesHealthy(now)) gossip.report = MakeReport(now, observer_);
    payload = EncodeZoneGossip(gossip);
  }
  AppendDatagrams(messages, payload, options_.membership.max_message_bytes, out.datagrams);
}

void ZoneFailover::Broadcast(Seconds now, Actions& out) {
  Send(now, {{std::nullopt, membership_.NewMessage(membership::MessageKind::kGossip)}}, out);
}

void ZoneFailover::AnnounceLeave(Actions& out) {
  std::vector<membership::OutgoingMessage> messages;
  membership_.AnnounceLeave(messages);
  AppendDatagrams(messages, "", options_.membership.max_message_bytes, out.datagrams);
}

bool ZoneFailover::ApplyOverride(Seconds now, int zone, OverrideKind kind, Seconds duration, Actions& out) {
  if (!options_.evacuate_zones || zone < 0 || zone >= options_.zones) return false;
  const OperatorOverride& issued = overrides_.Issue(now, zone, kind, duration, options_.membership.own_peer);
  out.overrides.push_back({zone, issued, false});
  Broadcast(now, out);
  return true;
}

// ---- Ticks ------------------------------------------------------------------------------------------------

void ZoneFailover::Tick(Seconds now, Actions& out) {
  std::vector<membership::OutgoingMessage> messages;
  membership_.Tick(now, messages);
  Send(now, messages, out);
  if (options_.evacuate_zones) {
    TickZones(now, out);
    if (scheduler_.TakeDueReport(now)) Broadcast(now, out);
  }
  PublishDirectives(now, out);
}

void ZoneFailover::TickZones(Seconds now, Actions& out) {
  observer_.Tick(now);
  consensus_.ExpireReports(now);
  consensus_.AddReport(now, options_.membership.own_peer, incarnation_, ++own_report_sequence_,
                       MakeReport(now, observer_));
  const double share_count =
      membership_.IsSettled(now) ? membership_.ShareCount(now) : options_.membership.fleet_size;
  const std::vector<membership::Peer> alive = AliveMembersIfNeeded(now);
  for (int zone = 0; zone < options_.zones; ++zone) TickZone(now, zone, share_count, alive, out);
}

void ZoneFailover::TickZone(Seconds now, int zone, double share_count,
                            const std::vector<membership::Peer>& alive, Actions& out) {
  const EvacuationState before = evacuation_.StateOf(zone);
  const ZoneView view = consensus_.ViewOf(now, zone);
  scheduler_.UpdateSuspicion(now, zone, view);
  ZoneEvacuation::Inputs inputs;
  inputs.is_failing = consensus_.IsFailing(now, zone, view, FleetStateFor(zone, share_count));
  inputs.is_contradicted = consensus_.IsContradicted(view);
  inputs.own_observation = observer_.Observe(now, zone);
  inputs.alive = alive;
  inputs.override_kind = overrides_.ActiveKind(now, zone);
  if (!evacuation_.Tick(now, zone, inputs)) return;
  out.changes.push_back({zone, before, evacuation_.StateOf(zone), view, false});
  scheduler_.OnLocalStateChange(zone);
}

// Health-check relays are chosen from the alive members while a zone is evacuated; at other times the list is
// empty.
std::vector<membership::Peer> ZoneFailover::AliveMembersIfNeeded(Seconds now) const {
  for (int zone = 0; zone < options_.zones; ++zone) {
    if (evacuation_.StateOf(zone).phase == EvacuationPhase::kEvacuated) return membership_.AliveMembers(now);
  }
  return {};
}

// While a zone is being evacuated, only calls that the control zone has served in that time count. If all
// zones fail at once, the zone that is reported first would otherwise be compared with earlier successes of
// the others.
ZoneConsensus::FleetState ZoneFailover::FleetStateFor(int zone, double share_count) const {
  ZoneConsensus::FleetState fleet;
  fleet.share_count = share_count;
  const EvacuationState& state = evacuation_.StateOf(zone);
  if (state.phase == EvacuationPhase::kEvacuating) fleet.control_since = state.since - kControlMargin;
  fleet.is_another_zone_out_of_service = IsAnotherZoneOutOfService(zone);
  return fleet;
}

bool ZoneFailover::IsAnotherZoneOutOfService(int zone) const {
  for (int other = 0; other < options_.zones; ++other) {
    if (other != zone && evacuation_.StateOf(other).phase != EvacuationPhase::kInService) return true;
  }
  return false;
}

void ZoneFailover::PublishDirectives(Seconds now, Actions& out) {
  const double share_count =
      options_.share_quotas ? membership_.ShareCount(now) : options_.membership.fleet_size;
  publisher_.Publish(now, share_count, evacuation_, out.events);
}

bool ZoneFailover::HasJoined(Seconds now) const {
  return options_.membership.fleet_size < 2 || membership_.HasAnyAck() ||
         now - started_at_ >= options_.join_timeout;
}

}  // namespace opalroute::zone_failover
