// Destinations' endpoints by DNS SRV: asks for each name, then for its targets' addresses, and again ahead of
// the end of their lifetimes. Says what answers say; what follows from it is the merge's affair.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "discovery/endpoint_merge.h"
#include "dns/resolver.h"

namespace opalroute {

class SrvSource {
 public:
  struct Name {
    std::string name;  // as in `_api._tcp.partner.example`
    long long destination = 0;
  };
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnTargets(long long destination, const std::vector<SrvTarget>& targets, bool complete) = 0;
    virtual void OnNotOffered(long long destination) = 0;
    virtual void OnNoAnswer(long long destination, const char* why, bool expired) = 0;
  };

  // `resolver`, `limits` and `listener` stay. Throws std::invalid_argument if a name is none.
  SrvSource(net::EventLoop& loop, dns::Resolver& resolver, const Limits& limits,
            const std::vector<Name>& names, Listener& listener);
  ~SrvSource();

  std::size_t unanswered() const {
    return unanswered_;
  }  // names whose first answer, or failure, has not come

 private:
  struct Lookup {
    dns::Question question;
    long long destination = 0;
    dns::Resolver::Ticket ticket = 0;           // of the SRV question
    std::set<dns::Resolver::Ticket> addresses;  // of those that follow
    net::EventLoop::TimerId timer = 0;
    bool heard = false, ever = false, complete = true;
    net::Seconds last_good = 0;   // when an answer was last of use
    net::Seconds refresh_at = 0;  // the earliest of all answers'
    std::vector<dns::Srv> services;
    net::Seconds services_refresh_at = 0;                        // of the SRV answer alone
    using Found = std::map<dns::Name, std::set<std::uint32_t>>;  // addresses, in network order
    Found found, told;
    bool new_services = false;  // else only addresses were asked for again
  };
  void Query(Lookup& look, bool newer);
  void OnServices(Lookup& look, const dns::Outcome& outcome);
  void QueryAddresses(Lookup& look);
  void OnAddresses(Lookup& look, const dns::Name& target, const dns::Outcome& outcome);
  void Publish(Lookup& look);
  void ReportNoAnswer(Lookup& look, const char* why, net::Seconds again_at);
  void ScheduleQuery(Lookup& look, net::Seconds at);
  void MarkAnswered(Lookup& look);

  net::EventLoop& loop_;
  dns::Resolver& resolver_;
  const Limits& limits_;
  Listener& listener_;
  std::vector<std::unique_ptr<Lookup>> lookups_;
  std::size_t unanswered_ = 0;
};

}  // namespace opalroute
