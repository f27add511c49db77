#include "discovery/endpoint_merge.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "net/address.h"

namespace opalroute {

namespace {

using State = EndpointRecord::Status;

// RFC 2782 gives a weight of 0 'a very small chance' beside others: a tenth of the least one.
constexpr double kNoWeight = 0.1;

bool Same(const EndpointRecord& a, const EndpointRecord& b) {
  return a.status == b.status && a.weight == b.weight && a.zone == b.zone && a.kind == b.kind &&
         a.address.sin_addr.s_addr == b.address.sin_addr.s_addr && a.address.sin_port == b.address.sin_port;
}

}  // namespace

const char* NameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kList:
      return "list";
    case Verdict::kListDraining:
      return "list drains";
    case Verdict::kAdded:
      return "srv, own";
    case Verdict::kAbsent:
      return "srv names others";
    case Verdict::kStandby:
      return "srv: standby";
    case Verdict::kNotOffered:
      return "srv: not offered";
    case Verdict::kHeld:
      return "held";
    case Verdict::kReturning:
      return "srv: returning";
  }
  return "";
}

EndpointMerge::AddressKey EndpointMerge::KeyOf(const sockaddr_in& address) {
  return static_cast<AddressKey>(address.sin_addr.s_addr) << 16 | address.sin_port;
}

void EndpointMerge::SetOwner(long long destination, const sockaddr_in& address) {
  destinations_[destination].own.insert(KeyOf(address));
}

// ---- the list ------------------------------------------------------------------------------------------

// What the list takes away stays away, whatever SRV says, for a while.
void EndpointMerge::Withdraw(double now, Destination& d, const std::string& list_id) {
  const auto alias = d.aliases.find(list_id);
  const auto it = d.endpoints.find(alias == d.aliases.end() ? list_id : alias->second);
  if (alias != d.aliases.end()) d.aliases.erase(alias);
  if (it == d.endpoints.end()) return;
  d.withdrawn[KeyOf(it->second.record.address)] = now + rules_.tombstone_time;
  d.endpoints.erase(it);
}

void EndpointMerge::ApplyRecord(double now, const EndpointRecord& member) {
  Destination& d = destinations_[member.destination];
  if (member.status == State::kRemoved) return Withdraw(now, d, member.id);
  d.withdrawn.erase(KeyOf(member.address));
  // A machine that SRV has named before, and that the list names now, is the same machine: it keeps its name,
  // and with it the waits and the health that the relay knows of it. Until the list moves it elsewhere.
  const auto alias = d.aliases.find(member.id);
  const bool known = alias != d.aliases.end() || d.endpoints.count(member.id) > 0;
  if (alias != d.aliases.end()) {
    const auto it = d.endpoints.find(alias->second);
    if (it != d.endpoints.end() && KeyOf(it->second.record.address) != KeyOf(member.address)) {
      d.endpoints.erase(it);
      d.aliases.erase(alias);
    }
  } else if (!known) {
    for (auto& [id, e] : d.endpoints)
      if (e.added && KeyOf(e.record.address) == KeyOf(member.address)) d.aliases[member.id] = id;
  }
  const auto name = d.aliases.find(member.id);
  Endpoint& e = d.endpoints[name == d.aliases.end() ? member.id : name->second];
  const bool moved = !e.record.id.empty() && KeyOf(e.record.address) != KeyOf(member.address);
  if (moved) {  // what answers said was said of another address
    e.named.reset();
    e.against_since = e.named_since = -1;
    e.confirmed = e.out = false;
  }
  e.record = member;
  e.record.id = name == d.aliases.end() ? member.id : name->second;
  e.added = false;
}

EndpointListUpdate EndpointMerge::OnList(double now, const EndpointListUpdate& news) {
  std::set<long long> touched;
  std::map<long long, std::set<std::string>> named;
  for (const EndpointRecord& member : news.endpoints) {
    named[member.destination].insert(member.id);
    // A name that serves another destination now has left the first.
    const auto [home, fresh] = destination_by_id_.emplace(member.id, member.destination);
    if (!fresh && home->second != member.destination) {
      Withdraw(now, destinations_[home->second], member.id);
      touched.insert(home->second);
      home->second = member.destination;
    }
    if (member.status == State::kRemoved) destination_by_id_.erase(member.id);
    ApplyRecord(now, member);
    touched.insert(member.destination);
  }
  if (news.complete) {
    for (auto& [id, d] : destinations_) {
      touched.insert(id);
      std::map<std::string, std::string> list_ids;  // by the name that it goes by
      for (const auto& [list_id, name] : d.aliases) list_ids[name] = list_id;
      std::vector<std::string> unnamed;
      for (const auto& [name, e] : d.endpoints) {
        const auto alias = list_ids.find(name);
        const std::string& list_id = alias == list_ids.end() ? name : alias->second;
        if (!e.added && named[id].count(list_id) == 0) unnamed.push_back(list_id);
      }
      for (const std::string& list_id : unnamed) {
        Withdraw(now, d, list_id);
        const auto home = destination_by_id_.find(list_id);
        if (home != destination_by_id_.end() && home->second == id) destination_by_id_.erase(home);
      }
    }
  }
  for (const long long id : touched) UpdateVerdicts(now, destinations_.at(id), false);
  EndpointListUpdate changes = Changes(touched);
  if (!news.complete) return changes;
  changes = {};
  changes.complete = true;
  for (const auto& [id, members] : published_)
    for (const auto& [name, member] : members) changes.endpoints.push_back(member);
  return changes;
}

