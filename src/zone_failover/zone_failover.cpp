#include "zone_failover/zone_failover.h"

#include <algorithm>

namespace opalroute::zone_failover {

namespace {

constexpr Seconds kControlBefore = 0.3;  // a call that takes this long is served within the stage of leaving

}  // namespace

ZoneFailover::ZoneFailover(const FailoverOptions& rules, std::uint64_t life, std::uint64_t seed, Seconds now,
                           const SavedState& kept)
    : options_(rules),
      incarnation_(life),
      started_(now),
      random_(seed),
      membership_(rules.membership, life, seed, now),
      observer_(rules.observer, rules.zones),
      consensus_(rules.consensus, rules.zones),
      evacuation_(rules.evacuation, rules.zones, rules.membership.own_peer),
      overrides_(rules.zones),
      zones_(static_cast<std::size_t>(rules.zones)),
      report_bucket_{kBurst, now},
      urgent_bucket_{kBurst, now},
      published_share_count_(rules.membership.fleet_size) {
  for (int zone = 0; kept.overrides.size() == zones_.size() && zone < rules.zones; ++zone) {
    OperatorOverride order = kept.overrides[static_cast<std::size_t>(zone)];
    order.expires_at += now;
    overrides_.Merge(now, zone, order);
  }
  if (kept.states.size() != zones_.size()) return;
  // With no word yet the careful stage: what was being left is out, and a return begins anew.
  for (int zone = 0; zone < rules.zones; ++zone) {
    EvacuationState stage = kept.states[static_cast<std::size_t>(zone)];
    if (stage.phase == EvacuationPhase::kEvacuating) stage.phase = EvacuationPhase::kEvacuated;
    stage.since = now;
    evacuation_.Merge(now, zone, stage);
  }
}

// ---- in ---------------------------------------------------------------------------------------------------

bool ZoneFailover::HandleMessage(Seconds now, membership::Peer from, std::string_view bytes, Actions& out) {
  const auto note = membership::DecodeMessage(bytes);
  if (!note) return false;
  std::vector<membership::OutgoingMessage> answers;
  if (!membership_.HandleMessage(now, from, *note, answers)) return true;
  WriteMessages(now, answers, out);
  const auto said = DecodeZoneGossip(note->zone_payload);
  if (!options_.evacuate_zones || !said || static_cast<int>(said->stages.size()) != options_.zones)
    return true;
  if (said->report) consensus_.Add(now, from, note->incarnation, note->sequence, *said->report);
  MergeGossip(now, *said, out);
  return true;
}

void ZoneFailover::MergeGossip(Seconds now, const ZoneGossip& said, Actions& out) {
  for (int zone = 0; zone < options_.zones; ++zone) {
    const EvacuationState before = evacuation_.Of(zone);
    EvacuationState heard = said.stages[static_cast<std::size_t>(zone)];
    heard.since = now - heard.since;
    auto& also_there = zones_[static_cast<std::size_t>(zone)].same_state_peers;
    if (evacuation_.Merge(now, zone, heard)) {
      out.changes.push_back({zone, before, evacuation_.Of(zone), consensus_.ViewOf(now, zone), true});
      also_there.reset();
    } else if (also_there && !heard.Before(before)) {
      if (++*also_there >= options_.state_repeats) also_there.reset();
    }
    if (said.overrides.size() != zones_.size()) continue;
    OperatorOverride order = said.overrides[static_cast<std::size_t>(zone)];
    order.expires_at += now;
    if (overrides_.Merge(now, zone, order)) out.overrides.push_back({zone, order, true});
  }
  PublishDirectives(now, out);
}

// ---- out --------------------------------------------------------------------------------------------------

Report ZoneFailover::OwnReport(Seconds now) const {
  Report report;
  for (int zone = 0; zone < options_.zones; ++zone) {
    const ZoneObservation sight = observer_.Observe(now, zone);
    ZoneReport r;
    r.succeeded = sight.succeeded;
    r.failed = sight.failed;
    r.observed = sight.observed;
    r.success_age = std::min(ZoneReport::kMaxAge, now - sight.success_at);
    r.failure_age = std::min(ZoneReport::kMaxAge, now - sight.failure_at);
    r.fault = sight.fault;
    report.push_back(r);
  }
  return report;
}

ZoneGossip ZoneFailover::MakeGossip(Seconds now, bool report) const {
  ZoneGossip said{StatesByAge(now), std::nullopt, overrides_.ForGossip(now)};
  if (report) said.report = OwnReport(now);
  return said;
}

ZoneFailover::SavedState ZoneFailover::Save(Seconds now) const {
  return {StatesByAge(now), overrides_.ForGossip(now)};
}

std::vector<EvacuationState> ZoneFailover::StatesByAge(Seconds now) const {
  std::vector<EvacuationState> stages;
  for (int zone = 0; zone < options_.zones; ++zone) {
    stages.push_back(evacuation_.Of(zone));
    stages.back().since = now - stages.back().since;
  }
  return stages;
}

void ZoneFailover::WriteMessages(Seconds now, std::vector<membership::OutgoingMessage>& notes, Actions& out) {
  if (notes.empty()) return;
  const std::string zones =
      options_.evacuate_zones ? EncodeZoneGossip(MakeGossip(now, !IsQuiet(now))) : std::string();
  for (membership::OutgoingMessage& o : notes) {
    o.message.zone_payload = zones;
    out.datagrams.push_back({o.to, EncodeMessage(o.message, options_.membership.max_message_bytes)});
  }
}

void ZoneFailover::AnnounceLeave(Actions& out) {
  std::vector<membership::OutgoingMessage> notes;
  membership_.Leave(notes);
  for (const membership::OutgoingMessage& o : notes)
    out.datagrams.push_back({o.to, EncodeMessage(o.message, options_.membership.max_message_bytes)});
}

// Nobody has a trouble to tell of, so what is well need not be told either.
bool ZoneFailover::IsQuiet(Seconds now) const {
  for (int zone = 0; zone < options_.zones; ++zone) {
    if (evacuation_.Of(zone).phase != EvacuationPhase::kInService ||
        zones_[static_cast<std::size_t>(zone)].is_accused)
      return false;
    const ZoneObservation sight = observer_.Observe(now, zone);
    if (sight.failed != 0) return false;
  }
  return true;
}

bool ZoneFailover::IsAnotherZoneEvacuated(int zone) const {
  for (int other = 0; other < options_.zones; ++other)
    if (other != zone && evacuation_.Of(other).phase != EvacuationPhase::kInService) return true;
  return false;
}

bool ZoneFailover::HasUnreportedFailure(Seconds now, int zone) const {
  const Zone& z = zones_[static_cast<std::size_t>(zone)];
  const ZoneObservation sight = observer_.Observe(now, zone);
  if (sight.ReportsFailure())
    return sight.failure_at > z.reported_at && evacuation_.Of(zone).phase != EvacuationPhase::kEvacuated;
  return z.is_accused && sight.succeeded != 0 && sight.success_at > std::max(z.accused_at, z.reported_at);
}

// This relay has come to a stage by itself that others may not know of.
bool ZoneFailover::HasStateToSpread() const {
  return std::any_of(zones_.begin(), zones_.end(),
                     [](const Zone& z) { return z.same_state_peers.has_value(); });
}

// Others have told as much as the verdict needs, of every zone that this relay has news of.
bool ZoneFailover::IsReportRedundant(Seconds now) const {
  const int quorum = consensus_.QuorumOf(options_.membership.fleet_size);
  for (int zone = 0; zone < options_.zones; ++zone) {
    if (!HasUnreportedFailure(now, zone)) continue;
    const ZoneView view = consensus_.ViewOf(now, zone);
    const bool contradicted =
        view.success_reporters > options_.consensus.contradiction_share * 2 * view.failure_reporters;
    // Danger: with partners at their limits some accuse a zone all day. A few words on either side settle it.
    if (!contradicted &&
        (view.failure_reporters < 3 * quorum || !observer_.Observe(now, zone).ReportsFailure()))
      return false;
  }
  return true;
}

// A zone is in question, or about to be.
bool ZoneFailover::IsUrgent(Seconds now) const {
  if (HasStateToSpread()) return true;
  const int quorum = consensus_.QuorumOf(options_.membership.fleet_size);
  for (int zone = 0; zone < options_.zones; ++zone) {
    const EvacuationPhase step = evacuation_.Of(zone).phase;
    if (step == EvacuationPhase::kEvacuating) return true;
    if (step != EvacuationPhase::kEvacuated && HasUnreportedFailure(now, zone) &&
        2 * consensus_.ViewOf(now, zone).failure_reporters >= quorum)
      return true;
  }
  return false;
}

// Danger: where some accuse a zone all day, words of no consequence would use up what is needed when it
// fails. So those have an even part of the tier's rate, and what is urgent has a budget that they can't
// touch.
bool ZoneFailover::MayReport(Seconds now) {
  const double rate = std::clamp(options_.reports_per_second / options_.membership.fleet_size, 1.0 / 60, 4.0);
  report_bucket_.Fill(now, rate, kBurst);
  urgent_bucket_.Fill(now, options_.urgent_reports_per_second, kBurst);
  return report_bucket_.tokens >= 1 || (urgent_bucket_.tokens >= 1 && IsUrgent(now));
}

void ZoneFailover::ReportIfDue(Seconds now, Actions& out) {
  if (next_report_at_ == kNever) {
    bool news = HasStateToSpread();
    for (int zone = 0; zone < options_.zones; ++zone) news = news || HasUnreportedFailure(now, zone);
    if (!news) return;
    next_report_at_ = now + options_.report_delay * random_.Unit();
  }
  if (now < next_report_at_) return;
  if (!MayReport(now)) return;
  next_report_at_ = kNever;
  if (IsReportRedundant(now) && !HasStateToSpread()) return;
  if (!report_bucket_.Take()) urgent_bucket_.Take();
  for (int zone = 0; zone < options_.zones; ++zone) {
    const ZoneObservation sight = observer_.Observe(now, zone);
    zones_[static_cast<std::size_t>(zone)].reported_at = std::max(sight.success_at, sight.failure_at);
    zones_[static_cast<std::size_t>(zone)].same_state_peers.reset();
  }
  Broadcast(now, out);
}

void ZoneFailover::Broadcast(Seconds now, Actions& out) {
  std::vector<membership::OutgoingMessage> notes(1);
  notes[0].message = membership_.NewMessage(membership::MessageKind::kGossip);
  WriteMessages(now, notes, out);
}

bool ZoneFailover::ApplyOverride(Seconds now, int zone, OverrideKind what, Seconds lasts, Actions& out) {
  if (!options_.evacuate_zones || zone < 0 || zone >= options_.zones) return false;
  out.overrides.push_back(
      {zone, overrides_.Issue(now, zone, what, lasts, options_.membership.own_peer), false});
  Broadcast(now, out);
  return true;
}

void ZoneFailover::Tick(Seconds now, Actions& out) {
  std::vector<membership::OutgoingMessage> notes;
  membership_.Tick(now, notes);
  WriteMessages(now, notes, out);
  if (options_.evacuate_zones) {
    observer_.Tick(now);
    consensus_.Forget(now);
    consensus_.Add(now, options_.membership.own_peer, incarnation_, ++own_reports_, OwnReport(now));
    const double parts =
        membership_.IsSettled(now) ? membership_.ShareCount(now) : options_.membership.fleet_size;
    std::vector<membership::Peer> live;
    for (int zone = 0; zone < options_.zones; ++zone) {
      Zone& z = zones_[static_cast<std::size_t>(zone)];
      const EvacuationState before = evacuation_.Of(zone);
      const ZoneView view = consensus_.ViewOf(now, zone);
      const bool accused = view.failure_reporters > 0 || before.phase == EvacuationPhase::kEvacuating;
      if (accused && !z.is_accused) z.accused_at = now;
      z.is_accused = accused;
      if (before.phase == EvacuationPhase::kEvacuated && live.empty()) live = membership_.AliveMembers(now);
      // Danger: where all zones fail at once the first to be accused has the others' past to stand against.
      const Seconds control_since =
          before.phase == EvacuationPhase::kEvacuating ? before.since - kControlBefore : -1e9;
      const ZoneEvacuation::Facts facts{
          consensus_.IsFailing(now, zone, view, parts, control_since, IsAnotherZoneEvacuated(zone)),
          consensus_.IsContradicted(view), observer_.Observe(now, zone), live, overrides_.InForce(now, zone)};
      if (evacuation_.Tick(now, zone, facts)) {
        out.changes.push_back({zone, before, evacuation_.Of(zone), view, false});
        // Whoever has not agreed by itself hears it. That a zone is being left is a question, and not spread.
        z.same_state_peers =
            evacuation_.Of(zone).phase == EvacuationPhase::kEvacuating ? std::nullopt : std::optional(0);
      }
    }
    ReportIfDue(now, out);
  }
  PublishDirectives(now, out);
}

void ZoneFailover::PublishDirectives(Seconds now, Actions& out) {
  const double parts = options_.share_quotas ? membership_.ShareCount(now) : options_.membership.fleet_size;
  const bool grows = parts < published_share_count_;
  if (parts > published_share_count_ ||
      (grows && now - published_share_count_at_ >= options_.share_growth_interval)) {
    out.events.emplace_back(FleetSize{parts});
    published_share_count_ = parts;
    published_share_count_at_ = now;
  }
  for (int zone = 0; zone < options_.zones; ++zone) {
    Zone& z = zones_[static_cast<std::size_t>(zone)];
    const zone_failover::TrafficDirective order = evacuation_.DirectiveFor(now, zone);
    if (order == z.published) continue;
    z.published = order;
    out.events.emplace_back(ZoneTrafficShare{zone, order.traffic_share, order.is_health_check_relay});
  }
}

bool ZoneFailover::HasJoined(Seconds now) const {
  return options_.membership.fleet_size < 2 || membership_.HasAnyAck() ||
         now - started_ >= options_.join_timeout;
}

}  // namespace opalroute::zone_failover
