// A relay's place in its tier: carries notes, ticks and what calls have met to the pure parts
// (zone_failover::Member), and what follows from them to the decision module, the log, the state folder and
// the operators' page.
#pragma once

#include <functional>
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
#include "zone_failover/zone_failover.h"

namespace opalroute {

class MembershipHost {
 public:
  // What the tier needs of its relay.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void PostMembershipEvent(Event event) = 0;  // to the decision module
    virtual void SendGossipPayload(std::optional<int> peer, const std::string& bytes) = 0;  // to none: to all
  };
  MembershipHost(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                 const Operator::Tier& settings, const EndpointTable& endpoints, Owner& owner);
  ~MembershipHost();

  // A datagram of a peer; false: it is none of the tier's.
  bool OnGossip(int peer, std::string_view bytes);
  void OnUnreachable(int peer);  // by its machine
  void OnSent(EndpointId endpoint);
  // Outcomes of attempts and probes; all else is passed over.
  void OnEvent(const Event& event);
  void Leave();  // the process is about to end
  // An operator's order of a zone. False: there is no such zone, or zones are not left together here.
  bool ApplyCommand(const std::string& zone, zone_failover::OverrideKind what, Seconds lasts);
  bool Joined() const { return member_.HasJoined(loop_.Now()); }
  nlohmann::ordered_json Print() const;  // /zones

  static zone_failover::FailoverOptions OptionsOf(const Config& config, const Operator::Tier& settings);

 private:
  void Tick();
  void Apply(zone_failover::ZoneFailover::Actions& what);
  void Save();
  void OnCallEnded(EndpointId endpoint, Outcome outcome, Seconds duration);
  std::string ZoneName(int zone) const;

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  const Config& config_;
  const EndpointTable& endpoints_;
  Owner& owner_;
  const MembershipFile state_;
  const MembershipFile::Saved saved_;
  const std::uint64_t incarnation_;
  zone_failover::ZoneFailover member_;
  net::EventLoop::TimerId timer_ = 0;
  long messages_sent_ = 0, bytes_sent_ = 0;  // sent
  double share_count_;
};

}  // namespace opalroute
