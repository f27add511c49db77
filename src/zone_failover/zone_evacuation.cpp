#include "zone_failover/zone_evacuation.h"

#include <algorithm>
#include <cmath>

#include "decision/random.h"

namespace opalroute::zone_failover {

const char* NameOf(EvacuationPhase step) {
  constexpr const char* kNames[] = {"leaving", "out", "returning", "in"};
  return kNames[static_cast<int>(step)];
}

std::vector<membership::Peer> HealthCheckRelaysOf(const std::vector<membership::Peer>& live, int zone,
                                                  std::uint64_t round, int scouts) {
  std::vector<std::pair<double, membership::Peer>> ranked;
  for (const membership::Peer peer : live) {
    Random draw(static_cast<std::uint64_t>(peer) * 0x9e3779b97f4a7c15ULL ^ round << 20 ^
                static_cast<std::uint64_t>(zone));
    ranked.emplace_back(draw.Unit(), peer);
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), static_cast<std::size_t>(scouts)));
  std::vector<membership::Peer> named;
  for (const auto& [rank, peer] : ranked) named.push_back(peer);
  return named;
}

ZoneEvacuation::ZoneEvacuation(const EvacuationOptions& rules, int zones, membership::Peer own)
    : options_(rules), own_(own), zones_(static_cast<std::size_t>(zones)) {}

void ZoneEvacuation::Enter(Seconds now, Zone& zone, std::uint64_t round, EvacuationPhase step, int relapses) {
  zone.state = {round, step, relapses, now};
  zone.is_health_check_relay = false;
  zone.served_since = -1;
}

bool ZoneEvacuation::Merge(Seconds now, int zone, const EvacuationState& stage) {
  Zone& z = zones_[static_cast<std::size_t>(zone)];
  if (z.state.Before(stage)) {
    z.state = stage;
    z.state.since = std::min(now, stage.since);
    z.is_health_check_relay = false;
    z.served_since = -1;
    return true;
  }
  // The same one: the earliest beginning is the true one, as ages are rounded down and notes take time.
  if (!stage.Before(z.state)) z.state.since = std::min(z.state.since, stage.since);
  return false;
}

bool ZoneEvacuation::UpdateFailing(Seconds now, Zone& z, const Facts& facts) {
  if (!facts.failing) {
    z.failing_since = -1;
    return false;
  }
  if (z.failing_since < 0) z.failing_since = now;
  return now - z.failing_since >= options_.confirm_time;
}

// Danger: who has met no bad call there, as the zone was left on others' words or by hand, has been served
// since long before: only what is served in this stage says that it serves again.
bool ZoneEvacuation::IsHealthy(Zone& z, const ZoneObservation& own) const {
  if (own.failure_at >= z.served_since) z.served_since = -1;
  if (own.success_at <= std::max(z.state.since, own.failure_at)) return false;
  if (z.served_since < 0) z.served_since = own.success_at;
  return own.success_at - z.served_since >= options_.healthy_time;
}

// True: the stage has changed. Whoever does not know the order hears a stage that is later than its own.
bool ZoneEvacuation::ApplyOverride(Seconds now, Zone& z, OverrideKind order) {
  const EvacuationState s = z.state;
  if (order == OverrideKind::kEvacuate && s.phase != EvacuationPhase::kEvacuated) {
    Enter(now, z, s.round + 1, EvacuationPhase::kEvacuated, s.relapses);
  } else if (order == OverrideKind::kKeepInService && s.phase == EvacuationPhase::kEvacuating) {
    Enter(now, z, s.round, EvacuationPhase::kInService, s.relapses);
  } else if (order == OverrideKind::kKeepInService && s.phase == EvacuationPhase::kEvacuated) {
    Enter(now, z, s.round, EvacuationPhase::kRecovering,
          s.relapses);  // its endpoints may be cold all the same
  } else {
    return false;
  }
  return true;
}

bool ZoneEvacuation::Tick(Seconds now, int zone, const Facts& facts) {
  Zone& z = zones_[static_cast<std::size_t>(zone)];
  if (ApplyOverride(now, z, facts.override_kind)) return true;
  const EvacuationState s = z.state;
  switch (s.phase) {
    case EvacuationPhase::kInService:
      if (s.relapses > 0 && now - s.since > options_.relapse_reset_time) z.state.relapses = 0;
      if (facts.override_kind == OverrideKind::kKeepInService || !UpdateFailing(now, z, facts)) return false;
      Enter(now, z, s.round + 1, EvacuationPhase::kEvacuating, z.state.relapses);
      return true;
    case EvacuationPhase::kEvacuating:
      // Whoever is served there since says so within the time that this lasts.
      if (now - s.since >= options_.evacuating_time && facts.failing)
        return Enter(now, z, s.round + 1, EvacuationPhase::kEvacuated, s.relapses), true;
      if (now - s.since >= options_.undecided_time ||
          (now - s.since >= options_.evacuating_time && facts.contradicted))
        return Enter(now, z, s.round, EvacuationPhase::kInService, s.relapses), true;
      return false;
    case EvacuationPhase::kEvacuated: {
      z.is_health_check_relay = false;
      if (facts.override_kind == OverrideKind::kEvacuate) return false;
      const std::vector<membership::Peer> scouts =
          HealthCheckRelaysOf(facts.alive, zone, s.round, options_.health_check_relays);
      z.is_health_check_relay = std::find(scouts.begin(), scouts.end(), own_) != scouts.end();
      const Seconds least = std::min(options_.max_evacuated_time,
                                     options_.min_evacuated_time * std::exp2(std::min(s.relapses, 10)));
      if (!IsHealthy(z, facts.own_observation) || now - s.since < least) return false;
      Enter(now, z, s.round, EvacuationPhase::kRecovering, s.relapses);
      return true;
    }
    case EvacuationPhase::kRecovering:
      if (facts.override_kind != OverrideKind::kKeepInService && UpdateFailing(now, z, facts))
        return Enter(now, z, s.round + 1, EvacuationPhase::kEvacuated, s.relapses + 1), true;
      if (now - s.since < options_.slow_start_duration) return false;
      Enter(now, z, s.round, EvacuationPhase::kInService, s.relapses);
      return true;
  }
  return false;
}

TrafficDirective ZoneEvacuation::DirectiveFor(Seconds now, int zone) const {
  const Zone& z = zones_[static_cast<std::size_t>(zone)];
  constexpr double kSteps = 20;  // of a rising share: the module is told each, and no more
  switch (z.state.phase) {
    case EvacuationPhase::kInService:
      return {};
    case EvacuationPhase::kEvacuating:
      return {options_.evacuating_share, false};
    case EvacuationPhase::kEvacuated:
      return {0, z.is_health_check_relay};
    case EvacuationPhase::kRecovering:
      break;
  }
  const double warm = options_.slow_start_duration > 0
                          ? std::clamp((now - z.state.since) / options_.slow_start_duration, 0.0, 1.0)
                          : 1;
  return {std::floor((options_.slow_start_initial_share + (1 - options_.slow_start_initial_share) * warm) *
                     kSteps) /
              kSteps,
          false};
}

}  // namespace opalroute::zone_failover
