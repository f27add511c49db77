#include "lab/tier_play.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace opalroute::lab {

zones::MemberRules MemberRulesOf(const Scenario& s, int relay) {
  zones::MemberRules rules;
  rules.tier.size = s.relays;
  rules.tier.own = relay;
  rules.zones = static_cast<int>(s.zones.size());
  rules.shares = s.tier;
  rules.leave = s.leave;
  rules.stages.cold_from = s.settings.cold_from;
  rules.stages.ramp = s.settings.ramp_time;
  return rules;
}

namespace {

const char* KindOf(const std::string& bytes) {
  const auto note = tier::ReadNote(bytes);
  if (!note) return "lanes";
  switch (note->kind) {
    case tier::NoteKind::kAsk:
      return "ask";
    case tier::NoteKind::kHello:
      return "hello";
    case tier::NoteKind::kAnswer:
      return "answer";
    case tier::NoteKind::kTold:
      return "told";
    case tier::NoteKind::kLeaving:
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
  members_[i] = std::make_unique<zones::Member>(MemberRulesOf(s_, relay), life, life * 7919 + i,
                                                host_.TierNow(), kept_[i]);
  Tick(relay);
}

void TierPlay::Stop(int relay, bool forgets) {
  const auto i = static_cast<std::size_t>(relay);
  if (!members_[i]) return;
  kept_[i] = forgets ? zones::Member::Kept() : members_[i]->Keep(host_.TierNow());
  members_[i].reset();
  auditor_.LostParts(host_.TierNow(), relay);
}

void TierPlay::Leave(int relay) {
  zones::Member::Do what;
  if (!members_[static_cast<std::size_t>(relay)]) return;
  members_[static_cast<std::size_t>(relay)]->Leave(what);
  Do(relay, what);
}

void TierPlay::Tick(int relay) {
  zones::Member::Do what;
  members_[static_cast<std::size_t>(relay)]->Tick(host_.TierNow(), what);
  Do(relay, what);
}

void TierPlay::Order(const HandGiven& order) {
  const auto& member = members_[static_cast<std::size_t>(order.relay)];
  zones::Member::Do what;
  if (!member) return;
  member->Order(host_.TierNow(), order.zone, order.what, order.lasts, what);
  Do(order.relay, what);
}

bool TierPlay::Joined(int relay) const {
  const auto& member = members_[static_cast<std::size_t>(relay)];
  return !member || member->Joined(host_.TierNow());
}

void TierPlay::Do(int relay, zones::Member::Do& what) {
  for (opalroute::Event& event : what.events) {
    if (const auto* size = std::get_if<TierSize>(&event))
      auditor_.ToldParts(host_.TierNow(), relay, size->parts);
    host_.PostTo(relay, std::move(event));
  }
  for (const auto& [to, bytes] : what.notes)
    Tell(relay, to == zones::kAll ? std::nullopt : std::optional<int>(to), bytes);
  for (const zones::Member::Change& c : what.changes)
    result_.stage_changes.push_back(
        {host_.TierNow(), relay, c.zone, c.now.round, zones::NameOf(c.now.step), c.heard});
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
  for (const Seconds when : links_.Arrivals(host_.TierNow(), from, to)) {
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
    if (!links_.PeersCut(now, note.to, note.from)) host_.RefusalAt(now + 0.001, note.from, note.to);
    return;
  }
  const auto& member = members_[static_cast<std::size_t>(note.to)];
  zones::Member::Do what;
  if (member && member->Take(now, note.from, *note.bytes, what)) return Do(note.to, what);
  host_.PostTo(note.to, PeerNote{note.from, *note.bytes});
}

void TierPlay::Refused(int relay, int peer) {
  const auto& member = members_[static_cast<std::size_t>(relay)];
  if (member) member->Refused(host_.TierNow(), peer);
}

void TierPlay::Sent(int relay, const ListEntry& e) {
  const auto& member = members_[static_cast<std::size_t>(relay)];
  if (member) member->Sent(host_.TierNow(), e.zone, e.destination, e.endpoint);
}

void TierPlay::Ended(int relay, const ListEntry& e, Outcome outcome, Seconds duration) {
  const auto& member = members_[static_cast<std::size_t>(relay)];
  if (member) member->Ended(host_.TierNow(), e.zone, e.destination, e.endpoint, outcome, duration);
}

double TierPlay::TrueShare(Seconds now, int zone) const {
  double share = 1;
  constexpr double kSteps = 20;  // as the relays' own
  for (const Trouble& t : s_.troubles) {
    if (t.zone != zone || t.share < 0.6 || now < t.from) continue;
    const double warm = s_.settings.ramp_time > 0 ? (now - t.from - t.lasts) / s_.settings.ramp_time : 1;
    const double cold = s_.settings.cold_from;
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
      if (host_.IsUp(relay)) host_.PostTo(relay, ZoneShare{zone, share, false});
  }
}

}  // namespace opalroute::lab
