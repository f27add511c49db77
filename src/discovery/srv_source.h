// Destinations' endpoints by DNS SRV: queries each name, then its targets' addresses, and repeats both ahead
// of the end of their lifetimes. Reports what answers say; what follows from it is EndpointMerge's decision.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/limits.h"
#include "discovery/srv_target.h"
#include "dns/resolver.h"
#include "net/timer.h"

namespace opalroute {

class SrvSource {
 public:
  // A name to query, as in `_api._tcp.partner.example`.
  struct Name {
    std::string name;
    long long destination = 0;
  };

  class Listener {
   public:
    virtual ~Listener() = default;
    // An answer that differs from the one before, or repeats it. Not complete: the addresses of some targets
    // are not known.
    virtual void OnTargets(long long destination, const std::vector<SrvTarget>& targets, bool complete) = 0;
    // The answer is the target ".": the service is decidedly not offered.
    virtual void OnNotOffered(long long destination) = 0;
    // Expired: the last answer is older than Limits::dns_stale and no longer counts.
    virtual void OnNoAnswer(long long destination, const char* reason, bool expired) = 0;
  };

  // `loop`, `resolver`, `limits` and `listener` must outlive this object. Throws std::invalid_argument if one
  // of `names` is no domain name.
  SrvSource(net::EventLoop& loop, dns::Resolver& resolver, const Limits& limits,
            const std::vector<Name>& names, Listener& listener);
  ~SrvSource();

  // Names whose first answer, or failure, has not arrived yet.
  std::size_t unanswered() const { return unanswered_; }

 private:
  using AddressesByHost = std::map<dns::Name, std::set<std::uint32_t>>;  // addresses in network order

  struct Lookup {
    Lookup(net::EventLoop& loop, const dns::Question& srv_question, long long of_destination)
        : question(srv_question), destination(of_destination), timer(loop) {}

    const dns::Question question;
    const long long destination;
    dns::Resolver::Ticket ticket = 0;                 // of the SRV query
    std::set<dns::Resolver::Ticket> address_tickets;  // of the address queries that follow
    net::Timer timer;
    bool first_result_seen = false;  // answer or failure
    bool has_answer = false;         // one that is not expired
    bool complete = true;            // no target lacks its addresses
    net::Seconds last_answer_at = 0;
    net::Seconds refresh_at = 0;           // the earliest of all answers
    net::Seconds services_refresh_at = 0;  // of the SRV answer alone
    std::vector<dns::Srv> services;
    bool services_are_new = false;  // not published yet; else only addresses were queried again
    AddressesByHost addresses;
    AddressesByHost published_addresses;
  };

  void QueryServices(Lookup& lookup, bool newer);
  void OnServices(Lookup& lookup, const dns::Outcome& outcome);
  void QueryAddresses(Lookup& lookup);
  void QueryAddress(Lookup& lookup, const dns::Name& host);
  void OnAddresses(Lookup& lookup, const dns::Name& host, const dns::Outcome& outcome);
  void Publish(Lookup& lookup);
  void ReportNotOffered(Lookup& lookup);
  void ReportNoAnswer(Lookup& lookup, const char* reason, net::Seconds retry_at);
  void ScheduleQuery(Lookup& lookup, net::Seconds at);
  void NoteFirstResult(Lookup& lookup);
  void NoteAnswer(Lookup& lookup);

  net::EventLoop& loop_;
  dns::Resolver& resolver_;
  const Limits& limits_;
  Listener& listener_;
  std::vector<std::unique_ptr<Lookup>> lookups_;
  std::size_t unanswered_ = 0;
};

}  // namespace opalroute
