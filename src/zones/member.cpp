#include "zones/member.h"

#include <algorithm>

namespace opalroute::zones {

namespace {

constexpr Seconds kControlBefore = 0.3;  // a call that takes this long is served within the stage of leaving

}  // namespace

Member::Member(const MemberRules& rules, std::uint64_t life, std::uint64_t seed, Seconds now,
               const Kept& kept)
    : rules_(rules),
      life_(life),
      started_(now),
      random_(seed),
      tier_(rules.tier, life, seed, now),
      evidence_(rules.evidence, rules.zones),
      agreement_(rules.agreement, rules.zones),
      stages_(rules.stages, rules.zones, rules.tier.own),
      orders_(rules.zones),
      zones_(static_cast<std::size_t>(rules.zones)),
      bucket_{kBurst, now},
      urgent_{kBurst, now},
      parts_told_(rules.tier.size) {
  for (int zone = 0; kept.orders.size() == zones_.size() && zone < rules.zones; ++zone) {
    HandOrder order = kept.orders[static_cast<std::size_t>(zone)];
    order.until += now;
    orders_.Hear(now, zone, order);
  }
  if (kept.stages.size() != zones_.size()) return;
  // With no word yet the careful stage: what was being left is out, and a return begins anew.
  for (int zone = 0; zone < rules.zones; ++zone) {
    Stage stage = kept.stages[static_cast<std::size_t>(zone)];
    if (stage.step == Step::kLeaving) stage.step = Step::kOut;
    stage.since = now;
    stages_.Hear(now, zone, stage);
  }
}

// ---- in ---------------------------------------------------------------------------------------------------

bool Member::Take(Seconds now, tier::Peer from, std::string_view bytes, Do& out) {
  const auto note = tier::ReadNote(bytes);
  if (!note) return false;
  std::vector<tier::Tier::Out> answers;
  if (!tier_.Take(now, from, *note, answers)) return true;
  Write(now, answers, out);
  const auto said = ReadSaid(note->zones);
  if (!rules_.leave || !said || static_cast<int>(said->stages.size()) != rules_.zones) return true;
  if (said->report) agreement_.Add(now, from, note->life, note->number, *said->report);
  Hear(now, *said, out);
  return true;
}

void Member::Hear(Seconds now, const Said& said, Do& out) {
  for (int zone = 0; zone < rules_.zones; ++zone) {
    const Stage before = stages_.Of(zone);
    Stage heard = said.stages[static_cast<std::size_t>(zone)];
    heard.since = now - heard.since;
    auto& also_there = zones_[static_cast<std::size_t>(zone)].also_there;
    if (stages_.Hear(now, zone, heard)) {
      out.changes.push_back({zone, before, stages_.Of(zone), agreement_.Of(now, zone), true});
      also_there.reset();
    } else if (also_there && !heard.Before(before)) {
      if (++*also_there >= rules_.told_stage) also_there.reset();
    }
    if (said.orders.size() != zones_.size()) continue;
    HandOrder order = said.orders[static_cast<std::size_t>(zone)];
    order.until += now;
    if (orders_.Hear(now, zone, order)) out.orders.push_back({zone, order, true});
  }
  TellModule(now, out);
}

// ---- out --------------------------------------------------------------------------------------------------

Report Member::OwnReport(Seconds now) const {
  Report report;
  for (int zone = 0; zone < rules_.zones; ++zone) {
    const Sight sight = evidence_.Of(now, zone);
    ZoneReport r;
    r.good = sight.good;
    r.bad = sight.bad;
    r.seen = sight.seen;
    r.good_age = std::min(ZoneReport::kLongestReported, now - sight.good_at);
    r.bad_age = std::min(ZoneReport::kLongestReported, now - sight.bad_at);
    r.wrong = sight.wrong;
    report.push_back(r);
  }
  return report;
}

Said Member::Say(Seconds now, bool report) const {
  Said said{StagesByAge(now), std::nullopt, orders_.Tell(now)};
  if (report) said.report = OwnReport(now);
  return said;
}

Member::Kept Member::Keep(Seconds now) const { return {StagesByAge(now), orders_.Tell(now)}; }

std::vector<Stage> Member::StagesByAge(Seconds now) const {
  std::vector<Stage> stages;
  for (int zone = 0; zone < rules_.zones; ++zone) {
    stages.push_back(stages_.Of(zone));
    stages.back().since = now - stages.back().since;
  }
  return stages;
}

void Member::Write(Seconds now, std::vector<tier::Tier::Out>& notes, Do& out) {
  if (notes.empty()) return;
  const std::string zones = rules_.leave ? WriteSaid(Say(now, !IsQuiet(now))) : std::string();
  for (tier::Tier::Out& o : notes) {
    o.note.zones = zones;
    out.notes.emplace_back(o.to, WriteNote(o.note, rules_.tier.note_bytes));
  }
}

void Member::Leave(Do& out) {
  std::vector<tier::Tier::Out> notes;
  tier_.Leave(notes);
  for (const tier::Tier::Out& o : notes)
    out.notes.emplace_back(o.to, WriteNote(o.note, rules_.tier.note_bytes));
}

// Nobody has a trouble to tell of, so what is well need not be told either.
bool Member::IsQuiet(Seconds now) const {
  for (int zone = 0; zone < rules_.zones; ++zone) {
    if (stages_.Of(zone).step != Step::kIn || zones_[static_cast<std::size_t>(zone)].is_accused) return false;
    const Sight sight = evidence_.Of(now, zone);
    if (sight.bad != 0) return false;
  }
  return true;
}

bool Member::IsAnotherLeft(int zone) const {
  for (int other = 0; other < rules_.zones; ++other)
    if (other != zone && stages_.Of(other).step != Step::kIn) return true;
  return false;
}

bool Member::HasNews(Seconds now, int zone) const {
  const Zone& z = zones_[static_cast<std::size_t>(zone)];
  const Sight sight = evidence_.Of(now, zone);
  if (sight.Accuses()) return sight.bad_at > z.reported && stages_.Of(zone).step != Step::kOut;
  return z.is_accused && sight.good != 0 && sight.good_at > std::max(z.accused, z.reported);
}

// This relay has come to a stage by itself that others may not know of.
bool Member::HasStage() const {
  return std::any_of(zones_.begin(), zones_.end(), [](const Zone& z) { return z.also_there.has_value(); });
}

// Others have told as much as the verdict needs, of every zone that this relay has news of.
bool Member::SaidEnough(Seconds now) const {
  const int quorum = agreement_.QuorumOf(rules_.tier.size);
  for (int zone = 0; zone < rules_.zones; ++zone) {
    if (!HasNews(now, zone)) continue;
    const View view = agreement_.Of(now, zone);
    const bool contradicted = view.vouchers > rules_.agreement.against * 2 * view.accusers;
    // Danger: with partners at their limits some accuse a zone all day. A few words on either side settle it.
    if (!contradicted && (view.accusers < 3 * quorum || !evidence_.Of(now, zone).Accuses())) return false;
  }
  return true;
}

// A zone is in question, or about to be.
bool Member::IsUrgent(Seconds now) const {
  if (HasStage()) return true;
  const int quorum = agreement_.QuorumOf(rules_.tier.size);
  for (int zone = 0; zone < rules_.zones; ++zone) {
    const Step step = stages_.Of(zone).step;
    if (step == Step::kLeaving) return true;
    if (step != Step::kOut && HasNews(now, zone) && 2 * agreement_.Of(now, zone).accusers >= quorum)
      return true;
  }
  return false;
}

// Danger: where some accuse a zone all day, words of no consequence would use up what is needed when it
// fails. So those have an even part of the tier's rate, and what is urgent has a budget that they can't
// touch.
bool Member::MayReport(Seconds now) {
  const double rate = std::clamp(rules_.reports_a_second / rules_.tier.size, 1.0 / 60, 4.0);
  bucket_.Fill(now, rate, kBurst);
  urgent_.Fill(now, rules_.urgent_a_second, kBurst);
  return bucket_.tokens >= 1 || (urgent_.tokens >= 1 && IsUrgent(now));
}

void Member::ReportIfDue(Seconds now, Do& out) {
  if (report_at_ == kNever) {
    bool news = HasStage();
    for (int zone = 0; zone < rules_.zones; ++zone) news = news || HasNews(now, zone);
    if (!news) return;
    report_at_ = now + rules_.heed * random_.Unit();
  }
  if (now < report_at_) return;
  if (!MayReport(now)) return;
  report_at_ = kNever;
  if (SaidEnough(now) && !HasStage()) return;
  if (!bucket_.Take()) urgent_.Take();
  for (int zone = 0; zone < rules_.zones; ++zone) {
    const Sight sight = evidence_.Of(now, zone);
    zones_[static_cast<std::size_t>(zone)].reported = std::max(sight.good_at, sight.bad_at);
    zones_[static_cast<std::size_t>(zone)].also_there.reset();
  }
  TellAll(now, out);
}

void Member::TellAll(Seconds now, Do& out) {
  std::vector<tier::Tier::Out> notes(1);
  notes[0].to = kAll;
  notes[0].note = tier_.Blank(tier::NoteKind::kTold);
  Write(now, notes, out);
}

bool Member::Order(Seconds now, int zone, ByHand what, Seconds lasts, Do& out) {
  if (!rules_.leave || zone < 0 || zone >= rules_.zones) return false;
  out.orders.push_back({zone, orders_.Give(now, zone, what, lasts, rules_.tier.own), false});
  TellAll(now, out);
  return true;
}

void Member::Tick(Seconds now, Do& out) {
  std::vector<tier::Tier::Out> notes;
  tier_.Tick(now, notes);
  Write(now, notes, out);
  if (rules_.leave) {
    evidence_.Tick(now);
    agreement_.Forget(now);
    agreement_.Add(now, rules_.tier.own, life_, ++own_reports_, OwnReport(now));
    const double parts = tier_.Settled(now) ? tier_.Parts(now) : rules_.tier.size;
    std::vector<tier::Peer> live;
    for (int zone = 0; zone < rules_.zones; ++zone) {
      Zone& z = zones_[static_cast<std::size_t>(zone)];
      const Stage before = stages_.Of(zone);
      const View view = agreement_.Of(now, zone);
      const bool accused = view.accusers > 0 || before.step == Step::kLeaving;
      if (accused && !z.is_accused) z.accused = now;
      z.is_accused = accused;
      if (before.step == Step::kOut && live.empty()) live = tier_.Live(now);
      // Danger: where all zones fail at once the first to be accused has the others' past to stand against.
      const Seconds control_since = before.step == Step::kLeaving ? before.since - kControlBefore : -1e9;
      const Stages::Facts facts{
          agreement_.Failing(now, zone, view, parts, control_since, IsAnotherLeft(zone)),
          agreement_.Contradicted(view), evidence_.Of(now, zone), live, orders_.InForce(now, zone)};
      if (stages_.Tick(now, zone, facts)) {
        out.changes.push_back({zone, before, stages_.Of(zone), view, false});
        // Whoever has not agreed by itself hears it. That a zone is being left is a question, and not spread.
        z.also_there = stages_.Of(zone).step == Step::kLeaving ? std::nullopt : std::optional(0);
      }
    }
    ReportIfDue(now, out);
  }
  TellModule(now, out);
}

void Member::TellModule(Seconds now, Do& out) {
  const double parts = rules_.shares ? tier_.Parts(now) : rules_.tier.size;
  const bool grows = parts < parts_told_;
  if (parts > parts_told_ || (grows && now - parts_told_at_ >= rules_.grow_every)) {
    out.events.emplace_back(TierSize{parts});
    parts_told_ = parts;
    parts_told_at_ = now;
  }
  for (int zone = 0; zone < rules_.zones; ++zone) {
    Zone& z = zones_[static_cast<std::size_t>(zone)];
    const zones::Order order = stages_.OrderFor(now, zone);
    if (order == z.told) continue;
    z.told = order;
    out.events.emplace_back(ZoneShare{zone, order.share, order.scout});
  }
}

bool Member::Joined(Seconds now) const {
  return rules_.tier.size < 2 || tier_.Answered() || now - started_ >= rules_.join_time;
}

}  // namespace opalroute::zones