// ---- SRV -----------------------------------------------------------------------------------------------

void EndpointMerge::AddOwn(double now, long long id, Destination& d, const std::vector<SrvTarget>& targets) {
  std::map<AddressKey, const Endpoint*> known;
  for (const auto& [name, e] : d.endpoints) known[KeyOf(e.record.address)] = &e;
  for (const SrvTarget& target : targets) {
    const AddressKey key = KeyOf(target.address);
    const auto there = known.find(key);
    if (there != known.end() && !there->second->added) continue;
    const auto withdrawn = d.withdrawn.find(key);
    const bool buried = withdrawn != d.withdrawn.end() && now < withdrawn->second;
    if (d.own.count(key) == 0 || buried) {
      ++unowned_targets_;
      continue;
    }
    // Whoever answers there under another name is another machine, and is told apart by its id.
    const std::string name = "srv/" + target.target + "/" + net::FormatAddress(target.address);
    if (there != known.end() && there->second->record.id == name) continue;
    if (there != known.end()) d.endpoints.erase(there->second->record.id);
    Endpoint& e = d.endpoints[name];
    e.added = true;
    e.added_at = now;
    e.record = {name, rules_.added_zone, rules_.added_kind, target.address, id, State::kInService, 0};
    known[key] = &e;
  }
}

// What the answer says of each: named, or against it. Against: absent, of a worse priority, or not offered at
// all.
void EndpointMerge::ApplyAnswer(double now, Destination& d, bool complete) {
  int best = 1 << 16;
  for (const auto& [name, e] : d.endpoints)
    if (e.named && e.record.status == State::kInService) best = std::min(best, e.named->priority);
  for (auto& [name, e] : d.endpoints) {
    const bool against = d.not_offered || !e.named || e.named->priority > best;
    if (!against) {
      e.against_since = -1;
      e.confirmed = false;
      if (e.named_since < 0) e.named_since = now;
      if (e.out && now - e.named_since >= rules_.return_time) e.out = false;
    } else if (complete) {
      e.named_since = -1;
      if (e.against_since < 0) e.against_since = now;
      if (now - e.against_since >= rules_.confirm_time) e.confirmed = true;
    }
  }
}

bool EndpointMerge::MayTakeOut(double now, const Destination& d, std::size_t ready) const {
  const auto recent = std::count_if(d.taken_out.begin(), d.taken_out.end(),
                                    [&](double at) { return now - at < rules_.settle_time; });
  return static_cast<double>(recent + 1) <= rules_.max_removed_share * static_cast<double>(ready);
}

void EndpointMerge::UpdateVerdicts(double now, Destination& d, bool answered) {
  std::size_t ready = 0;
  for (const auto& [name, e] : d.endpoints)
    ready += e.record.status == State::kInService && e.added_at < now;  // as it was before this answer
  d.taken_out.erase(std::remove_if(d.taken_out.begin(), d.taken_out.end(),
                                   [&](double at) { return now - at >= rules_.settle_time; }),
                    d.taken_out.end());
  // Only an answer takes anything out: what the list changes is no reason to believe SRV more.
  if (answered) {
    for (auto& [name, e] : d.endpoints) {
      if (e.out || e.against_since < 0 || e.record.status != State::kInService) continue;
      if (!e.confirmed && !MayTakeOut(now, d, ready)) continue;
      e.out = true;
      if (!e.confirmed) d.taken_out.push_back(now);
    }
  }
  // An added one that answers no longer name, and say so again, is no more.
  if (answered)
    for (auto it = d.endpoints.begin(); it != d.endpoints.end();) {
      const Endpoint& e = it->second;
      it = e.added && e.out && e.confirmed && !e.named ? d.endpoints.erase(it) : std::next(it);
    }
  // Never the last one, unless the service is decidedly not offered: first those that answers name, else all.
  const auto serves = [](const Endpoint& e) { return e.record.status == State::kInService && !e.out; };
  const auto any = [&] {
    return std::any_of(d.endpoints.begin(), d.endpoints.end(),
                       [&](const auto& p) { return serves(p.second); });
  };
  bool all_confirmed = d.not_offered;
  for (const auto& [name, e] : d.endpoints)
    all_confirmed = all_confirmed && (e.confirmed || e.record.status != State::kInService);
  if (!all_confirmed)
    for (const bool named_only : {true, false}) {
      if (any()) break;
      for (auto& [name, e] : d.endpoints)
        if (e.named || !named_only) e.out = false;
    }
  for (auto& [name, e] : d.endpoints) {
    const bool against = e.against_since >= 0;
    e.verdict = e.record.status == State::kDraining ? Verdict::kListDraining
                : !e.out && against                 ? Verdict::kHeld
                : !e.out                            ? (e.added ? Verdict::kAdded : Verdict::kList)
                : !against                          ? Verdict::kReturning
                : d.not_offered                     ? Verdict::kNotOffered
                : e.named                           ? Verdict::kStandby
                                                    : Verdict::kAbsent;
  }
}

