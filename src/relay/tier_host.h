// A relay's place in its tier: carries notes, ticks and what calls have met to the pure parts
// (zones::Member), and what follows from them to the decision module, the log, the state folder and the
// operators' page.
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
#include "relay/tier_state.h"
#include "zones/member.h"

namespace opalroute {

class TierHost {
 public:
  // What the tier needs of its relay.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void PostTier(Event event) = 0;                                        // to the decision module
    virtual void SendNote(std::optional<int> peer, const std::string& bytes) = 0;  // to none: to all
  };
  TierHost(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
           const Operator::Tier& settings, const EndpointTable& endpoints, Owner& owner);
  ~TierHost();

  // A datagram of a peer; false: it is none of the tier's.
  bool TakeNote(int peer, std::string_view bytes);
  void Refused(int peer);  // by its machine
  void Sent(EndpointId endpoint);
  // Outcomes of attempts and probes; all else is passed over.
  void Saw(const Event& event);
  void Leave();  // the process is about to end
  // An operator's order of a zone. False: there is no such zone, or zones are not left together here.
  bool Order(const std::string& zone, zones::ByHand what, Seconds lasts);
  bool Joined() const { return member_.Joined(loop_.Now()); }
  nlohmann::ordered_json Print() const;  // /zones

  static zones::MemberRules RulesOf(const Config& config, const Operator::Tier& settings);

 private:
  void Tick();
  void Do(zones::Member::Do& what);
  void Save();
  void Ended(EndpointId endpoint, Outcome outcome, Seconds duration);
  std::string ZoneName(int zone) const;

  net::EventLoop& loop_;
  const PersistentClock& clock_;
  const Config& config_;
  const EndpointTable& endpoints_;
  Owner& owner_;
  const TierState state_;
  const TierState::Kept kept_;
  const std::uint64_t life_;
  zones::Member member_;
  net::EventLoop::TimerId timer_ = 0;
  long notes_ = 0, note_bytes_ = 0;  // sent
  double parts_;
};

}  // namespace opalroute
