// A fleet of relays on a simulated clock, with links between them that fail and processes that end, freeze
// and restart. Tests hand in what each relay's calls observe.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/links.h"
#include "zone_failover/zone_failover.h"

namespace opalroute {

class SimulatedFleet {
 public:
  SimulatedFleet(const zone_failover::FailoverOptions& options, const lab::LinkPlan& links,
                 std::uint64_t seed);

  void Start(int relay);
  void StartAll();
  // Ends the process without notice. With `loses_state` its state folder is lost, too.
  void Kill(int relay, bool loses_state = false);
  // Announces the end of the process, and ends it.
  void Leave(int relay);
  // The process does nothing until then; datagrams to it wait.
  void Freeze(int relay, Seconds until);
  void IssueOverride(int relay, int zone, zone_failover::OverrideKind kind, Seconds duration);
  // In steps of a tick; `before_step` is called before every one.
  void RunUntil(Seconds until, const std::function<void()>& before_step = nullptr);

  bool IsUp(int relay) const;
  bool IsRunning(int relay) const;  // up and not frozen
  zone_failover::ZoneFailover& operator[](int relay) { return *At(relay).failover; }
  const ZoneTrafficShare& TrafficShareOf(int relay, int zone) { return At(relay).traffic_shares[zone]; }
  // The shares of a quota that all relays use now, in parts of the quota.
  double TotalShare() const;
  int size() const { return options_.membership.fleet_size; }
  pcg32& random() { return random_; }
  int Below(int n) { return static_cast<int>(random_(static_cast<std::uint32_t>(n))); }

  Seconds now = 100;
  double max_total_share = 0;  // at any time so far
  long datagrams_sent = 0;
  long bytes_sent = 0;
  std::size_t longest_datagram = 0;  // bytes
  std::vector<zone_failover::ZoneFailover::Change> changes;
  std::function<bool(int from, int to)> cut;                         // further partitions of the test
  std::function<std::string(int from, const std::string&)> rewrite;  // as another build would have written it

 private:
  struct Datagram {
    int from = 0;
    int to = 0;
    std::string bytes;
  };
  struct Relay {
    std::unique_ptr<zone_failover::ZoneFailover> failover;  // nothing: the process is down
    zone_failover::ZoneFailover::SavedState saved;
    Seconds frozen_until = -1;
    double share = 0;                // of a quota
    std::vector<Datagram> received;  // while it was frozen
    std::map<int, ZoneTrafficShare> traffic_shares;
  };

  Relay& At(int relay) { return relays_[static_cast<std::size_t>(relay)]; }
  const Relay& At(int relay) const { return relays_[static_cast<std::size_t>(relay)]; }
  void Tick(int relay);
  void Apply(int relay, const zone_failover::ZoneFailover::Actions& actions);
  void Send(int from, int to, const std::string& bytes);
  void Deliver(const Datagram& datagram);

  const zone_failover::FailoverOptions options_;
  lab::Links links_;
  pcg32 random_;
  std::vector<Relay> relays_;
  std::multimap<Seconds, Datagram> in_flight_;  // by time of arrival
  std::uint64_t last_incarnation_ = 0;
};

}  // namespace opalroute
