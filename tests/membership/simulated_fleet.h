// A fleet of relays on a simulated clock, with unreliable links between them and processes that end, freeze
// and restart. The tests report to each relay what its calls observe.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/link_model.h"
#include "zone_failover/zone_failover.h"

namespace opalroute {

class SimulatedFleet {
 public:
  SimulatedFleet(const zone_failover::FailoverOptions& options, const lab::LinkSettings& links,
                 std::uint64_t seed);

  void Start(int relay);
  void StartAll();
  // Ends the process without a leave message. With `loses_state`, the state folder is lost as well.
  void Kill(int relay, bool loses_state = false);
  // Announces the end of the process, then ends it.
  void Leave(int relay);
  // Suspends the process until `until`; datagrams that arrive meanwhile are queued.
  void Freeze(int relay, Seconds until);
  void IssueOverride(int relay, int zone, zone_failover::OverrideKind kind, Seconds duration);
  // Runs in steps of ZoneFailover::kTickInterval and calls `before_step` at the start of each.
  void RunUntil(Seconds until, const std::function<void()>& before_step = nullptr);

  bool IsUp(int relay) const;
  bool IsRunning(int relay) const;  // up and not frozen
  zone_failover::ZoneFailover& operator[](int relay) { return *At(relay).failover; }
  const ZoneTrafficShare& TrafficShareOf(int relay, int zone) { return At(relay).traffic_shares[zone]; }
  // The sum of the shares that all relays use now; 1 is the whole quota.
  double TotalShare() const;
  int size() const { return options_.membership.fleet_size; }
  pcg32& random() { return random_; }
  int UniformBelow(int n) { return static_cast<int>(random_(static_cast<std::uint32_t>(n))); }

  Seconds now = 100;
  double max_total_share = 0;  // the greatest TotalShare so far
  long datagrams_sent = 0;
  long bytes_sent = 0;
  std::size_t longest_datagram = 0;  // bytes
  std::vector<zone_failover::ZoneFailover::Change> changes;
  std::function<bool(int from, int to)> cut;  // partitions of the test, in addition to those of the links
  // Replaces each datagram that is sent, for example with one of another build.
  std::function<std::string(int from, const std::string&)> rewrite;

 private:
  struct Datagram {
    int from = 0;
    int to = 0;
    std::string bytes;
  };
  struct Relay {
    std::unique_ptr<zone_failover::ZoneFailover> failover;  // null: the process is down
    zone_failover::ZoneFailover::SavedState saved;
    Seconds frozen_until = -1;
    double share = 0;                // of a quota; 1 is the whole quota
    std::vector<Datagram> received;  // queued while the process is frozen
    std::map<int, ZoneTrafficShare> traffic_shares;
  };

  Relay& At(int relay) { return relays_[static_cast<std::size_t>(relay)]; }
  const Relay& At(int relay) const { return relays_[static_cast<std::size_t>(relay)]; }
  void Tick(int relay);
  void Apply(int relay, const zone_failover::ZoneFailover::Actions& actions);
  void Send(int from, int to, const std::string& bytes);
  void Deliver(const Datagram& datagram);

  const zone_failover::FailoverOptions options_;
  lab::LinkModel links_;
  pcg32 random_;
  std::vector<Relay> relays_;
  std::multimap<Seconds, Datagram> in_flight_;  // by arrival time
  std::uint64_t last_incarnation_ = 0;
};

}  // namespace opalroute
