// Caches answers until their TTL ends, and as stale answers beyond it while there is no newer one
// (serve-stale, RFC 8767). Performs no I/O. The caller passes the time of a monotonic clock, so that changes
// of the system time have no effect.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "dns/answer.h"

namespace opalroute::dns {

struct CacheConfig {
  Seconds min_ttl = 1;     // a shorter TTL counts as this: a TTL of 0 would cause a query for every lookup
  Seconds max_ttl = 3600;  // a longer one counts as this
  Seconds max_negative_ttl = 60;  // the same for 'no such name' and 'no such record'
  Seconds max_stale = 3600;       // how long after its TTL an answer may be used if there is no newer one
  double refresh_share = 0.8;     // share of the TTL after which an answer should be refreshed ...
  double refresh_jitter = 0.1;    // ... plus or minus up to this share
  std::size_t max_entries = 50'000;
};

class Cache {
 public:
  explicit Cache(const CacheConfig& config) : config_(config) {}

  enum class Age { kFresh, kStale };
  struct Result {
    const Answer* answer;
    Age age;
    Seconds refresh_at;
  };
  std::optional<Result> Find(const Question& question, Seconds now) const;
  // Stores an answer. `random`: uniform in [0, 1). A full cache evicts the entry that expires first.
  //
  // Refreshes of many names are spread over their TTLs even if all names were first queried at once, or were
  // answered late together: the first refresh interval of a name is drawn as the rest of a usual interval,
  // and later ones count from the time at which the refresh was due rather than from the answer.
  void Put(const Question& question, Answer answer, Seconds now, double random);
  // Removes entries that are too old to be used even as stale answers.
  void Expire(Seconds now);

  std::size_t size() const { return entries_.size(); }
  Seconds EffectiveTtl(const Answer& answer) const;  // limited by the bounds of CacheConfig

 private:
  struct Entry {
    Answer answer;
    Seconds fresh_until = 0, refresh_at = 0, expires_at = 0;
  };
  void Erase(std::map<Question, Entry>::iterator it);
  // Time from an answer to its refresh. `random`: uniform in [0, 1).
  Seconds FirstInterval(Seconds ttl, double random) const;
  Seconds Interval(Seconds ttl, double random) const;

  const CacheConfig config_;
  std::map<Question, Entry> entries_;
  std::set<std::pair<Seconds, Question>> expiries_;
};

}  // namespace opalroute::dns
