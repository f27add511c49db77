#include "pool/srv_source.h"

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
    auto look = std::make_unique<Look>();
    look->question = {*parsed, dns::Type::kSrv};
    look->destination = name.destination;
    looks_.push_back(std::move(look));
  }
  unheard_ = looks_.size();
  for (const auto& look : looks_) Ask(*look, false);
}

SrvSource::~SrvSource() {
  for (const auto& look : looks_) {
    loop_.Cancel(look->timer);
    resolver_.Forget(look->ticket);
    for (const auto ticket : look->addresses) resolver_.Forget(ticket);
  }
}

void SrvSource::Ask(Look& look, bool newer) {
  look.ticket = resolver_.Ask(look.question, newer,
                              [this, &look](const dns::Outcome& outcome) { TakeServices(look, outcome); });
}

void SrvSource::Again(Look& look, net::Seconds at) {
  loop_.Cancel(look.timer);
  look.timer = loop_.At(std::max(at, loop_.Now() + limits_.dns_least_lifetime / 2), [this, &look] {
    look.timer = 0;
    // Danger: names that share a target would all be asked for at the end of that one's address.
    if (loop_.Now() < look.services_refresh_at) return AskAddresses(look);
    Ask(look, true);
  });
}

void SrvSource::Heard(Look& look) {
  if (!std::exchange(look.heard, true)) --unheard_;
}

// 'No such name' is no word on endpoints either: a zone that was lost looks like that.
void SrvSource::Silent(Look& look, const char* why, net::Seconds again_at) {
  Heard(look);
  look.services_refresh_at = 0;
  const bool expired = look.ever && loop_.Now() - look.last_good >= limits_.dns_stale;
  if (expired) look.ever = false;
  listener_.OnSilence(look.destination, why, expired);
  Again(look, again_at);
}

void SrvSource::TakeServices(Look& look, const dns::Outcome& outcome) {
  if (!outcome.answer || outcome.stale) return Silent(look, outcome.why, outcome.refresh_at);
  const Answer& answer = *outcome.answer;
  if (answer.kind == Answer::Kind::kNoName) return Silent(look, "no such name", outcome.refresh_at);
  if (answer.kind != Answer::Kind::kRecords) return Silent(look, "no SRV record there", outcome.refresh_at);
  look.services_refresh_at = outcome.refresh_at;
  look.new_services = true;
  look.services.clear();
  for (const dns::Srv& service : answer.services)
    if (!service.target.root()) look.services.push_back(service);
  // A target of "." beside others says nothing (RFC 2782 has it alone).
  if (look.services.empty()) {
    Heard(look);
    look.ever = true;
    look.last_good = loop_.Now();
    listener_.OnNotOffered(look.destination);
    return Again(look, look.services_refresh_at);
  }
  AskAddresses(look);
}

void SrvSource::AskAddresses(Look& look) {
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
          TakeAddresses(look, target, o);
        });
    look.addresses.insert(*ticket);
  }
}

void SrvSource::TakeAddresses(Look& look, const dns::Name& target, const dns::Outcome& outcome) {
  if (!outcome.answer || outcome.stale) look.complete = false;
  if (outcome.answer)
    for (const in_addr& address : outcome.answer->addresses) look.found[target].insert(address.s_addr);
  look.refresh_at = std::min(look.refresh_at, outcome.refresh_at);
  if (look.addresses.empty()) Tell(look);
}

void SrvSource::Tell(Look& look) {
  std::vector<SrvTarget> targets;
  for (const dns::Srv& service : look.services)
    for (const std::uint32_t address : look.found[service.target]) {
      sockaddr_in full{};
      full.sin_family = AF_INET;
      full.sin_addr.s_addr = address;
      full.sin_port = htons(service.port);
      targets.push_back({service.target.Text(), full, service.priority, service.weight});
    }
  if (targets.empty()) return Silent(look, "no address of any target", look.refresh_at);
  Heard(look);
  look.ever = true;
  look.last_good = loop_.Now();
  // The same SRV answer with the same addresses is no new word, and repeats nothing.
  if (std::exchange(look.new_services, false) || look.found != look.told) {
    look.told = look.found;
    listener_.OnTargets(look.destination, targets, look.complete);
  }
  Again(look, look.refresh_at);
}

}  // namespace opalroute
