#include "lab/tier_play.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace opalroute::lab {

zone_failover::FailoverOptions MemberRulesOf(const Scenario& s, int relay) {
  zone_failover::FailoverOptions rules;
  rules.membership.fleet_size = s.relays;
  rules.membership.own_peer = relay;
  rules.zones = static_cast<int>(s.zones.size());
  rules.share_quotas = s.tier;
  rules.evacuate_zones = s.leave;
  rules.evacuation.slow_start_initial_share = s.settings.slow_start_initial_share;
  rules.evacuation.slow_start_duration = s.settings.slow_start_duration;
  return rules;
}

namespace {

const char* KindOf(const std::string& bytes) {
  const auto note = membership::DecodeMessage(bytes);
  if (!note) return "lanes";
  switch (note->kind) {
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

TierPlay::TierPlay(const Scenario& scenario, std::uint64_t seed, Host& host, Auditor& auditor,
                   RunResult& result)
    : s_(scenario),
      host_(host),
      auditor_(auditor),
      result_(result),
      links_(scenario.links, seed),
      members_(static_cast<std::size_t>(scenario.relays)),
      kept_(static_cast<std::size_t>(scenario.relays)),
      truth_(scenario.zones.size(), 1) {}

void TierPlay::Start(int relay) {
  if (!on()) return;
  const auto i = static_cast<std::size_t>(relay);
  const std::uint64_t life = ++last_life_;
  members_[i] = std::make_unique<zone_failover::ZoneFailover>(MemberRulesOf(s_, relay), life, life * 7919 + i,
                                                              host_.TierNow(), kept_[i]);
  Tick(relay);
}

void TierPlay::Stop(int relay, bool forgets) {
  const auto i = static_cast<std::size_t>(relay);
  if (!members_[i]) return;
  kept_[i] = forgets ? zone_failover::ZoneFailover::SavedState() : members_[i]->Save(host_.TierNow());
  members_[i].reset();
  auditor_.OnShareReleased(host_.TierNow(), relay);
}

void TierPlay::Leave(int relay) {
  zone_failover::ZoneFailover::Actions what;
  if (!members_[static_cast<std::size_t>(relay)]) return;
  members_[static_cast<std::size_t>(relay)]->AnnounceLeave(what);
  Do(relay, what);
}

void TierPlay::Tick(int relay) {
  zone_failover::ZoneFailover::Actions what;
  members_[static_cast<std::size_t>(relay)]->Tick(host_.TierNow(), what);
  Do(relay, what);
}

void TierPlay::Order(const HandGiven& order) {
  const auto& member = members_[static_cast<std::size_t>(order.relay)];
  zone_failover::ZoneFailover::Actions what;
  if (!member) return;
  member->ApplyOverride(host_.TierNow(), order.zone, order.what, order.lasts, what);
  Do(order.relay, what);
}

bool TierPlay::Joined(int relay) const {
  const auto& member = members_[static_cast<std::size_t>(relay)];
  return !member || member->HasJoined(host_.TierNow());
}

void TierPlay::Do(int relay, zone_failover::ZoneFailover::Actions& what) {
  for (opalroute::Event& event : what.events) {
    if (const auto* size = std::get_if<FleetSize>(&event))
      auditor_.OnShareCount(host_.TierNow(), relay, size->share_count);
    host_.PostTo(relay, std::move(event));
  }
  for (const zone_failover::OutgoingDatagram& datagram : what.datagrams)
    Tell(relay, datagram.to, datagram.bytes);
  for (const zone_failover::ZoneFailover::Change& c : what.changes)
    result_.stage_changes.push_back(
        {host_.TierNow(), relay, c.zone, c.after.round, zone_failover::NameOf(c.after.phase), c.from_peer});
}

void TierPlay::Tell(int from, std::optional<int> to, const std::string& bytes) {
  const auto shared = std::make_shared<const std::string>(bytes);
  for (int other = 0; other < s_.relays; ++other)
    if (other != from && (!to || *to == other)) Send(from, other, shared);
}

void TierPlay::Send(int from, int to, const std::shared_ptr<const std::string>& bytes) {
  ++result_.notes;
  ++result_.notes_by_kind[KindOf(*bytes)];
  result_.note_bytes += static_cast<long>(bytes->size());
  for (const Seconds when : links_.DrawArrivals(host_.TierNow(), from, to)) {
    flying_[++last_note_] = {from, to, bytes};
    host_.NoteAt(when, to, last_note_);
  }
}

void TierPlay::Arrive(std::uint64_t number) {
  const auto it = flying_.find(number);
  const Flying note = std::move(it->second);
  flying_.erase(it);
  const Seconds now = host_.TierNow();
  if (!host_.IsUp(note.to)) {  // its machine says so, where the way back is open
    if (!links_.IsPeerLinkCut(now, note.to, note.from)) host_.RefusalAt(now + 0.001, note.from, note.to);
    return;
  }
  const auto& member = members_[static_cast<std::size_t>(note.to)];
  zone_failover::ZoneFailover::Actions what;
  if (member && member->HandleMessage(now, note.from, *note.bytes, what)) return Do(note.to, what);
  host_.PostTo(note.to, GossipReceived{note.from, *note.bytes});
}

void TierPlay::Refused(int relay, int peer) {
  const auto& member = members_[static_cast<std::size_t>(relay)];
  if (member) member->OnUnreachable(host_.TierNow(), peer);
}

void TierPlay::Sent(int relay, const ListedEndpoint& e) {
  const auto& member = members_[static_cast<std::size_t>(relay)];
  if (member) member->OnSent(host_.TierNow(), e.zone, e.destination, e.endpoint);
}

void TierPlay::Ended(int relay, const ListedEndpoint& e, Outcome outcome, Seconds duration) {
  const auto& member = members_[static_cast<std::size_t>(relay)];
  if (member) member->OnEnded(host_.TierNow(), e.zone, e.destination, e.endpoint, outcome, duration);
}

double TierPlay::TrueShare(Seconds now, int zone) const {
  double share = 1;
  constexpr double kSteps = 20;  // as the relays' own
  for (const Trouble& t : s_.troubles) {
    if (t.zone != zone || t.share < 0.6 || now < t.from) continue;
    const double warm =
        s_.settings.slow_start_duration > 0 ? (now - t.from - t.lasts) / s_.settings.slow_start_duration : 1;
    const double cold = s_.settings.slow_start_initial_share;
    share =
        std::min(share, warm < 0 ? 0 : std::floor(std::min(1.0, cold + (1 - cold) * warm) * kSteps) / kSteps);
  }
  return share;
}

void TierPlay::TellTruth() {
  for (int zone = 0; zone < static_cast<int>(truth_.size()); ++zone) {
    const double share = TrueShare(host_.TierNow(), zone);
    if (std::exchange(truth_[static_cast<std::size_t>(zone)], share) == share) continue;
    for (int relay = 0; relay < s_.relays; ++relay)
      if (host_.IsUp(relay)) host_.PostTo(relay, ZoneTrafficShare{zone, share, false});
  }
}

}  // namespace opalroute::lab
