#include "zones/stages.h"

#include <algorithm>
#include <cmath>

#include "parts.h"

namespace opalroute::zones {

const char* NameOf(Step step) {
  constexpr const char* kNames[] = {"leaving", "out", "returning", "in"};
  return kNames[static_cast<int>(step)];
}

std::vector<tier::Peer> ScoutsOf(const std::vector<tier::Peer>& live, int zone, std::uint64_t round,
                                 int scouts) {
  std::vector<std::pair<double, tier::Peer>> ranked;
  for (const tier::Peer peer : live) {
    Random draw(static_cast<std::uint64_t>(peer) * 0x9e3779b97f4a7c15ULL ^ round << 20 ^
                static_cast<std::uint64_t>(zone));
    ranked.emplace_back(draw.Unit(), peer);
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), static_cast<std::size_t>(scouts)));
  std::vector<tier::Peer> named;
  for (const auto& [rank, peer] : ranked) named.push_back(peer);
  return named;
}

Stages::Stages(const StageRules& rules, int zones, tier::Peer own)
    : rules_(rules), own_(own), zones_(static_cast<std::size_t>(zones)) {}

void Stages::Enter(Seconds now, Zone& zone, std::uint64_t round, Step step, int relapses) {
  zone.stage = {round, step, relapses, now};
  zone.scout = false;
  zone.served_since = -1;
}

bool Stages::Hear(Seconds now, int zone, const Stage& stage) {
  Zone& z = zones_[static_cast<std::size_t>(zone)];
  if (z.stage.Before(stage)) {
    z.stage = stage;
    z.stage.since = std::min(now, stage.since);
    z.scout = false;
    z.served_since = -1;
    return true;
  }
  // The same one: the earliest beginning is the true one, as ages are rounded down and notes take time.
  if (!stage.Before(z.stage)) z.stage.since = std::min(z.stage.since, stage.since);
  return false;
}

bool Stages::Leaves(Seconds now, Zone& z, const Facts& facts) {
  if (!facts.failing) {
    z.failing_since = -1;
    return false;
  }
  if (z.failing_since < 0) z.failing_since = now;
  return now - z.failing_since >= rules_.agreed_for;
}

// Danger: who has met no bad call there, as the zone was left on others' words or by hand, has been served
// since long before: only what is served in this stage says that it serves again.
bool Stages::Serves(Zone& z, const Sight& own) const {
  if (own.bad_at >= z.served_since) z.served_since = -1;
  if (own.good_at <= std::max(z.stage.since, own.bad_at)) return false;
  if (z.served_since < 0) z.served_since = own.good_at;
  return own.good_at - z.served_since >= rules_.served_for;
}

// True: the stage has changed. Whoever does not know the order hears a stage that is later than its own.
bool Stages::Obey(Seconds now, Zone& z, ByHand order) {
  const Stage s = z.stage;
  if (order == ByHand::kLeave && s.step != Step::kOut) {
    Enter(now, z, s.round + 1, Step::kOut, s.relapses);
  } else if (order == ByHand::kKeep && s.step == Step::kLeaving) {
    Enter(now, z, s.round, Step::kIn, s.relapses);
  } else if (order == ByHand::kKeep && s.step == Step::kOut) {
    Enter(now, z, s.round, Step::kReturning, s.relapses);  // its endpoints may be cold all the same
  } else {
    return false;
  }
  return true;
}

bool Stages::Tick(Seconds now, int zone, const Facts& facts) {
  Zone& z = zones_[static_cast<std::size_t>(zone)];
  if (Obey(now, z, facts.order)) return true;
  const Stage s = z.stage;
  switch (s.step) {
    case Step::kIn:
      if (s.relapses > 0 && now - s.since > rules_.calm) z.stage.relapses = 0;
      if (facts.order == ByHand::kKeep || !Leaves(now, z, facts)) return false;
      Enter(now, z, s.round + 1, Step::kLeaving, z.stage.relapses);
      return true;
    case Step::kLeaving:
      // Whoever is served there since says so within the time that this lasts.
      if (now - s.since >= rules_.leaving && facts.failing)
        return Enter(now, z, s.round + 1, Step::kOut, s.relapses), true;
      if (now - s.since >= rules_.undecided || (now - s.since >= rules_.leaving && facts.contradicted))
        return Enter(now, z, s.round, Step::kIn, s.relapses), true;
      return false;
    case Step::kOut: {
      z.scout = false;
      if (facts.order == ByHand::kLeave) return false;
      const std::vector<tier::Peer> scouts = ScoutsOf(facts.live, zone, s.round, rules_.scouts);
      z.scout = std::find(scouts.begin(), scouts.end(), own_) != scouts.end();
      const Seconds least = std::min(rules_.most_out, rules_.least_out * std::exp2(std::min(s.relapses, 10)));
      if (!Serves(z, facts.own) || now - s.since < least) return false;
      Enter(now, z, s.round, Step::kReturning, s.relapses);
      return true;
    }
    case Step::kReturning:
      if (facts.order != ByHand::kKeep && Leaves(now, z, facts))
        return Enter(now, z, s.round + 1, Step::kOut, s.relapses + 1), true;
      if (now - s.since < rules_.ramp) return false;
      Enter(now, z, s.round, Step::kIn, s.relapses);
      return true;
  }
  return false;
}

Order Stages::OrderFor(Seconds now, int zone) const {
  const Zone& z = zones_[static_cast<std::size_t>(zone)];
  constexpr double kSteps = 20;  // of a rising share: the module is told each, and no more
  switch (z.stage.step) {
    case Step::kIn:
      return {};
    case Step::kLeaving:
      return {rules_.leaving_share, false};
    case Step::kOut:
      return {0, z.scout};
    case Step::kReturning:
      break;
  }
  const double warm = rules_.ramp > 0 ? std::clamp((now - z.stage.since) / rules_.ramp, 0.0, 1.0) : 1;
  return {std::floor((rules_.cold_from + (1 - rules_.cold_from) * warm) * kSteps) / kSteps, false};
}

}  // namespace opalroute::zones
