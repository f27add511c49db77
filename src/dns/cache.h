// Answers for as long as they live, and beyond while nobody gives a newer one (serve-stale, RFC 8767). Pure:
// the clock is handed in; it never goes back, so that a jump of the system's clock changes nothing.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "dns/answer.h"

namespace opalroute::dns {

struct CacheRules {
  Seconds least = 1;           // a shorter lifetime counts as this: 0 would mean a query for every look
  Seconds most = 3600;         // a longer one as this
  Seconds negative_most = 60;  // the same of 'no such name' and 'no such record'
  Seconds stale_most = 3600;   // after its lifetime an answer is good for so long if there is no newer one
  double refresh = 0.8;        // of the lifetime: when it should be asked for again ...
  double jitter = 0.1;         // ... give or take this share
  std::size_t entries = 50'000;
};

class Cache {
 public:
  explicit Cache(const CacheRules& rules) : rules_(rules) {}

  enum class Age { kFresh, kStale };
  struct Found {
    const Answer* answer;
    Age age;
    Seconds refresh_at;
  };
  std::optional<Found> Find(const Question& question, Seconds now) const;
  // `draw`: from 0 to below 1. The one that would die first makes room.
  //
  // Refreshes of many names keep to the rate of their lifetimes, also where all were first asked for at once
  // or answered late together: the first interval of a name is drawn as what is left of a usual one, and each
  // later one counts from the time at which the refresh was due, not from its answer.
  void Put(const Question& question, Answer answer, Seconds now, double draw);
  // Drops what is too old to be of use.
  void Expire(Seconds now);

  std::size_t size() const { return entries_.size(); }
  Seconds LifetimeOf(const Answer& answer) const;  // as it counts here

 private:
  struct Entry {
    Answer answer;
    Seconds fresh_until = 0, refresh_at = 0, dies_at = 0;
  };
  void Erase(std::map<Question, Entry>::iterator it);
  // Both in seconds; `draw`: from 0 to below 1.
  Seconds FirstInterval(Seconds lifetime, double draw) const;
  Seconds Interval(Seconds lifetime, double draw) const;

  const CacheRules rules_;
  std::map<Question, Entry> entries_;
  std::set<std::pair<Seconds, Question>> deaths_;
};

}  // namespace opalroute::dns
