// Calls of a stage's relays into zones: what each meets is drawn from a truth that the test states.
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "tests/membership/membership_fixture.h"

namespace opalroute {

constexpr int kZones = 3;
constexpr int kPartners = 12;

inline zone_failover::FailoverOptions RulesFor(int size) {
  zone_failover::FailoverOptions rules;
  rules.membership.fleet_size = size;
  rules.zones = kZones;
  rules.evacuation.slow_start_duration = 4;
  return rules;
}

// What a call meets.
struct Met {
  Outcome outcome = Outcome::kServed;
  Seconds takes = 0.2;  // kTimeout: it hangs, and is given up after this
};

// Each relay calls partners in all zones, as its shares allow.
class UpstreamCalls {
 public:
  using Truth = std::function<Met(int relay, int partner, int zone)>;
  UpstreamCalls(TierStage& stage, double rate, Truth truth)
      : s_(stage), rate_(rate), truth_(std::move(truth)) {}

  void PlayTo(Seconds until) {
    s_.PlayTo(until, [this] { Step(); });
  }
  std::map<int, long> into;  // calls by zone

 private:
  struct Out {
    int relay, partner, zone;
    zone_failover::ZoneFailover* member;
    Met met;
  };
  static EndpointId EndpointOf(int partner, int zone) {
    return static_cast<EndpointId>(partner * kZones + zone + 1);
  }
  void Step() {
    while (!out_.empty() && out_.begin()->first <= s_.now) {
      const Out o = out_.begin()->second;
      out_.erase(out_.begin());
      if (s_.IsAwake(o.relay) && &s_[o.relay] == o.member)
        o.member->OnEnded(s_.now, o.zone, o.partner, EndpointOf(o.partner, o.zone), o.met.outcome,
                          o.met.takes);
    }
    for (int relay = 0; relay < s_.size(); ++relay) {
      if (!s_.IsAwake(relay)) continue;
      for (double due = rate_ * zone_failover::ZoneFailover::kTick; lab::DrawUnit(s_.random()) < due;
           due -= 1)
        Call(relay);
    }
  }
  void Call(int relay) {
    const int partner = s_.Below(kPartners), zone = s_.Below(kZones);
    const ZoneTrafficShare& share = s_.ShareOf(relay, zone);
    if (lab::DrawUnit(s_.random()) >= (share.is_health_check_relay ? 0.2 : share.traffic_share))
      return;  // scouts try it now and then
    ++into[zone];
    const Met met = truth_(relay, partner, zone);
    s_[relay].OnSent(s_.now, zone, partner, EndpointOf(partner, zone));
    out_.emplace(s_.now + met.takes, Out{relay, partner, zone, &s_[relay], met});
  }
  TierStage& s_;
  const double rate_;
  const Truth truth_;
  std::multimap<Seconds, Out> out_;
};

inline int CountIn(TierStage& s, int zone, zone_failover::EvacuationPhase step) {
  int count = 0;
  for (int relay = 0; relay < s.size(); ++relay)
    count += s.IsUp(relay) && s[relay].StateOf(zone).phase == step;
  return count;
}

inline Met Bad(Outcome outcome) { return {outcome, outcome == Outcome::kTimeout ? 3 : 0.02}; }

}  // namespace opalroute
