#include "discovery/srv_source.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace opalroute {

using dns::Answer;

namespace {

std::vector<SrvTarget> TargetsOf(const dns::Srv& service, const std::set<std::uint32_t>& addresses) {
  std::vector<SrvTarget> targets;
  for (const std::uint32_t address : addresses) {
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = address;
    socket_address.sin_port = htons(service.port);
    targets.push_back({service.target.Text(), socket_address, service.priority, service.weight});
  }
  return targets;
}

}  // namespace

SrvSource::SrvSource(net::EventLoop& loop, dns::Resolver& resolver, const Limits& limits,
                     const std::vector<Name>& names, Listener& listener)
    : loop_(loop), resolver_(resolver), limits_(limits), listener_(listener) {
  for (const Name& name : names) {
    const auto parsed = dns::Name::Parse(name.name);
    if (!parsed || parsed->root()) throw std::invalid_argument("'" + name.name + "' is no domain name");
    const dns::Question question = {*parsed, dns::Type::kSrv};
    lookups_.push_back(std::make_unique<Lookup>(loop_, question, name.destination));
  }
  unanswered_ = lookups_.size();
  for (const auto& lookup : lookups_) QueryServices(*lookup, false);
}

SrvSource::~SrvSource() {
  for (const auto& lookup : lookups_) {
    resolver_.Cancel(lookup->ticket);
    for (const auto ticket : lookup->address_tickets) resolver_.Cancel(ticket);
  }
}

void SrvSource::QueryServices(Lookup& lookup, bool newer) {
  lookup.ticket = resolver_.Ask(
      lookup.question, newer, [this, &lookup](const dns::Outcome& outcome) { OnServices(lookup, outcome); });
}

void SrvSource::ScheduleQuery(Lookup& lookup, net::Seconds at) {
  const net::Seconds earliest = loop_.Now() + limits_.dns_least_lifetime / 2;
  lookup.timer.Start(std::max(at, earliest), [this, &lookup] {
    // Only addresses whose lifetime ends are queried again. Names that share a target would otherwise all be
    // queried when that one's address expires.
    if (loop_.Now() < lookup.services_refresh_at) return QueryAddresses(lookup);
    QueryServices(lookup, true);
  });
}

void SrvSource::NoteFirstResult(Lookup& lookup) {
  if (!std::exchange(lookup.first_result_seen, true)) --unanswered_;
}

void SrvSource::NoteAnswer(Lookup& lookup) {
  NoteFirstResult(lookup);
  lookup.has_answer = true;
  lookup.last_answer_at = loop_.Now();
}

void SrvSource::ReportNotOffered(Lookup& lookup) {
  NoteAnswer(lookup);
  listener_.OnNotOffered(lookup.destination);
  ScheduleQuery(lookup, lookup.services_refresh_at);
}

void SrvSource::ReportNoAnswer(Lookup& lookup, const char* reason, net::Seconds retry_at) {
  NoteFirstResult(lookup);
  lookup.services_refresh_at = 0;
  const bool expired = lookup.has_answer && loop_.Now() - lookup.last_answer_at >= limits_.dns_stale;
  if (expired) lookup.has_answer = false;
  listener_.OnNoAnswer(lookup.destination, reason, expired);
  ScheduleQuery(lookup, retry_at);
}

// 'No such name' counts as no answer: a zone that was lost looks the same.
void SrvSource::OnServices(Lookup& lookup, const dns::Outcome& outcome) {
  if (!outcome.answer || outcome.stale) return ReportNoAnswer(lookup, outcome.error, outcome.refresh_at);
  const Answer& answer = *outcome.answer;
  if (answer.kind == Answer::Kind::kNoName) {
    return ReportNoAnswer(lookup, "no such name", outcome.refresh_at);
  }
  if (answer.kind != Answer::Kind::kRecords) {
    return ReportNoAnswer(lookup, "no SRV record there", outcome.refresh_at);
  }
  lookup.services_refresh_at = outcome.refresh_at;
  lookup.services_are_new = true;
  lookup.services.clear();
  // A target of "." has a meaning only where it is alone (RFC 2782).
  for (const dns::Srv& service : answer.services) {
    if (!service.target.root()) lookup.services.push_back(service);
  }
  if (lookup.services.empty()) return ReportNotOffered(lookup);
  QueryAddresses(lookup);
}

void SrvSource::QueryAddresses(Lookup& lookup) {
  lookup.refresh_at = lookup.services_refresh_at;
  lookup.complete = true;
  lookup.addresses.clear();
  std::set<dns::Name> hosts;
  for (const dns::Srv& service : lookup.services) hosts.insert(service.target);
  for (const dns::Name& host : hosts) QueryAddress(lookup, host);
}

void SrvSource::QueryAddress(Lookup& lookup, const dns::Name& host) {
  // The callback needs the ticket, which is known only once Ask has returned; it is never called before that.
  const auto ticket = std::make_shared<dns::Resolver::Ticket>(0);
  *ticket =
      resolver_.Ask({host, dns::Type::kA}, false, [this, &lookup, host, ticket](const dns::Outcome& outcome) {
        lookup.address_tickets.erase(*ticket);
        OnAddresses(lookup, host, outcome);
      });
  lookup.address_tickets.insert(*ticket);
}

void SrvSource::OnAddresses(Lookup& lookup, const dns::Name& host, const dns::Outcome& outcome) {
  if (!outcome.answer || outcome.stale) lookup.complete = false;
  if (outcome.answer) {
    for (const in_addr& address : outcome.answer->addresses) lookup.addresses[host].insert(address.s_addr);
  }
  lookup.refresh_at = std::min(lookup.refresh_at, outcome.refresh_at);
  if (lookup.address_tickets.empty()) Publish(lookup);
}

void SrvSource::Publish(Lookup& lookup) {
  std::vector<SrvTarget> targets;
  for (const dns::Srv& service : lookup.services) {
    for (SrvTarget& target : TargetsOf(service, lookup.addresses[service.target])) {
      targets.push_back(std::move(target));
    }
  }
  if (targets.empty()) return ReportNoAnswer(lookup, "no address of any target", lookup.refresh_at);
  NoteAnswer(lookup);
  // The same SRV answer with the same addresses is not a new answer, and confirms nothing.
  if (std::exchange(lookup.services_are_new, false) || lookup.addresses != lookup.published_addresses) {
    lookup.published_addresses = lookup.addresses;
    listener_.OnTargets(lookup.destination, targets, lookup.complete);
  }
  ScheduleQuery(lookup, lookup.refresh_at);
}

}  // namespace opalroute
