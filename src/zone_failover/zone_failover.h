// Zone failover of one relay: combines membership, the relay's own observations, the fleet's consensus, the
// evacuation of zones and operators' overrides. The caller passes in the time, received datagrams and the
// calls of this relay, and gets datagrams to send and events for the request router. Does no I/O, so the
// laboratory can simulate hundreds of relays. See docs/membership.md and docs/zone-failover.md.
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

  // What the caller has to carry out.
  struct Actions {
    std::vector<OutgoingDatagram> datagrams;  // to send
    std::vector<opalroute::Event> events;     // for the request router
    std::vector<Change> changes;              // to save and log
    std::vector<OverrideChange> overrides;    // to save and log
  };

  // What a relay persists across restarts, by zone, with ages and remaining times in place of points in time.
  // Either vector may be empty.
  struct SavedState {
    std::vector<EvacuationState> states;
    std::vector<OperatorOverride> overrides;
  };

  // `incarnation` must be greater than that of every earlier process of this relay.
  ZoneFailover(const FailoverOptions& options, std::uint64_t incarnation, std::uint64_t seed, Seconds now,
               const SavedState& saved = {});
  ZoneFailover(const ZoneFailover&) = delete;
  ZoneFailover& operator=(const ZoneFailover&) = delete;

  void OnSent(Seconds now, int zone, DestinationId destination, EndpointId endpoint);

  // A call or health check has ended that was sent `duration` ago.
  void OnEnded(Seconds now, int zone, DestinationId destination, EndpointId endpoint, Outcome outcome,
               Seconds duration);

  // Handles a datagram of `from`. Returns false if the bytes are not a membership message.
  bool HandleMessage(Seconds now, membership::Peer from, std::string_view bytes, Actions& out);

  // The host of `peer` answered a datagram with 'port unreachable'.
  void OnUnreachable(Seconds now, membership::Peer peer);

  // Call every kTickInterval.
  void Tick(Seconds now, Actions& out);

  // Tells the other relays that this process is about to end.
  void AnnounceLeave(Actions& out);

  // Applies an operator's command to this relay and gossips it to all. Returns false if there is no such zone
  // or `evacuate_zones` is off.
  bool ApplyOverride(Seconds now, int zone, OverrideKind kind, Seconds duration, Actions& out);

  // Whether clients may be admitted: some relay has acknowledged this process, or the wait for that has timed
  // out, or there is no other relay.
  bool HasJoined(Seconds now) const;

  const membership::Membership& membership() const { return membership_; }
  const EvacuationState& StateOf(int zone) const { return evacuation_.StateOf(zone); }
  ZoneView ViewOf(Seconds now, int zone) const { return consensus_.ViewOf(now, zone); }
  TrafficDirective DirectiveFor(Seconds now, int zone) const { return evacuation_.DirectiveFor(now, zone); }
  const OperatorOverride& OverrideOf(int zone) const { return overrides_.Get(zone); }
  OverrideKind ActiveOverride(Seconds now, int zone) const { return overrides_.ActiveKind(now, zone); }
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
  bool IsAnotherZoneOutOfService(int zone) const;
  void Send(Seconds now, const std::vector<membership::OutgoingMessage>& messages, Actions& out);
  void Broadcast(Seconds now, Actions& out);
  void PublishDirectives(Seconds now, Actions& out);

  const FailoverOptions options_;
  const std::uint64_t incarnation_;
  const Seconds started_at_;
  membership::Membership membership_;
  ZoneHealthObserver observer_;
  ZoneConsensus consensus_;
  ZoneEvacuation evacuation_;
  OperatorOverrides overrides_;
  ReportScheduler scheduler_;
  DirectivePublisher publisher_;
  std::uint64_t own_report_sequence_ = 0;  // of the latest report to this relay's own consensus
};

}  // namespace opalroute::zone_failover
