// One relay as a member of its tier: who is there, what all say of the zones, and what follows for the
// decision module. Puts the parts of src/tier and src/zones together; pure, so the laboratory plays hundreds
// of them.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decision/state.h"
#include "membership/membership.h"
#include "zone_failover/operator_override.h"
#include "zone_failover/zone_consensus.h"
#include "zone_failover/zone_evacuation.h"
#include "zone_failover/zone_gossip.h"
#include "zone_failover/zone_health_observer.h"

namespace opalroute::zone_failover {

// A datagram to send.
struct OutgoingDatagram {
  std::optional<membership::Peer> to;  // nothing: to every other relay
  std::string bytes;
};

struct FailoverOptions {
  membership::Options membership;
  ZoneHealthObserver::Options observer;
  ZoneConsensus::Options consensus;
  EvacuationOptions evacuation;
  int zones = 1;
  bool share_quotas = true;        // the module's parts follow the tier's size
  bool evacuate_zones = true;      // zones are left together
  Seconds report_delay = 0.15;     // a report waits up to this, and does not go if others have said enough
  int state_repeats = 3;           // a new stage: so many others have told it
  double reports_per_second = 20;  // of the whole tier, in the mean, while nothing is in question; and ...
  double urgent_reports_per_second = 0.2;  // ... of each relay beyond that, once half a quorum accuses a zone
  Seconds share_growth_interval = 0.5;     // parts grow no more often; they fall at once
  Seconds join_timeout = 0.3;              // a process that starts waits so long for the first word
};

class ZoneFailover {
 public:
  struct Change {  // of a zone's stage
    int zone = 0;
    EvacuationState before, now;
    ZoneView view;
    bool from_peer = false;  // taken over from another relay
  };
  struct OverrideChange {  // by an operator, here or elsewhere
    int zone = 0;
    OperatorOverride operator_override;
    bool from_peer = false;
  };
  struct Actions {
    std::vector<OutgoingDatagram> datagrams;
    std::vector<opalroute::Event> events;  // for the decision module
    std::vector<Change> changes;
    std::vector<OverrideChange> overrides;
  };

  // What an earlier process of this relay left: stages with ages, and orders with what was left of them; by
  // zone, or nothing.
  struct SavedState {
    std::vector<EvacuationState> states;
    std::vector<OperatorOverride> overrides;
  };
  ZoneFailover(const FailoverOptions& rules, std::uint64_t life, std::uint64_t seed, Seconds now,
               const SavedState& kept = {});

  void OnSent(Seconds now, int zone, DestinationId destination, EndpointId endpoint) {
    observer_.OnSent(now, zone, destination, endpoint);
  }
  void OnEnded(Seconds now, int zone, DestinationId destination, EndpointId endpoint, Outcome outcome,
               Seconds duration) {
    observer_.OnEnded(now, zone, destination, endpoint, outcome, duration);
  }
  // False: these bytes are none of the tier's.
  bool HandleMessage(Seconds now, membership::Peer from, std::string_view bytes, Actions& out);
  void OnUnreachable(Seconds now, membership::Peer peer) { membership_.OnUnreachable(now, peer); }
  // To be called every `kTickInterval`.
  void Tick(Seconds now, Actions& out);
  void AnnounceLeave(Actions& out);
  // An operator's order to this relay: it is told to all. False: zones are not left together here, or there
  // is no such zone.
  bool ApplyOverride(Seconds now, int zone, OverrideKind what, Seconds lasts, Actions& out);

  // Word has come, or none will: clients may be let in.
  bool HasJoined(Seconds now) const;
  const membership::Membership& membership() const { return membership_; }
  const EvacuationState& StateOf(int zone) const { return evacuation_.Of(zone); }
  ZoneView ViewOf(Seconds now, int zone) const { return consensus_.ViewOf(now, zone); }
  zone_failover::TrafficDirective DirectiveFor(Seconds now, int zone) const {
    return evacuation_.DirectiveFor(now, zone);
  }
  const OperatorOverride& OverrideOf(int zone) const { return overrides_.Of(zone); }
  OverrideKind ActiveOverride(Seconds now, int zone) const { return overrides_.InForce(now, zone); }
  int zones() const { return options_.zones; }
  SavedState Save(Seconds now) const;  // for the next process

  static constexpr Seconds kTickInterval = 0.05;

 private:
  static constexpr double kBurst = 2;  // reports that may go at once
  struct Zone {
    Seconds reported_at = -1e9;  // the newest sight that has been told
    Seconds accused_at = -1e9;   // since then others accuse it, or it is being left
    bool is_accused = false;
    // Of the stage that this relay has come to by itself: others that were heard to be in it; or nothing to
    // tell.
    std::optional<int> same_state_peers;
    zone_failover::TrafficDirective published;
  };
  ZoneGossip MakeGossip(Seconds now, bool report) const;
  Report OwnReport(Seconds now) const;
  void WriteMessages(Seconds now, std::vector<membership::OutgoingMessage>& notes, Actions& out);
  bool IsAnotherZoneEvacuated(int zone) const;
  bool HasUnreportedFailure(Seconds now, int zone) const;
  bool IsReportRedundant(Seconds now) const;
  bool HasStateToSpread() const;
  bool IsUrgent(Seconds now) const;
  bool MayReport(Seconds now);
  bool IsQuiet(Seconds now) const;
  void ReportIfDue(Seconds now, Actions& out);
  void PublishDirectives(Seconds now, Actions& out);
  void MergeGossip(Seconds now, const ZoneGossip& said, Actions& out);
  void Broadcast(Seconds now, Actions& out);
  std::vector<EvacuationState> StatesByAge(Seconds now) const;

  const FailoverOptions options_;
  const std::uint64_t incarnation_;
  const Seconds started_;
  Random random_;
  membership::Membership membership_;
  ZoneHealthObserver observer_;
  ZoneConsensus consensus_;
  ZoneEvacuation evacuation_;
  OperatorOverrides overrides_;
  std::vector<Zone> zones_;
  TokenBucket report_bucket_{kBurst, 0}, urgent_bucket_{kBurst, 0};  // for reports
  Seconds next_report_at_ = kNever;
  std::uint64_t own_reports_ = 0;
  double published_share_count_ = 0;
  Seconds published_share_count_at_ = -1e9;
};

}  // namespace opalroute::zone_failover
