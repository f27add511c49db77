// Runs membership and zone failover in a relay: passes time, datagrams and call outcomes to ZoneFailover, and
// its results to the decision module, the other relays, the log and the state folder.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "config/config.h"
#include "config/operator_settings.h"
#include "journal/persistent_clock.h"
#include "net/event_loop.h"
#include "relay/endpoint_table.h"
#include "relay/membership_file.h"
#include "relay/zones_page.h"
#include "zone_failover/zone_failover.h"

namespace opalroute {

class MembershipHost {
 public:
  // The operations that the host needs from the relay.
  class Owner {
   public:
    virtual ~Owner() = default;

    // Posts an event to the decision module.
    virtual void PostMembershipEvent(Event event) = 0;

    // Sends a datagram to one peer, or to all other relays if `peer` is empty.
    virtual void SendGossipPayload(std::optional<int> peer, const std::string& payload) = 0;
  };

  // Reads the state file and writes the new incarnation to it. All references must outlive the host.
  MembershipHost(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                 const OperatorSettings::Fleet& settings, const EndpointTable& endpoints, Owner& owner);
  ~MembershipHost();
  MembershipHost(const MembershipHost&) = delete;
  MembershipHost& operator=(const MembershipHost&) = delete;

  // Handles a datagram from a peer. Returns false if it is not a membership message.
  bool OnGossip(int peer, std::string_view bytes);

  // The host of `peer` has answered a datagram with ICMP 'port unreachable'.
  void OnUnreachable(int peer);

  // An attempt or a health check has been sent to the endpoint.
  void OnSent(EndpointId endpoint);

  // Handles outcomes of attempts and of health checks, and ignores other events.
  void OnEvent(const Event& event);

  // Tells the peers that this process is about to end.
  void Leave();

  // Executes an operator's command. Returns false if the zone is unknown or zone failover is disabled.
  bool ApplyCommand(const std::string& zone, zone_failover::OverrideKind kind, Seconds duration);

  // Whether this relay has joined the fleet, or has waited long enough for it, and may accept clients'
  // requests.
  bool HasJoined() const { return failover_.HasJoined(loop_.Now()); }

  // The content of GET /zones.
  nlohmann::ordered_json ToJson() const;

 private:
  static zone_failover::FailoverOptions OptionsOf(const Config& config,
                                                  const OperatorSettings::Fleet& settings);
  void Tick();
  void Apply(zone_failover::ZoneFailover::Actions& actions);
  void PostEvent(Event& event);
  void Send(const zone_failover::OutgoingDatagram& datagram);
  void Save();
  void OnCallEnded(EndpointId endpoint, Outcome outcome, Seconds duration);
  const std::string& ZoneName(int zone) const;
  void LogOverride(const zone_failover::ZoneFailover::OverrideChange& change) const;
  void LogPhase(const zone_failover::ZoneFailover::Change& change) const;

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  const Config& config_;
  const EndpointTable& endpoints_;
  Owner& owner_;
  const MembershipFile file_;
  const MembershipFile::Saved saved_;
  const std::uint64_t incarnation_;
  zone_failover::ZoneFailover failover_;
  net::EventLoop::TimerId timer_ = 0;
  GossipTraffic traffic_;
  double share_count_;  // the last one posted to the decision module
};

}  // namespace opalroute
