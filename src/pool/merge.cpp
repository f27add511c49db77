#include "pool/merge.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "net/address.h"

namespace opalroute {

namespace {

using State = PoolMember::State;

// RFC 2782 gives a weight of 0 'a very small chance' beside others: a tenth of the least one.
constexpr double kNoWeight = 0.1;

bool Same(const PoolMember& a, const PoolMember& b) {
  return a.state == b.state && a.weight == b.weight && a.zone == b.zone && a.kind == b.kind &&
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

PoolMerge::AddressKey PoolMerge::KeyOf(const sockaddr_in& address) {
  return static_cast<AddressKey>(address.sin_addr.s_addr) << 16 | address.sin_port;
}

void PoolMerge::Own(long long destination, const sockaddr_in& address) {
  destinations_[destination].own.insert(KeyOf(address));
}

// ---- the list ------------------------------------------------------------------------------------------

// What the list takes away stays away, whatever SRV says, for a while.
void PoolMerge::Withdraw(double now, Destination& d, const std::string& list_id) {
  const auto alias = d.aliases.find(list_id);
  const auto it = d.endpoints.find(alias == d.aliases.end() ? list_id : alias->second);
  if (alias != d.aliases.end()) d.aliases.erase(alias);
  if (it == d.endpoints.end()) return;
  d.withdrawn[KeyOf(it->second.member.address)] = now + rules_.tombstone_s;
  d.endpoints.erase(it);
}

void PoolMerge::TakeMember(double now, const PoolMember& member) {
  Destination& d = destinations_[member.destination];
  if (member.state == State::kGone) return Withdraw(now, d, member.id);
  d.withdrawn.erase(KeyOf(member.address));
  // A machine that SRV has named before, and that the list names now, is the same machine: it keeps its name,
  // and with it the waits and the health that the relay knows of it. Until the list moves it elsewhere.
  const auto alias = d.aliases.find(member.id);
  const bool known = alias != d.aliases.end() || d.endpoints.count(member.id) > 0;
  if (alias != d.aliases.end()) {
    const auto it = d.endpoints.find(alias->second);
    if (it != d.endpoints.end() && KeyOf(it->second.member.address) != KeyOf(member.address)) {
      d.endpoints.erase(it);
      d.aliases.erase(alias);
    }
  } else if (!known) {
    for (auto& [id, e] : d.endpoints)
      if (e.added && KeyOf(e.member.address) == KeyOf(member.address)) d.aliases[member.id] = id;
  }
  const auto name = d.aliases.find(member.id);
  Endpoint& e = d.endpoints[name == d.aliases.end() ? member.id : name->second];
  const bool moved = !e.member.id.empty() && KeyOf(e.member.address) != KeyOf(member.address);
  if (moved) {  // what answers said was said of another address
    e.named.reset();
    e.against_since = e.named_since = -1;
    e.confirmed = e.out = false;
  }
  e.member = member;
  e.member.id = name == d.aliases.end() ? member.id : name->second;
  e.added = false;
}

PoolNews PoolMerge::OnList(double now, const PoolNews& news) {
  std::set<long long> touched;
  std::map<long long, std::set<std::string>> named;
  for (const PoolMember& member : news.members) {
    named[member.destination].insert(member.id);
    // A name that serves another destination now has left the first.
    const auto [home, fresh] = homes_.emplace(member.id, member.destination);
    if (!fresh && home->second != member.destination) {
      Withdraw(now, destinations_[home->second], member.id);
      touched.insert(home->second);
      home->second = member.destination;
    }
    if (member.state == State::kGone) homes_.erase(member.id);
    TakeMember(now, member);
    touched.insert(member.destination);
  }
  if (news.whole) {
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
        const auto home = homes_.find(list_id);
        if (home != homes_.end() && home->second == id) homes_.erase(home);
      }
    }
  }
  for (const long long id : touched) Judge(now, destinations_.at(id), false);
  PoolNews changes = Changes(touched);
  if (!news.whole) return changes;
  changes = {};
  changes.whole = true;
  for (const auto& [id, members] : told_)
    for (const auto& [name, member] : members) changes.members.push_back(member);
  return changes;
}

// ---- SRV -----------------------------------------------------------------------------------------------

void PoolMerge::AddOwn(double now, long long id, Destination& d, const std::vector<SrvTarget>& targets) {
  std::map<AddressKey, const Endpoint*> known;
  for (const auto& [name, e] : d.endpoints) known[KeyOf(e.member.address)] = &e;
  for (const SrvTarget& target : targets) {
    const AddressKey key = KeyOf(target.address);
    const auto there = known.find(key);
    if (there != known.end() && !there->second->added) continue;
    const auto withdrawn = d.withdrawn.find(key);
    const bool buried = withdrawn != d.withdrawn.end() && now < withdrawn->second;
    if (d.own.count(key) == 0 || buried) {
      ++foreign_;
      continue;
    }
    // Whoever answers there under another name is another machine, and is told apart by its id.
    const std::string name = "srv/" + target.target + "/" + net::FormatAddress(target.address);
    if (there != known.end() && there->second->member.id == name) continue;
    if (there != known.end()) d.endpoints.erase(there->second->member.id);
    Endpoint& e = d.endpoints[name];
    e.added = true;
    e.added_at = now;
    e.member = {name, rules_.added_zone, rules_.added_kind, target.address, id, State::kReady, 0};
    known[key] = &e;
  }
}

// What the answer says of each: named, or against it. Against: absent, of a worse priority, or not offered at
// all.
void PoolMerge::TakeWord(double now, Destination& d, bool complete) {
  int best = 1 << 16;
  for (const auto& [name, e] : d.endpoints)
    if (e.named && e.member.state == State::kReady) best = std::min(best, e.named->priority);
  for (auto& [name, e] : d.endpoints) {
    const bool against = d.not_offered || !e.named || e.named->priority > best;
    if (!against) {
      e.against_since = -1;
      e.confirmed = false;
      if (e.named_since < 0) e.named_since = now;
      if (e.out && now - e.named_since >= rules_.returns_s) e.out = false;
    } else if (complete) {
      e.named_since = -1;
      if (e.against_since < 0) e.against_since = now;
      if (now - e.against_since >= rules_.confirm_s) e.confirmed = true;
    }
  }
}

bool PoolMerge::MayTakeOut(double now, const Destination& d, std::size_t ready) const {
  const auto recent = std::count_if(d.taken_out.begin(), d.taken_out.end(),
                                    [&](double at) { return now - at < rules_.settle_s; });
  return static_cast<double>(recent + 1) <= rules_.most_share * static_cast<double>(ready);
}

void PoolMerge::Judge(double now, Destination& d, bool answered) {
  std::size_t ready = 0;
  for (const auto& [name, e] : d.endpoints)
    ready += e.member.state == State::kReady && e.added_at < now;  // as it was before this answer
  d.taken_out.erase(std::remove_if(d.taken_out.begin(), d.taken_out.end(),
                                   [&](double at) { return now - at >= rules_.settle_s; }),
                    d.taken_out.end());
  // Only an answer takes anything out: what the list changes is no reason to believe SRV more.
  if (answered) {
    for (auto& [name, e] : d.endpoints) {
      if (e.out || e.against_since < 0 || e.member.state != State::kReady) continue;
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
  const auto serves = [](const Endpoint& e) { return e.member.state == State::kReady && !e.out; };
  const auto any = [&] {
    return std::any_of(d.endpoints.begin(), d.endpoints.end(),
                       [&](const auto& p) { return serves(p.second); });
  };
  bool all_confirmed = d.not_offered;
  for (const auto& [name, e] : d.endpoints)
    all_confirmed = all_confirmed && (e.confirmed || e.member.state != State::kReady);
  if (!all_confirmed)
    for (const bool named_only : {true, false}) {
      if (any()) break;
      for (auto& [name, e] : d.endpoints)
        if (e.named || !named_only) e.out = false;
    }
  for (auto& [name, e] : d.endpoints) {
    const bool against = e.against_since >= 0;
    e.verdict = e.member.state == State::kDraining ? Verdict::kListDraining
                : !e.out && against                ? Verdict::kHeld
                : !e.out                           ? (e.added ? Verdict::kAdded : Verdict::kList)
                : !against                         ? Verdict::kReturning
                : d.not_offered                    ? Verdict::kNotOffered
                : e.named                          ? Verdict::kStandby
                                                   : Verdict::kAbsent;
  }
}

PoolNews PoolMerge::OnTargets(double now, long long destination, const std::vector<SrvTarget>& targets,
                              bool complete) {
  Destination& d = destinations_[destination];
  std::map<AddressKey, const SrvTarget*> by_address;
  for (const SrvTarget& target : targets) {
    const auto [it, fresh] = by_address.emplace(KeyOf(target.address), &target);
    if (!fresh && target.priority < it->second->priority) it->second = &target;
  }
  AddOwn(now, destination, d, targets);
  const bool names_own = std::any_of(d.endpoints.begin(), d.endpoints.end(), [&](const auto& p) {
    return by_address.count(KeyOf(p.second.member.address)) > 0 && p.second.member.state == State::kReady;
  });
  // One that names none of the partner's own is about something else, and says nothing of them.
  if (!names_own) return OnSilence(now, destination, false);
  d.not_offered = false;
  for (auto& [name, e] : d.endpoints) {
    const auto it = by_address.find(KeyOf(e.member.address));
    if (it != by_address.end())
      e.named = *it->second;
    else if (complete)
      e.named.reset();
  }
  TakeWord(now, d, complete);
  Judge(now, d, complete);
  return Changes({destination});
}

PoolNews PoolMerge::OnNotOffered(double now, long long destination) {
  Destination& d = destinations_[destination];
  d.not_offered = true;
  for (auto& [name, e] : d.endpoints) e.named.reset();
  TakeWord(now, d, true);
  Judge(now, d, true);
  return Changes({destination});
}

PoolNews PoolMerge::OnSilence(double now, long long destination, bool expired) {
  Destination& d = destinations_[destination];
  if (expired) {
    d.not_offered = false;
    d.taken_out.clear();
    const bool listed = std::any_of(d.endpoints.begin(), d.endpoints.end(), [](const auto& p) {
      return !p.second.added && p.second.member.state == State::kReady;
    });
    for (auto it = d.endpoints.begin(); it != d.endpoints.end();) {
      Endpoint& e = it->second;
      e.named.reset();
      e.against_since = e.named_since = -1;
      e.confirmed = e.out = false;
      it = e.added && listed ? d.endpoints.erase(it) : std::next(it);
    }
  }
  Judge(now, d, false);
  return Changes({destination});
}

// ---- what the relay hears ------------------------------------------------------------------------------

// SRV's weights part the sum of the list's ratings among the endpoints that it names, where those have limits
// of their own; a rating of the list says calls a second, a weight only 'how much of all'.
double PoolMerge::RatingOf(const Destination& d, const Endpoint& e) const {
  if (!e.named || rules_.kinds_apart.count(e.member.kind) == 0) return e.member.weight;
  const auto rated = [this](const Endpoint& other) {
    return other.named && !other.out && other.member.state == State::kReady &&
           rules_.kinds_apart.count(other.member.kind) > 0;
  };
  const auto weight_of = [](const Endpoint& other) {
    return std::max<double>(other.named->weight, kNoWeight);
  };
  if (!rated(e)) return e.member.weight;
  double ratings = 0, weights = 0;
  for (const auto& [name, other] : d.endpoints) {
    if (!rated(other)) continue;
    ratings += other.member.weight;
    weights += weight_of(other);
  }
  return ratings > 0 ? ratings * weight_of(e) / weights : e.member.weight;
}

PoolMember PoolMerge::Emitted(const Destination& d, const Endpoint& e) const {
  PoolMember member = e.member;
  if (e.out && member.state == State::kReady) member.state = State::kDraining;
  member.weight = RatingOf(d, e);
  return member;
}

PoolNews PoolMerge::Changes(const std::set<long long>& touched) {
  PoolNews news;
  for (const long long id : touched) {
    const Destination& d = destinations_.at(id);
    auto& told = told_[id];
    for (auto it = told.begin(); it != told.end();) {
      if (d.endpoints.count(it->first) > 0) {
        ++it;
        continue;
      }
      news.members.push_back(it->second);
      news.members.back().state = State::kGone;
      it = told.erase(it);
    }
    for (const auto& [name, e] : d.endpoints) {
      const PoolMember member = Emitted(d, e);
      const auto [it, fresh] = told.emplace(name, member);
      if (!fresh && Same(it->second, member)) continue;
      it->second = member;
      news.members.push_back(member);
    }
    if (told.empty()) told_.erase(id);
  }
  return news;
}

std::vector<PoolMerge::Row> PoolMerge::Rows() const {
  std::vector<Row> rows;
  for (const auto& [id, d] : destinations_)
    for (const auto& [name, e] : d.endpoints) rows.push_back({Emitted(d, e), e.verdict});
  return rows;
}

}  // namespace opalroute
