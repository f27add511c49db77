// The relays of a simulation as members of one fleet: their datagrams over unreliable links, the events that
// membership and zone evacuation send to their request routers, and the oracle, which in place of these tells
// every relay the state of each zone at once.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/auditor.h"
#include "lab/link_model.h"
#include "lab/result.h"
#include "lab/scenario.h"
#include "zone_failover/zone_failover.h"

namespace opalroute::lab {

// A relay's default options, for the deployment of a scenario.
zone_failover::FailoverOptions FailoverOptionsOf(const Scenario& scenario, int relay);

class FleetSimulation {
 public:
  class Host {
   public:
    virtual ~Host() = default;
    virtual Seconds CurrentTime() const = 0;
    virtual bool IsUp(int relay) const = 0;
    virtual void PostEvent(int relay, opalroute::Event event) = 0;
    // Calls OnDatagramArrived at that time.
    virtual void ScheduleDatagram(Seconds when, int relay, std::uint64_t datagram) = 0;
    // Calls OnPeerUnreachable at that time.
    virtual void ScheduleUnreachable(Seconds when, int relay, int peer) = 0;
  };
  FleetSimulation(const Scenario& scenario, std::uint64_t seed, Host& host, Auditor& auditor,
                  RunResult& result);

  void StartRelay(int relay);
  void StopRelay(int relay, bool forgets);  // `forgets`: its state folder is lost
  void AnnounceLeave(int relay);            // it is about to stop
  void Tick(int relay);
  // An operator's command to one relay.
  void ApplyOverride(const OperatorOverridePlan& order);
  bool HasJoined(int relay) const;
  // To relay `to`, or without one to all other relays.
  void SendDatagram(int from, std::optional<int> to, const std::string& bytes);
  void OnDatagramArrived(std::uint64_t datagram);
  void OnPeerUnreachable(int relay, int peer);
  void OnSent(int relay, const ListedEndpoint& endpoint);
  void OnEnded(int relay, const ListedEndpoint& endpoint, Outcome outcome, Seconds duration);
  // Tells all relays the traffic share of each zone whose share has changed.
  void RunOracle();
  const LinkModel& links() const { return links_; }
  bool enabled() const { return s_.share_quotas || s_.evacuate_zones; }

 private:
  struct Datagram {
    int from = 0, to = 0;
    std::shared_ptr<const std::string> bytes;
  };
  void PerformActions(int relay, zone_failover::ZoneFailover::Actions& actions);
  void SendTo(int from, int to, const std::shared_ptr<const std::string>& bytes);
  double TrueTrafficShare(Seconds now, int zone) const;

  const Scenario& s_;
  Host& host_;
  Auditor& auditor_;
  RunResult& result_;
  LinkModel links_;
  std::uint64_t last_incarnation_ = 0, last_datagram_ = 0;
  std::vector<std::unique_ptr<zone_failover::ZoneFailover>> members_;  // by relay; null while stopped
  std::vector<zone_failover::ZoneFailover::SavedState> saved_states_;  // by relay, in its state folder
  std::unordered_map<std::uint64_t, Datagram> in_flight_;
  std::vector<double> oracle_shares_;  // by zone, as last told
};

}  // namespace opalroute::lab
