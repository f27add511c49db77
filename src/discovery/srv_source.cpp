#include "discovery/srv_source.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace opalroute {

using dns::Answer;

namespace {

std::vector<SrvTarget> TargetsOf(const dns::Srv& record, const std::set<std::uint32_t>& addresses) {
  std::vector<SrvTarget> targets;
  for (const std::uint32_t address : addresses) {
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = address;
    socket_address.sin_port = htons(record.port);
    targets.push_back({record.target.Text(), socket_address, record.priority, record.weight});
  }
  return targets;
}

}  // namespace

SrvSource::SrvSource(net::EventLoop& loop, dns::Resolver& resolver, const Limits& limits,
                     const std::vector<Name>& names, Listener& listener)
    : loop_(loop), resolver_(resolver), limits_(limits), listener_(listener) {
  for (const Name& name : names) {
    const auto parsed = dns::Name::Parse(name.name);
    if (!parsed || parsed->root())
      throw std::invalid_argument("'" + name.name + "' is not a valid domain name");
    const dns::Question question = {*parsed, dns::Type::kSrv};
    lookups_.push_back(std::make_unique<Lookup>(loop_, question, name.destination));
  }
  pending_names_ = lookups_.size();
  for (const auto& lookup : lookups_) QuerySrvRecords(*lookup, false);
}

SrvSource::~SrvSource() {
  for (const auto& lookup : lookups_) {
    resolver_.Cancel(lookup->ticket);
    for (const auto ticket : lookup->address_tickets) resolver_.Cancel(ticket);
  }
}

void SrvSource::QuerySrvRecords(Lookup& lookup, bool bypass_cache) {
  lookup.ticket =
      resolver_.Ask(lookup.question, bypass_cache,
                    [this, &lookup](const dns::LookupResult& outcome) { OnSrvRecords(lookup, outcome); });
}

void SrvSource::ScheduleQuery(Lookup& lookup, net::Seconds at) {
  const net::Seconds earliest = loop_.Now() + limits_.dns_min_ttl / 2;
  lookup.timer.Start(std::max(at, earliest), [this, &lookup] {
    // While the SRV answer is current, only the addresses are queried. Otherwise all names that share a
    // target would be queried again whenever its address is due.
    if (loop_.Now() < lookup.srv_refresh_at) return QueryAddresses(lookup);
    QuerySrvRecords(lookup, true);
  });
}

void SrvSource::RecordFirstResult(Lookup& lookup) {
  if (!std::exchange(lookup.first_result_seen, true)) --pending_names_;
}

void SrvSource::RecordAnswer(Lookup& lookup) {
  RecordFirstResult(lookup);
  lookup.has_answer = true;
  lookup.last_answer_at = loop_.Now();
}

void SrvSource::ReportNotOffered(Lookup& lookup) {
  RecordAnswer(lookup);
  listener_.OnNotOffered(lookup.destination);
  ScheduleQuery(lookup, lookup.srv_refresh_at);
}

void SrvSource::ReportNoAnswer(Lookup& lookup, const char* reason, net::Seconds retry_at) {
  RecordFirstResult(lookup);
  lookup.srv_refresh_at = 0;
  const bool expired = lookup.has_answer && loop_.Now() - lookup.last_answer_at >= limits_.dns_max_stale;
  if (expired) lookup.has_answer = false;
  listener_.OnNoAnswer(lookup.destination, reason, expired);
  ScheduleQuery(lookup, retry_at);
}

// "No such name" counts as no answer: the loss of a zone looks the same.
void SrvSource::OnSrvRecords(Lookup& lookup, const dns::LookupResult& outcome) {
  if (!outcome.answer || outcome.stale) return ReportNoAnswer(lookup, outcome.error, outcome.refresh_at);
  const Answer& answer = *outcome.answer;
  if (answer.kind == Answer::Kind::kNoName) {
    return ReportNoAnswer(lookup, "no such name", outcome.refresh_at);
  }
  if (answer.kind != Answer::Kind::kRecords) {
    return ReportNoAnswer(lookup, "no SRV record", outcome.refresh_at);
  }
  lookup.srv_refresh_at = outcome.refresh_at;
  lookup.records_unpublished = true;
  lookup.records.clear();
  // A target "." means that the service is not offered only if it is the sole target (RFC 2782).
  for (const dns::Srv& record : answer.services) {
    if (!record.target.root()) lookup.records.push_back(record);
  }
  if (lookup.records.empty()) return ReportNotOffered(lookup);
  QueryAddresses(lookup);
}

void SrvSource::QueryAddresses(Lookup& lookup) {
  lookup.refresh_at = lookup.srv_refresh_at;
  lookup.complete = true;
  lookup.addresses.clear();
  std::set<dns::Name> hosts;
  for (const dns::Srv& record : lookup.records) hosts.insert(record.target);
  for (const dns::Name& host : hosts) QueryAddress(lookup, host);
}

void SrvSource::QueryAddress(Lookup& lookup, const dns::Name& host) {
  // The callback needs the ticket that Ask returns. Ask never calls it before returning.
  const auto ticket = std::make_shared<dns::Resolver::Ticket>(0);
  *ticket = resolver_.Ask({host, dns::Type::kA}, false,
                          [this, &lookup, host, ticket](const dns::LookupResult& outcome) {
                            lookup.address_tickets.erase(*ticket);
                            OnAddresses(lookup, host, outcome);
                          });
  lookup.address_tickets.insert(*ticket);
}

void SrvSource::OnAddresses(Lookup& lookup, const dns::Name& host, const dns::LookupResult& outcome) {
  if (!outcome.answer || outcome.stale) lookup.complete = false;
  if (outcome.answer) {
    for (const in_addr& address : outcome.answer->addresses) lookup.addresses[host].insert(address.s_addr);
  }
  lookup.refresh_at = std::min(lookup.refresh_at, outcome.refresh_at);
  if (lookup.address_tickets.empty()) Publish(lookup);
}

void SrvSource::Publish(Lookup& lookup) {
  std::vector<SrvTarget> targets;
  for (const dns::Srv& record : lookup.records) {
    for (SrvTarget& target : TargetsOf(record, lookup.addresses[record.target])) {
      targets.push_back(std::move(target));
    }
  }
  if (targets.empty()) return ReportNoAnswer(lookup, "no target has an address", lookup.refresh_at);
  RecordAnswer(lookup);
  // Unchanged addresses after an address query alone are not a new answer and must not confirm an exclusion.
  if (std::exchange(lookup.records_unpublished, false) || lookup.addresses != lookup.published_addresses) {
    lookup.published_addresses = lookup.addresses;
    listener_.OnTargets(lookup.destination, targets, lookup.complete);
  }
  ScheduleQuery(lookup, lookup.refresh_at);
}

}  // namespace opalroute
