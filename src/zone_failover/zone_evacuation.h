// The evacuation of each zone, as a state machine that all relays share by gossip. Does no I/O. States are
// ordered by round and, within a round, by phase. A relay adopts any later state, so messages may be lost,
// duplicated or reordered.
//
//   in service -> evacuating -> evacuated -> recovering -> in service        relapse: recovering -> evacuated
//                      \-> in service (contradicted or undecided)
//
// The phases "evacuating" and "evacuated" each begin a new round. Invariant: the return from "evacuating" to
// "in service" stays in its round, so it is never later than "evacuated". Otherwise a relay that was frozen
// or partitioned while the others agreed would cancel the evacuation for all.
//
// The operator override kEvacuate leads to "evacuated", without health checks until it expires.
// kKeepInService leads back into service.
#pragma once

#include <cstdint>
#include <vector>

#include "membership/message.h"
#include "zone_failover/operator_override.h"
#include "zone_failover/zone_consensus.h"

namespace opalroute::zone_failover {

// In the order of phases within a round. Gossip and the state file contain the numeric values.
enum class EvacuationPhase {
  kEvacuating,  // the fleet reduces its traffic until the consensus is confirmed
  kEvacuated,   // no traffic except by health-check relays
  kRecovering,  // traffic grows by slow start
  kInService
};

// The name of a phase in logs and on the operators' pages.
const char* NameOf(EvacuationPhase phase);

struct EvacuationState {
  std::uint64_t round = 0;
  EvacuationPhase phase = EvacuationPhase::kInService;
  int relapses = 0;   // in a row
  Seconds since = 0;  // on this relay's clock; in gossip and in the state file, the age of the phase

  bool IsOlderThan(const EvacuationState& other) const;
};

struct EvacuationOptions {
  Seconds confirm_time = 0.15;      // a consensus must last this long to begin an evacuation
  Seconds evacuating_time = 0.5;    // and must still hold after this to complete it
  Seconds max_evacuating_time = 2;  // an undecided evacuation is cancelled after this
  double evacuating_share = 0.5;    // of the traffic, while evacuating
  Seconds min_evacuated_time = 1;   // before recovery; doubled with each relapse in a row
  Seconds max_evacuated_time = 16;  // upper bound of the doubled time
  Seconds healthy_time = 1;         // health checks must succeed for this long before recovery
  int health_check_relays = 3;
  double slow_start_initial_share = 0.22;  // of the traffic, at the start of recovery
  Seconds slow_start_duration = 13;        // of recovery
  Seconds relapse_reset_time = 60;         // relapses are forgotten after this long in service
};

// How the request router is to treat a zone.
struct TrafficDirective {
  double traffic_share = 1;            // of ordinary sends, 0 to 1
  bool is_health_check_relay = false;  // this relay health-checks the evacuated zone

  bool operator==(const TrafficDirective& other) const;
};

class ZoneEvacuation {
 public:
  ZoneEvacuation(const EvacuationOptions& options, int zones, membership::Peer own_peer);

  // Adopts `received`, from gossip or the state file and with `since` on this relay's clock, if it is later
  // than the known state. Returns whether it was adopted.
  bool Merge(Seconds now, int zone, const EvacuationState& received);

  // What the next phase depends on.
  struct Inputs {
    bool is_failing = false;       // ZoneConsensus::IsFailing
    bool is_contradicted = false;  // ZoneConsensus::IsContradicted
    ZoneObservation own_observation;
    std::vector<membership::Peer> alive;  // needed only for an evacuated zone
    OverrideKind override_kind{};         // OperatorOverrides::ActiveKind
  };

  // Returns whether the state has changed.
  bool Tick(Seconds now, int zone, const Inputs& inputs);

  const EvacuationState& StateOf(int zone) const;
  int zones() const { return static_cast<int>(zones_.size()); }
  TrafficDirective DirectiveFor(Seconds now, int zone) const;

 private:
  struct Zone {
    EvacuationState state;
    Seconds failing_since = -1;  // negative: not failing
    // This relay's first success while evacuated that no failure has followed; negative: none.
    Seconds served_since = -1;
    bool is_health_check_relay = false;
  };

  void Enter(Seconds now, Zone& zone, std::uint64_t round, EvacuationPhase phase, int relapses);
  bool ApplyOverride(Seconds now, Zone& zone, OverrideKind kind);
  bool TickInService(Seconds now, Zone& zone, const Inputs& inputs);
  bool TickEvacuating(Seconds now, Zone& zone, const Inputs& inputs);
  bool TickEvacuated(Seconds now, int index, Zone& zone, const Inputs& inputs);
  bool TickRecovering(Seconds now, Zone& zone, const Inputs& inputs);
  bool IsConfirmedFailing(Seconds now, Zone& zone, bool is_failing);
  bool IsHealthy(Zone& zone, const ZoneObservation& own) const;

  const EvacuationOptions options_;
  const membership::Peer own_peer_;
  std::vector<Zone> zones_;
};

// The health-check relays of a zone in a round: the first `count` alive members by rendezvous hashing, so
// that relays that know the same members choose the same ones.
std::vector<membership::Peer> HealthCheckRelaysOf(const std::vector<membership::Peer>& alive, int zone,
                                                  std::uint64_t round, int count);

}  // namespace opalroute::zone_failover
