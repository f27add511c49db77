#include "zone_failover/zone_evacuation.h"

#include <algorithm>
#include <cmath>

#include "decision/random.h"

namespace opalroute::zone_failover {

namespace {

constexpr int kMaxDoublings = 10;      // of min_evacuated_time
constexpr double kRecoverySteps = 20;  // the growing share is rounded down to a multiple of 1/20
constexpr std::uint64_t kHashMultiplier = 0x9e3779b97f4a7c15ULL;
constexpr int kRoundShift = 20;  // keeps the round apart from the zone, which is in the low bits

struct RankedPeer {
  double rank = 0;
  membership::Peer peer = 0;

  bool operator<(const RankedPeer& other) const {
    return rank != other.rank ? rank < other.rank : peer < other.peer;
  }
};

}  // namespace

const char* NameOf(EvacuationPhase phase) {
  constexpr const char* kNames[] = {"leaving", "out", "returning", "in"};
  return kNames[static_cast<int>(phase)];
}

bool EvacuationState::IsOlderThan(const EvacuationState& other) const {
  return round != other.round ? round < other.round : phase < other.phase;
}

bool TrafficDirective::operator==(const TrafficDirective& other) const {
  return traffic_share == other.traffic_share && is_health_check_relay == other.is_health_check_relay;
}

std::vector<membership::Peer> HealthCheckRelaysOf(const std::vector<membership::Peer>& alive, int zone,
                                                  std::uint64_t round, int count) {
  std::vector<RankedPeer> ranked;
  ranked.reserve(alive.size());
  for (const membership::Peer peer : alive) {
    decision::Random hash(static_cast<std::uint64_t>(peer) * kHashMultiplier ^ round << kRoundShift ^
                          static_cast<std::uint64_t>(zone));
    ranked.push_back({hash.Uniform(), peer});
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), static_cast<std::size_t>(count)));
  std::vector<membership::Peer> chosen;
  chosen.reserve(ranked.size());
  for (const RankedPeer& entry : ranked) chosen.push_back(entry.peer);
  return chosen;
}

ZoneEvacuation::ZoneEvacuation(const EvacuationOptions& options, int zones, membership::Peer own_peer)
    : options_(options), own_peer_(own_peer), zones_(static_cast<std::size_t>(zones)) {}

const EvacuationState& ZoneEvacuation::StateOf(int zone) const {
  return zones_[static_cast<std::size_t>(zone)].state;
}

void ZoneEvacuation::Enter(Seconds now, Zone& zone, std::uint64_t round, EvacuationPhase phase,
                           int relapses) {
  zone.state = {round, phase, relapses, now};
  zone.is_health_check_relay = false;
  zone.served_since = -1;
}

bool ZoneEvacuation::Merge(Seconds now, int zone, const EvacuationState& received) {
  Zone& entry = zones_[static_cast<std::size_t>(zone)];
  if (entry.state.IsOlderThan(received)) {
    entry.state = received;
    entry.state.since = std::min(now, received.since);
    entry.is_health_check_relay = false;
    entry.served_since = -1;
    return true;
  }
  // The earliest start of the same state is the most accurate: gossip rounds ages down and takes time to
  // arrive.
  if (!received.IsOlderThan(entry.state)) entry.state.since = std::min(entry.state.since, received.since);
  return false;
}

bool ZoneEvacuation::IsConfirmedFailing(Seconds now, Zone& zone, bool is_failing) {
  if (!is_failing) {
    zone.failing_since = -1;
    return false;
  }
  if (zone.failing_since < 0) zone.failing_since = now;
  return now - zone.failing_since >= options_.confirm_time;
}

// Only successes of calls sent in this phase count. A relay that saw no failure, because the zone was
// evacuated on the reports of others or by an operator, may have had successes for a long time before.
bool ZoneEvacuation::IsHealthy(Zone& zone, const ZoneObservation& own) const {
  if (own.failure_at >= zone.served_since) zone.served_since = -1;
  if (own.success_at <= std::max(zone.state.since, own.failure_at)) return false;
  if (zone.served_since < 0) zone.served_since = own.success_at;
  return own.success_at - zone.served_since >= options_.healthy_time;
}

// Returns whether the state has changed. The new state is later than the old one, so relays that do not know
// the override adopt it, too.
bool ZoneEvacuation::ApplyOverride(Seconds now, Zone& zone, OverrideKind kind) {
  const EvacuationState state = zone.state;
  const bool is_evacuated = state.phase == EvacuationPhase::kEvacuated;
  if (kind == OverrideKind::kEvacuate && !is_evacuated) {
    Enter(now, zone, state.round + 1, EvacuationPhase::kEvacuated, state.relapses);
    return true;
  }
  if (kind == OverrideKind::kKeepInService && state.phase == EvacuationPhase::kEvacuating) {
    Enter(now, zone, state.round, EvacuationPhase::kInService, state.relapses);
    return true;
  }
  if (kind == OverrideKind::kKeepInService && is_evacuated) {
    // With slow start, because its endpoints may have to warm up.
    Enter(now, zone, state.round, EvacuationPhase::kRecovering, state.relapses);
    return true;
  }
  return false;
}

