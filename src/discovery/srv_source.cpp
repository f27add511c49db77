#include "discovery/srv_source.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace opalroute {

using dns::Answer;

SrvSource::SrvSource(net::EventLoop& loop, dns::Resolver& resolver, const Limits& limits,
                     const std::vector<Name>& names, Listener& listener)
    : loop_(loop), resolver_(resolver), limits_(limits), listener_(listener) {
  for (const Name& name : names) {
    const auto parsed = dns::Name::Parse(name.name);
    if (!parsed || parsed->root()) throw std::invalid_argument("'" + name.name + "' is no domain name");
    auto look = std::make_unique<Lookup>();
    look->question = {*parsed, dns::Type::kSrv};
    look->destination = name.destination;
    lookups_.push_back(std::move(look));
  }
  unanswered_ = lookups_.size();
  for (const auto& look : lookups_) Query(*look, false);
}

SrvSource::~SrvSource() {
  for (const auto& look : lookups_) {
    loop_.Cancel(look->timer);
    resolver_.Forget(look->ticket);
    for (const auto ticket : look->addresses) resolver_.Forget(ticket);
  }
}

void SrvSource::Query(Lookup& look, bool newer) {
  look.ticket = resolver_.Ask(look.question, newer,
                              [this, &look](const dns::Outcome& outcome) { OnServices(look, outcome); });
}

void SrvSource::ScheduleQuery(Lookup& look, net::Seconds at) {
  loop_.Cancel(look.timer);
  look.timer = loop_.At(std::max(at, loop_.Now() + limits_.dns_least_lifetime / 2), [this, &look] {
    look.timer = 0;
    // Danger: names that share a target would all be asked for at the end of that one's address.
    if (loop_.Now() < look.services_refresh_at) return QueryAddresses(look);
    Query(look, true);
  });
}

void SrvSource::MarkAnswered(Lookup& look) {
  if (!std::exchange(look.heard, true)) --unanswered_;
}

// 'No such name' is no word on endpoints either: a zone that was lost looks like that.
void SrvSource::ReportNoAnswer(Lookup& look, const char* why, net::Seconds again_at) {
  MarkAnswered(look);
  look.services_refresh_at = 0;
  const bool expired = look.ever && loop_.Now() - look.last_good >= limits_.dns_stale;
  if (expired) look.ever = false;
  listener_.OnNoAnswer(look.destination, why, expired);
  ScheduleQuery(look, again_at);
}

void SrvSource::OnServices(Lookup& look, const dns::Outcome& outcome) {
  if (!outcome.answer || outcome.stale) return ReportNoAnswer(look, outcome.why, outcome.refresh_at);
  const Answer& answer = *outcome.answer;
  if (answer.kind == Answer::Kind::kNoName) return ReportNoAnswer(look, "no such name", outcome.refresh_at);
  if (answer.kind != Answer::Kind::kRecords)
    return ReportNoAnswer(look, "no SRV record there", outcome.refresh_at);
  look.services_refresh_at = outcome.refresh_at;
  look.new_services = true;
  look.services.clear();
  for (const dns::Srv& service : answer.services)
    if (!service.target.root()) look.services.push_back(service);
  // A target of "." beside others says nothing (RFC 2782 has it alone).
  if (look.services.empty()) {
    MarkAnswered(look);
    look.ever = true;
    look.last_good = loop_.Now();
    listener_.OnNotOffered(look.destination);
    return ScheduleQuery(look, look.services_refresh_at);
  }
  QueryAddresses(look);
}

void SrvSource::QueryAddresses(Lookup& look) {
  look.refresh_at = look.services_refresh_at;
  look.complete = true;
  look.found.clear();
  std::set<dns::Name> targets;
  for (const dns::Srv& service : look.services) targets.insert(service.target);
  for (const dns::Name& target : targets) {
    // The ticket is known only once Ask returns; the answer never comes before.
    const auto ticket = std::make_shared<dns::Resolver::Ticket>(0);
    *ticket =
        resolver_.Ask({target, dns::Type::kA}, false, [this, &look, target, ticket](const dns::Outcome& o) {
          look.addresses.erase(*ticket);
          OnAddresses(look, target, o);
        });
    look.addresses.insert(*ticket);
  }
}

void SrvSource::OnAddresses(Lookup& look, const dns::Name& target, const dns::Outcome& outcome) {
  if (!outcome.answer || outcome.stale) look.complete = false;
  if (outcome.answer)
    for (const in_addr& address : outcome.answer->addresses) look.found[target].insert(address.s_addr);
  look.refresh_at = std::min(look.refresh_at, outcome.refresh_at);
  if (look.addresses.empty()) Publish(look);
}

void SrvSource::Publish(Lookup& look) {
  std::vector<SrvTarget> targets;
  for (const dns::Srv& service : look.services)
    for (const std::uint32_t address : look.found[service.target]) {
      sockaddr_in full{};
      full.sin_family = AF_INET;
      full.sin_addr.s_addr = address;
      full.sin_port = htons(service.port);
      targets.push_back({service.target.Text(), full, service.priority, service.weight});
    }
  if (targets.empty()) return ReportNoAnswer(look, "no address of any target", look.refresh_at);
  MarkAnswered(look);
  look.ever = true;
  look.last_good = loop_.Now();
  // The same SRV answer with the same addresses is no new word, and repeats nothing.
  if (std::exchange(look.new_services, false) || look.found != look.told) {
    look.told = look.found;
    listener_.OnTargets(look.destination, targets, look.complete);
  }
  ScheduleQuery(look, look.refresh_at);
}

}  // namespace opalroute
