#include "dns/cache.h"

#include <algorithm>
#include <cmath>

namespace opalroute::dns {

Seconds Cache::EffectiveTtl(const Answer& answer) const {
  const bool negative = answer.kind == Answer::Kind::kNoData || answer.kind == Answer::Kind::kNoName;
  return std::clamp(answer.ttl, config_.min_ttl,
                    negative ? std::max(config_.min_ttl, config_.max_negative_ttl) : config_.max_ttl);
}

std::optional<Cache::Result> Cache::Find(const Question& question, Seconds now) const {
  const auto it = entries_.find(question);
  if (it == entries_.end() || now >= it->second.expires_at) return std::nullopt;
  const Entry& e = it->second;
  return Result{&e.answer, now < e.fresh_until ? Age::kFresh : Age::kStale, e.refresh_at};
}

void Cache::Erase(std::map<Question, Entry>::iterator it) {
  expiries_.erase({it->second.expires_at, it->first});
  entries_.erase(it);
}

void Cache::Put(const Question& question, Answer answer, Seconds now, double random) {
  const auto old = entries_.find(question);
  std::optional<Seconds> was_due;
  if (old != entries_.end()) {
    was_due = old->second.refresh_at;
    Erase(old);
  }
  if (entries_.size() >= config_.max_entries) Erase(entries_.find(expiries_.begin()->second));
  Entry e;
  const Seconds ttl = EffectiveTtl(answer);
  e.fresh_until = now + ttl;
  e.refresh_at = now + (was_due ? Interval(ttl, random) : FirstInterval(ttl, random));
  if (was_due && *was_due < now) e.refresh_at -= std::fmod(now - *was_due, Interval(ttl, random));
  e.expires_at = e.fresh_until + config_.max_stale;
  e.answer = std::move(answer);
  expiries_.insert({e.expires_at, question});
  entries_.emplace(question, std::move(e));
}

Seconds Cache::Interval(Seconds ttl, double random) const {
  return ttl * std::min(1.0, config_.refresh_share + config_.refresh_jitter * (2 * random - 1));
}

// The forward recurrence time of a renewal process that began long ago, that is, the time to its next event.
// Its density is constant up to the shortest interval, and falls linearly from there to the longest.
Seconds Cache::FirstInterval(Seconds ttl, double random) const {
  const double uniform_part =
      1 - config_.refresh_jitter / config_.refresh_share;  // probability of the part of constant density
  const double share = random < uniform_part
                           ? config_.refresh_share * random
                           : config_.refresh_share + config_.refresh_jitter -
                                 std::sqrt(4 * config_.refresh_jitter * config_.refresh_share * (1 - random));
  return ttl * std::min(1.0, share);
}

void Cache::Expire(Seconds now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now)
    Erase(entries_.find(expiries_.begin()->second));
}

}  // namespace opalroute::dns
