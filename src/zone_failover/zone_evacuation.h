// The stages of leaving a zone and of returning to it. Pure. A stage is ordered by its round and, within the
// round, by its step: whoever hears of a later one takes it over, so notes may be lost, doubled or out of
// order.
//
//   in -> leaving -> out -> returning -> in      a question (leaving) begins a new round, and so does out
//            \-> in (contradicted, or never agreed)
// Danger: who was frozen or cut off while others agreed withdraws the question that they have answered. As
// out begins a round, no withdrawal is later than it. By hand: `leave` brings it to out, and there it stays,
// untried, until the order ends; `keep` lets it return and holds it in.
#pragma once

#include <cstdint>
#include <vector>

#include "membership/message.h"
#include "zone_failover/operator_override.h"
#include "zone_failover/zone_consensus.h"

namespace opalroute::zone_failover {

enum class EvacuationPhase {
  kEvacuating,
  kEvacuated,
  kRecovering,
  kInService
};  // in their order within a round
const char* NameOf(EvacuationPhase step);

struct EvacuationState {
  std::uint64_t round = 0;
  EvacuationPhase phase = EvacuationPhase::kInService;
  int relapses = 0;   // in a row
  Seconds since = 0;  // as a time of the own clock
  bool Before(const EvacuationState& other) const {
    return round != other.round ? round < other.round : phase < other.phase;
  }
};

struct EvacuationOptions {
  Seconds confirm_time = 0.15;      // a zone is being left once it has been agreed for so long
  Seconds evacuating_time = 0.5;    // and left once it has still been agreed after that
  Seconds undecided_time = 2;       // being left for longer, it is in again
  double evacuating_share = 0.5;    // of the ordinary sends meanwhile
  Seconds min_evacuated_time = 1;   // before a return; doubled with each relapse in a row ...
  Seconds max_evacuated_time = 16;  // ... up to this
  Seconds healthy_time = 1;         // scouts are served for so long before the return
  int health_check_relays = 3;
  double slow_start_initial_share = 0.22;  // the settings' figures of endpoints that come back
  Seconds slow_start_duration = 13;
  Seconds relapse_reset_time = 60;  // in for so long, its relapses are forgotten
};

// What the decision module is told.
struct TrafficDirective {
  double traffic_share = 1;            // of the ordinary sends; 0: none while there is another zone
  bool is_health_check_relay = false;  // this relay tries it
  bool operator==(const TrafficDirective& o) const {
    return traffic_share == o.traffic_share && is_health_check_relay == o.is_health_check_relay;
  }
};

class ZoneEvacuation {
 public:
  ZoneEvacuation(const EvacuationOptions& rules, int zones, membership::Peer own);

  // What others say, or what was kept over a restart. True: it was later, and is taken over.
  bool Merge(Seconds now, int zone, const EvacuationState& stage);
  // What is so by now.
  struct Facts {
    bool failing = false;       // agreed
    bool contradicted = false;  // by as many as it takes
    ZoneObservation own_observation;
    std::vector<membership::Peer> alive;
    OverrideKind override_kind{};  // of the operators, in force
  };
  // True: the stage has changed.
  bool Tick(Seconds now, int zone, const Facts& facts);
  const EvacuationState& Of(int zone) const { return zones_[static_cast<std::size_t>(zone)].state; }
  TrafficDirective DirectiveFor(Seconds now, int zone) const;

 private:
  struct Zone {
    EvacuationState state;
    Seconds failing_since = -1;  // below 0: it is not
    bool is_health_check_relay = false;
    // Out: the first call of this relay that was served since, with none that was not after it; below 0:
    // none.
    Seconds served_since = -1;
  };
  bool IsHealthy(Zone& zone, const ZoneObservation& own) const;
  void Enter(Seconds now, Zone& zone, std::uint64_t round, EvacuationPhase step, int relapses);
  bool UpdateFailing(Seconds now, Zone& zone, const Facts& facts);
  bool ApplyOverride(Seconds now, Zone& zone, OverrideKind order);

  const EvacuationOptions options_;
  const membership::Peer own_;
  std::vector<Zone> zones_;
};

// The scouts of a zone in a round: those of the live tier that rank first (rendezvous hashing).
std::vector<membership::Peer> HealthCheckRelaysOf(const std::vector<membership::Peer>& live, int zone,
                                                  std::uint64_t round, int scouts);

}  // namespace opalroute::zone_failover
