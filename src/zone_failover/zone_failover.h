// Zone failover of one relay: joins membership, the relay's own observations, the fleet's consensus, the
// evacuation of zones and operators' overrides. Time, datagrams and calls are handed in; datagrams to send
// and events for the request router are handed out. Without I/O, so the laboratory simulates hundreds of
// relays. docs/membership.md and docs/zone-failover.md describe both.
#pragma once

#include <string_view>
#include <vector>

#include "membership/membership.h"
#include "opalroute/events.h"
#include "zone_failover/directive_publisher.h"
#include "zone_failover/failover_options.h"
#include "zone_failover/gossip_composer.h"
#include "zone_failover/operator_override.h"
#include "zone_failover/report_scheduler.h"
#include "zone_failover/zone_consensus.h"
#include "zone_failover/zone_evacuation.h"
#include "zone_failover/zone_gossip.h"
#include "zone_failover/zone_health_observer.h"

namespace opalroute::zone_failover {

class ZoneFailover {
 public:
  static constexpr Seconds kTickInterval = 0.05;

  // A change of a zone's evacuation state.
  struct Change {
    int zone = 0;
    EvacuationState before;
    EvacuationState after;
    ZoneView view;           // at the time of the change
    bool from_peer = false;  // adopted from another relay
  };

  // An override that an operator has issued, here or at another relay.
  struct OverrideChange {
    int zone = 0;
    OperatorOverride operator_override;
    bool from_peer = false;  // adopted from another relay
  };

  // What the caller has to do.
  struct Actions {
    std::vector<OutgoingDatagram> datagrams;
    std::vector<opalroute::Event> events;  // for the request router
    std::vector<Change> changes;
    std::vector<OverrideChange> overrides;
  };

  // What a relay persists over restarts: by zone, with ages and remaining times in place of times; or empty.
  struct SavedState {
    std::vector<EvacuationState> states;
    std::vector<OperatorOverride> overrides;
  };

  // `incarnation`: greater than that of every earlier process of this relay.
  ZoneFailover(const FailoverOptions& options, std::uint64_t incarnation, std::uint64_t seed, Seconds now,
               const SavedState& saved = {});
  ZoneFailover(const ZoneFailover&) = delete;
  ZoneFailover& operator=(const ZoneFailover&) = delete;

  void OnSent(Seconds now, int zone, DestinationId destination, EndpointId endpoint);

  // A call or health check that was sent `duration` ago.
  void OnEnded(Seconds now, int zone, DestinationId destination, EndpointId endpoint, Outcome outcome,
               Seconds duration);

  // False: the bytes are no membership message.
  bool HandleMessage(Seconds now, membership::Peer from, std::string_view bytes, Actions& out);

  // The host of `peer` answered a datagram with 'port unreachable'.
  void OnUnreachable(Seconds now, membership::Peer peer);

  // To be called every kTickInterval.
  void Tick(Seconds now, Actions& out);

  // The process is about to end.
  void AnnounceLeave(Actions& out);

  // An operator's command to this relay, which gossips it to all. False: there is no such zone, or
  // `evacuate_zones` is off.
  bool ApplyOverride(Seconds now, int zone, OverrideKind kind, Seconds duration, Actions& out);

  // Some relay has acknowledged this process, or the wait for it has timed out: clients may be admitted.
  bool HasJoined(Seconds now) const;

  const membership::Membership& membership() const { return membership_; }
  const EvacuationState& StateOf(int zone) const { return evacuation_.StateOf(zone); }
  ZoneView ViewOf(Seconds now, int zone) const { return consensus_.ViewOf(now, zone); }
  TrafficDirective DirectiveFor(Seconds now, int zone) const { return evacuation_.DirectiveFor(now, zone); }
  const OperatorOverride& OverrideOf(int zone) const { return overrides_.Get(zone); }
  OverrideKind ActiveOverride(Seconds now, int zone) const { return overrides_.InForce(now, zone); }
  int zones() const { return options_.zones; }
  SavedState Save(Seconds now) const;

 private:
  void RestoreOverrides(Seconds now, const std::vector<OperatorOverride>& saved);
  void RestoreStates(Seconds now, const std::vector<EvacuationState>& saved);
  void MergeGossip(Seconds now, const ZoneGossip& gossip, Actions& out);
  void MergeState(Seconds now, int zone, EvacuationState received, Actions& out);
  void MergeOverride(Seconds now, int zone, OperatorOverride received, Actions& out);
  void TickZones(Seconds now, Actions& out);
  void TickZone(Seconds now, int zone, double share_count, const std::vector<membership::Peer>& alive,
                Actions& out);
  std::vector<membership::Peer> AliveMembersIfNeeded(Seconds now) const;
  ZoneConsensus::FleetState FleetStateFor(int zone, double share_count) const;
  bool IsAnotherZoneEvacuated(int zone) const;
  void Send(Seconds now, const std::vector<membership::OutgoingMessage>& messages, Actions& out);
  void Broadcast(Seconds now, Actions& out);
  void PublishDirectives(Seconds now, Actions& out);

  const FailoverOptions options_;
  const std::uint64_t incarnation_;
  const Seconds started_;
  membership::Membership membership_;
  ZoneHealthObserver observer_;
  ZoneConsensus consensus_;
  ZoneEvacuation evacuation_;
  OperatorOverrides overrides_;
  ReportScheduler scheduler_;
  DirectivePublisher publisher_;
  std::uint64_t own_reports_ = 0;  // sequence of the own reports to the consensus
};

}  // namespace opalroute::zone_failover
