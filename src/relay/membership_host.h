// Runs membership and zone failover in a relay: hands time, datagrams and the outcomes of calls to
// ZoneFailover, and what follows to the decision module, the other relays, the log and the state folder.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "config/config.h"
#include "config/operator.h"
#include "journal/persistent_clock.h"
#include "net/event_loop.h"
#include "relay/endpoint_table.h"
#include "relay/membership_file.h"
#include "relay/zones_page.h"
#include "zone_failover/zone_failover.h"

namespace opalroute {

class MembershipHost {
 public:
  // What the host needs of its relay.
  class Owner {
   public:
    virtual ~Owner() = default;

    // To the decision module.
    virtual void PostMembershipEvent(Event event) = 0;

    // To one peer; with no peer, to every other relay.
    virtual void SendGossipPayload(std::optional<int> peer, const std::string& bytes) = 0;
  };

  // All references must outlive the host. Reads the state file, and writes the new incarnation to it.
  MembershipHost(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                 const Operator::Tier& settings, const EndpointTable& endpoints, Owner& owner);
  ~MembershipHost();
  MembershipHost(const MembershipHost&) = delete;
  MembershipHost& operator=(const MembershipHost&) = delete;

  // A datagram of a peer. False: it is no membership message.
  bool OnGossip(int peer, std::string_view bytes);

  // The host of `peer` answered a datagram with 'port unreachable'.
  void OnUnreachable(int peer);

  // A call or health check was sent.
  void OnSent(EndpointId endpoint);

  // Handles outcomes of attempts and of health checks, and ignores other events.
  void OnEvent(const Event& event);

  // The process is about to end.
  void Leave();

  // An operator's command; `duration` in seconds. False: there is no such zone, or zone failover is off.
  bool ApplyCommand(const std::string& zone, zone_failover::OverrideKind kind, Seconds duration);

  // Clients may be admitted.
  bool Joined() const { return failover_.HasJoined(loop_.Now()); }

  // GET /zones.
  nlohmann::ordered_json Print() const;

 private:
  static zone_failover::FailoverOptions OptionsOf(const Config& config, const Operator::Tier& settings);
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
  double share_count_;  // as posted to the decision module
};

}  // namespace opalroute
