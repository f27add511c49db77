// Members of one tier on a fake clock, with links between them that fail and processes that end, freeze and
// come back. What their calls see of the zones is handed in by the test.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "lab/links.h"
#include "zone_failover/zone_failover.h"

namespace opalroute {

class TierStage {
 public:
  struct Relay {
    std::unique_ptr<zone_failover::ZoneFailover> member;
    zone_failover::ZoneFailover::SavedState kept;
    Seconds frozen_until = -1;
    double parts = 0;
    std::vector<std::pair<int, std::string>> waiting;  // notes for a frozen one
    std::map<int, ZoneTrafficShare> shares;
  };

  TierStage(const zone_failover::FailoverOptions& rules, const lab::LinkPlan& links, std::uint64_t seed)
      : rules_(rules),
        links_(links, seed),
        random_(seed, 21),
        relays_(static_cast<std::size_t>(rules.membership.fleet_size)) {}

  void Start(int relay) {
    Relay& r = Of(relay);
    zone_failover::FailoverOptions rules = rules_;
    rules.membership.own_peer = relay;
    ++lives_;
    r.member = std::make_unique<zone_failover::ZoneFailover>(rules, static_cast<std::uint64_t>(lives_),
                                                             random_(), now, r.kept);
    r.parts = 1.0 / rules.membership.fleet_size;
    r.frozen_until = -1;
    r.shares.clear();
    Tick(relay);
  }
  void StartAll() {
    for (int relay = 0; relay < size(); ++relay) Start(relay);
  }
  void Kill(int relay, bool forgets = false) {
    Relay& r = Of(relay);
    if (!r.member) return;
    r.kept = forgets ? zone_failover::ZoneFailover::SavedState() : r.member->Save(now);
    r.member.reset();
    r.parts = 0;
    r.waiting.clear();
  }
  void Leave(int relay) {
    zone_failover::ZoneFailover::Actions what;
    if (Of(relay).member) Of(relay).member->AnnounceLeave(what);
    Do(relay, what);
    Kill(relay);
  }
  void Order(int relay, int zone, zone_failover::OverrideKind order, Seconds lasts) {
    zone_failover::ZoneFailover::Actions what;
    Of(relay).member->ApplyOverride(now, zone, order, lasts, what);
    Do(relay, what);
  }
  void Freeze(int relay, Seconds until) { Of(relay).frozen_until = until; }
  bool IsUp(int relay) const { return relays_[static_cast<std::size_t>(relay)].member != nullptr; }
  bool IsAwake(int relay) const {
    return IsUp(relay) && relays_[static_cast<std::size_t>(relay)].frozen_until <= now;
  }
  zone_failover::ZoneFailover& operator[](int relay) { return *Of(relay).member; }
  const ZoneTrafficShare& ShareOf(int relay, int zone) { return Of(relay).shares[zone]; }

  // In steps of a tick; `each` is called before every step.
  void PlayTo(Seconds until, const std::function<void()>& each = nullptr) {
    while (now < until) {
      now += zone_failover::ZoneFailover::kTick;
      if (each) each();
      while (!flying_.empty() && flying_.begin()->first <= now) {
        const Flying note = std::move(flying_.begin()->second);
        flying_.erase(flying_.begin());
        Arrive(note);
      }
      for (int relay = 0; relay < size(); ++relay)
        if (IsAwake(relay)) Tick(relay);
      most_parts = std::max(most_parts, Parts());
    }
  }
  double Parts() const {
    double sum = 0;
    for (const Relay& r : relays_) sum += r.parts;
    return sum;
  }
  int size() const { return rules_.membership.fleet_size; }
  pcg32& random() { return random_; }
  int Below(int n) { return static_cast<int>(random_(static_cast<std::uint32_t>(n))); }
  lab::Links& links() { return links_; }

  Seconds now = 100;
  double most_parts = 0;  // of a whole, held at one time
  long notes = 0, bytes = 0;
  std::size_t longest = 0;
  std::vector<zone_failover::ZoneFailover::Change> changes;
  std::function<bool(int from, int to)> cut;                         // further cuts of the test
  std::function<std::string(int from, const std::string&)> rewrite;  // as another build would have written it

 private:
  struct Flying {
    int from = 0, to = 0;
    std::string bytes;
  };
  Relay& Of(int relay) { return relays_[static_cast<std::size_t>(relay)]; }

  void Tick(int relay) {
    zone_failover::ZoneFailover::Actions what;
    for (auto& [from, bytes] : std::exchange(Of(relay).waiting, {}))
      Of(relay).member->HandleMessage(now, from, bytes, what);
    Of(relay).member->Tick(now, what);
    Do(relay, what);
  }
  void Do(int relay, const zone_failover::ZoneFailover::Actions& what) {
    for (const auto& [to, written] : what.messages) {
      const std::string bytes = rewrite ? rewrite(relay, written) : written;
      longest = std::max(longest, bytes.size());
      for (int other = 0; other < size(); ++other) {
        if (other == relay || (to != zone_failover::kAllPeers && to != other)) continue;
        ++notes;
        this->bytes += static_cast<long>(bytes.size());
        if (cut && cut(relay, other)) continue;
        for (const Seconds when : links_.Arrivals(now, relay, other))
          flying_.emplace(when, Flying{relay, other, bytes});
      }
    }
    for (const Event& event : what.events) {
      if (const auto* size = std::get_if<FleetSize>(&event)) Of(relay).parts = 1 / size->share_count;
      if (const auto* share = std::get_if<ZoneTrafficShare>(&event)) Of(relay).shares[share->zone] = *share;
    }
    changes.insert(changes.end(), what.changes.begin(), what.changes.end());
  }
  void Arrive(const Flying& note) {
    Relay& to = Of(note.to);
    if (!to.member) {
      const bool back = !(cut && cut(note.to, note.from)) && !links_.PeersCut(now, note.to, note.from);
      if (back && IsUp(note.from)) Of(note.from).member->OnUnreachable(now, note.to);
    } else if (!IsAwake(note.to)) {
      to.waiting.emplace_back(note.from, note.bytes);
    } else {
      zone_failover::ZoneFailover::Actions what;
      to.member->HandleMessage(now, note.from, note.bytes, what);
      Do(note.to, what);
    }
  }

  const zone_failover::FailoverOptions rules_;
  lab::Links links_;
  pcg32 random_;
  std::vector<Relay> relays_;
  std::multimap<Seconds, Flying> flying_;
  int lives_ = 0;
};

}  // namespace opalroute
