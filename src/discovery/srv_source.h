// Looks up endpoints of destinations by DNS SRV: queries each name, then the addresses of its targets, and
// refreshes both before they expire. Only reports the answers; EndpointMerge decides what follows from them.
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
  // A name to query, such as `_api._tcp.partner.example`.
  struct Name {
    std::string name;
    long long destination = 0;
  };

  class Listener {
   public:
    virtual ~Listener() = default;
    // A new SRV answer, whether it differs from the previous one or not, or an address change of its targets.
    // If not `complete`, an address query has failed, so targets may be missing or have outdated addresses.
    virtual void OnTargets(long long destination, const std::vector<SrvTarget>& targets, bool complete) = 0;
    // The answer is the target ".": the service is not offered (RFC 2782).
    virtual void OnNotOffered(long long destination) = 0;
    // The query failed or had no usable answer. If `expired`, the last answer is older than
    // Limits::dns_max_stale and must no longer be used.
    virtual void OnNoAnswer(long long destination, const char* reason, bool expired) = 0;
  };

  // `loop`, `resolver`, `limits` and `listener` must outlive this object. Throws std::invalid_argument if one
  // of `names` is not a valid domain name.
  SrvSource(net::EventLoop& loop, dns::Resolver& resolver, const Limits& limits,
            const std::vector<Name>& names, Listener& listener);
  ~SrvSource();

  // The number of names whose first answer or failure has not arrived yet.
  std::size_t pending_names() const { return pending_names_; }

 private:
  using AddressesByHost = std::map<dns::Name, std::set<std::uint32_t>>;  // in network byte order

  struct Lookup {
    Lookup(net::EventLoop& loop, const dns::Question& srv_question, long long of_destination)
        : question(srv_question), destination(of_destination), timer(loop) {}

    const dns::Question question;
    const long long destination;
    dns::Resolver::Ticket ticket = 0;                 // of the SRV query
    std::set<dns::Resolver::Ticket> address_tickets;  // of the pending address queries
    net::Timer timer;
    bool first_result_seen = false;  // an answer or a failure
    bool has_answer = false;         // the last answer has not expired
    bool complete = true;            // no address query has failed
    net::Seconds last_answer_at = 0;
    net::Seconds refresh_at = 0;      // the earliest of the SRV and address answers
    net::Seconds srv_refresh_at = 0;  // of the SRV answer alone
    std::vector<dns::Srv> records;
    bool records_unpublished = false;  // false: only addresses were queried since the last answer
    AddressesByHost addresses;
    AddressesByHost published_addresses;
  };

  void QuerySrvRecords(Lookup& lookup, bool bypass_cache);
  void OnSrvRecords(Lookup& lookup, const dns::LookupResult& outcome);
  void QueryAddresses(Lookup& lookup);
  void QueryAddress(Lookup& lookup, const dns::Name& host);
  void OnAddresses(Lookup& lookup, const dns::Name& host, const dns::LookupResult& outcome);
  void Publish(Lookup& lookup);
  void ReportNotOffered(Lookup& lookup);
  void ReportNoAnswer(Lookup& lookup, const char* reason, net::Seconds retry_at);
  void ScheduleQuery(Lookup& lookup, net::Seconds at);
  void RecordFirstResult(Lookup& lookup);
  void RecordAnswer(Lookup& lookup);

  net::EventLoop& loop_;
  dns::Resolver& resolver_;
  const Limits& limits_;
  Listener& listener_;
  std::vector<std::unique_ptr<Lookup>> lookups_;
  std::size_t pending_names_ = 0;
};

}  // namespace opalroute
