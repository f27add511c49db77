// Relays of a simulation as members of one tier: their notes over links that fail, what they tell their
// decision modules, and the oracle that tells each of them every zone's state at once.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/auditor.h"
#include "lab/links.h"
#include "lab/result.h"
#include "lab/scenario.h"
#include "zone_failover/zone_failover.h"

namespace opalroute::lab {

// As the relay has them by default, for a scenario's deployment.
zone_failover::FailoverOptions MemberRulesOf(const Scenario& scenario, int relay);

class TierPlay {
 public:
  class Host {
   public:
    virtual ~Host() = default;
    virtual Seconds TierNow() const = 0;
    virtual bool IsUp(int relay) const = 0;
    virtual void PostTo(int relay, opalroute::Event event) = 0;
    virtual void NoteAt(Seconds when, int relay, std::uint64_t note) = 0;  // calls Arrive, later
    virtual void RefusalAt(Seconds when, int relay, int peer) = 0;         // calls Refused, later
  };
  TierPlay(const Scenario& scenario, std::uint64_t seed, Host& host, Auditor& auditor, RunResult& result);

  void Start(int relay);
  void Stop(int relay, bool forgets);  // the process has ended, with its folder kept or not
  void Leave(int relay);               // it is about to
  void Tick(int relay);
  void Order(const HandGiven& order);  // an operator's, to one relay
  bool Joined(int relay) const;
  // To one, or with none to all others.
  void Tell(int from, std::optional<int> to, const std::string& bytes);
  void Arrive(std::uint64_t note);
  void Refused(int relay, int peer);
  void Sent(int relay, const ListedEndpoint& endpoint);
  void Ended(int relay, const ListedEndpoint& endpoint, Outcome outcome, Seconds duration);
  // The oracle's word, as of now.
  void TellTruth();
  const LinkModel& links() const { return links_; }
  bool on() const { return s_.tier || s_.leave; }

 private:
  struct Flying {
    int from = 0, to = 0;
    std::shared_ptr<const std::string> bytes;
  };
  void Do(int relay, zone_failover::ZoneFailover::Actions& what);
  void Send(int from, int to, const std::shared_ptr<const std::string>& bytes);
  double TrueShare(Seconds now, int zone) const;

  const Scenario& s_;
  Host& host_;
  Auditor& auditor_;
  RunResult& result_;
  LinkModel links_;
  std::uint64_t last_life_ = 0, last_note_ = 0;
  std::vector<std::unique_ptr<zone_failover::ZoneFailover>> members_;
  std::vector<zone_failover::ZoneFailover::SavedState> kept_;  // by relay, in its folder
  std::unordered_map<std::uint64_t, Flying> flying_;
  std::vector<double> truth_;  // by zone, as told
};

}  // namespace opalroute::lab