bool ZoneEvacuation::Tick(Seconds now, int zone, const Inputs& inputs) {
  Zone& entry = zones_[static_cast<std::size_t>(zone)];
  if (ApplyOverride(now, entry, inputs.override_kind)) return true;
  switch (entry.state.phase) {
    case EvacuationPhase::kInService:
      return TickInService(now, entry, inputs);
    case EvacuationPhase::kEvacuating:
      return TickEvacuating(now, entry, inputs);
    case EvacuationPhase::kEvacuated:
      return TickEvacuated(now, zone, entry, inputs);
    case EvacuationPhase::kRecovering:
      return TickRecovering(now, entry, inputs);
  }
  return false;
}

bool ZoneEvacuation::TickInService(Seconds now, Zone& zone, const Inputs& inputs) {
  EvacuationState& state = zone.state;
  if (state.relapses > 0 && now - state.since > options_.relapse_reset_time) state.relapses = 0;
  if (inputs.override_kind == OverrideKind::kKeepInService) return false;
  if (!IsConfirmedFailing(now, zone, inputs.is_failing)) return false;
  Enter(now, zone, state.round + 1, EvacuationPhase::kEvacuating, state.relapses);
  return true;
}

// Within `evacuating_time`, relays whose calls into the zone succeed contradict the failure reports.
bool ZoneEvacuation::TickEvacuating(Seconds now, Zone& zone, const Inputs& inputs) {
  const EvacuationState state = zone.state;
  const bool may_decide = now - state.since >= options_.evacuating_time;
  if (may_decide && inputs.is_failing) {
    Enter(now, zone, state.round + 1, EvacuationPhase::kEvacuated, state.relapses);
    return true;
  }
  const bool is_undecided = now - state.since >= options_.max_evacuating_time;
  if (is_undecided || (may_decide && inputs.is_contradicted)) {
    Enter(now, zone, state.round, EvacuationPhase::kInService, state.relapses);
    return true;
  }
  return false;
}

bool ZoneEvacuation::TickEvacuated(Seconds now, int index, Zone& zone, const Inputs& inputs) {
  const EvacuationState state = zone.state;
  zone.is_health_check_relay = false;
  if (inputs.override_kind == OverrideKind::kEvacuate) return false;
  const std::vector<membership::Peer> relays =
      HealthCheckRelaysOf(inputs.alive, index, state.round, options_.health_check_relays);
  zone.is_health_check_relay = std::find(relays.begin(), relays.end(), own_peer_) != relays.end();
  const Seconds min_time =
      std::min(options_.max_evacuated_time,
               options_.min_evacuated_time * std::exp2(std::min(state.relapses, kMaxDoublings)));
  if (!IsHealthy(zone, inputs.own_observation) || now - state.since < min_time) return false;
  Enter(now, zone, state.round, EvacuationPhase::kRecovering, state.relapses);
  return true;
}

bool ZoneEvacuation::TickRecovering(Seconds now, Zone& zone, const Inputs& inputs) {
  const EvacuationState state = zone.state;
  if (inputs.override_kind != OverrideKind::kKeepInService &&
      IsConfirmedFailing(now, zone, inputs.is_failing)) {
    Enter(now, zone, state.round + 1, EvacuationPhase::kEvacuated, state.relapses + 1);
    return true;
  }
  if (now - state.since < options_.slow_start_duration) return false;
  Enter(now, zone, state.round, EvacuationPhase::kInService, state.relapses);
  return true;
}

TrafficDirective ZoneEvacuation::DirectiveFor(Seconds now, int zone) const {
  const Zone& entry = zones_[static_cast<std::size_t>(zone)];
  switch (entry.state.phase) {
    case EvacuationPhase::kInService:
      return {};
    case EvacuationPhase::kEvacuating:
      return {options_.evacuating_share, false};
    case EvacuationPhase::kEvacuated:
      return {0, entry.is_health_check_relay};
    case EvacuationPhase::kRecovering:
      break;
  }
  const double progress = options_.slow_start_duration > 0
                              ? std::clamp((now - entry.state.since) / options_.slow_start_duration, 0.0, 1.0)
                              : 1;
  const double share = options_.slow_start_initial_share + (1 - options_.slow_start_initial_share) * progress;
  return {std::floor(share * kRecoverySteps) / kRecoverySteps, false};
}

}  // namespace opalroute::zone_failover