EndpointListUpdate EndpointMerge::OnTargets(double now, long long destination,
                                            const std::vector<SrvTarget>& targets, bool complete) {
  Destination& d = destinations_[destination];
  std::map<AddressKey, const SrvTarget*> by_address;
  for (const SrvTarget& target : targets) {
    const auto [it, fresh] = by_address.emplace(KeyOf(target.address), &target);
    if (!fresh && target.priority < it->second->priority) it->second = &target;
  }
  AddOwn(now, destination, d, targets);
  const bool names_own = std::any_of(d.endpoints.begin(), d.endpoints.end(), [&](const auto& p) {
    return by_address.count(KeyOf(p.second.record.address)) > 0 &&
           p.second.record.status == State::kInService;
  });
  // One that names none of the partner's own is about something else, and says nothing of them.
  if (!names_own) return OnNoAnswer(now, destination, false);
  d.not_offered = false;
  for (auto& [name, e] : d.endpoints) {
    const auto it = by_address.find(KeyOf(e.record.address));
    if (it != by_address.end())
      e.named = *it->second;
    else if (complete)
      e.named.reset();
  }
  ApplyAnswer(now, d, complete);
  UpdateVerdicts(now, d, complete);
  return Changes({destination});
}

EndpointListUpdate EndpointMerge::OnNotOffered(double now, long long destination) {
  Destination& d = destinations_[destination];
  d.not_offered = true;
  for (auto& [name, e] : d.endpoints) e.named.reset();
  ApplyAnswer(now, d, true);
  UpdateVerdicts(now, d, true);
  return Changes({destination});
}

EndpointListUpdate EndpointMerge::OnNoAnswer(double now, long long destination, bool expired) {
  Destination& d = destinations_[destination];
  if (expired) {
    d.not_offered = false;
    d.taken_out.clear();
    const bool listed = std::any_of(d.endpoints.begin(), d.endpoints.end(), [](const auto& p) {
      return !p.second.added && p.second.record.status == State::kInService;
    });
    for (auto it = d.endpoints.begin(); it != d.endpoints.end();) {
      Endpoint& e = it->second;
      e.named.reset();
      e.against_since = e.named_since = -1;
      e.confirmed = e.out = false;
      it = e.added && listed ? d.endpoints.erase(it) : std::next(it);
    }
  }
  UpdateVerdicts(now, d, false);
  return Changes({destination});
}

// ---- what the relay hears ------------------------------------------------------------------------------

// SRV's weights part the sum of the list's ratings among the endpoints that it names, where those have limits
// of their own; a rating of the list says calls a second, a weight only 'how much of all'.
double EndpointMerge::RatingOf(const Destination& d, const Endpoint& e) const {
  if (!e.named || rules_.kinds_with_endpoint_limits.count(e.record.kind) == 0) return e.record.weight;
  const auto rated = [this](const Endpoint& other) {
    return other.named && !other.out && other.record.status == State::kInService &&
           rules_.kinds_with_endpoint_limits.count(other.record.kind) > 0;
  };
  const auto weight_of = [](const Endpoint& other) {
    return std::max<double>(other.named->weight, kNoWeight);
  };
  if (!rated(e)) return e.record.weight;
  double ratings = 0, weights = 0;
  for (const auto& [name, other] : d.endpoints) {
    if (!rated(other)) continue;
    ratings += other.record.weight;
    weights += weight_of(other);
  }
  return ratings > 0 ? ratings * weight_of(e) / weights : e.record.weight;
}

EndpointRecord EndpointMerge::Emitted(const Destination& d, const Endpoint& e) const {
  EndpointRecord member = e.record;
  if (e.out && member.status == State::kInService) member.status = State::kDraining;
  member.weight = RatingOf(d, e);
  return member;
}

EndpointListUpdate EndpointMerge::Changes(const std::set<long long>& touched) {
  EndpointListUpdate news;
  for (const long long id : touched) {
    const Destination& d = destinations_.at(id);
    auto& told = published_[id];
    for (auto it = told.begin(); it != told.end();) {
      if (d.endpoints.count(it->first) > 0) {
        ++it;
        continue;
      }
      news.endpoints.push_back(it->second);
      news.endpoints.back().status = State::kRemoved;
      it = told.erase(it);
    }
    for (const auto& [name, e] : d.endpoints) {
      const EndpointRecord member = Emitted(d, e);
      const auto [it, fresh] = told.emplace(name, member);
      if (!fresh && Same(it->second, member)) continue;
      it->second = member;
      news.endpoints.push_back(member);
    }
    if (told.empty()) published_.erase(id);
  }
  return news;
}

std::vector<EndpointMerge::Row> EndpointMerge::Rows() const {
  std::vector<Row> rows;
  for (const auto& [id, d] : destinations_)
    for (const auto& [name, e] : d.endpoints) rows.push_back({Emitted(d, e), e.verdict});
  return rows;
}

}  // namespace opalroute
