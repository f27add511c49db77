#include "dns/cache.h"

#include <algorithm>
#include <cmath>

namespace opalroute::dns {

Seconds Cache::LifetimeOf(const Answer& answer) const {
  const bool negative = answer.kind == Answer::Kind::kNoData || answer.kind == Answer::Kind::kNoName;
  return std::clamp(answer.lifetime, rules_.least,
                    negative ? std::max(rules_.least, rules_.negative_most) : rules_.most);
}

std::optional<Cache::Found> Cache::Find(const Question& question, Seconds now) const {
  const auto it = entries_.find(question);
  if (it == entries_.end() || now >= it->second.dies_at) return std::nullopt;
  const Entry& e = it->second;
  return Found{&e.answer, now < e.fresh_until ? Age::kFresh : Age::kStale, e.refresh_at};
}

void Cache::Erase(std::map<Question, Entry>::iterator it) {
  deaths_.erase({it->second.dies_at, it->first});
  entries_.erase(it);
}

void Cache::Put(const Question& question, Answer answer, Seconds now, double draw) {
  const auto old = entries_.find(question);
  std::optional<Seconds> was_due;
  if (old != entries_.end()) {
    was_due = old->second.refresh_at;
    Erase(old);
  }
  if (entries_.size() >= rules_.entries) Erase(entries_.find(deaths_.begin()->second));
  Entry e;
  const Seconds lives = LifetimeOf(answer);
  e.fresh_until = now + lives;
  e.refresh_at = now + (was_due ? Interval(lives, draw) : FirstInterval(lives, draw));
  if (was_due && *was_due < now) e.refresh_at -= std::fmod(now - *was_due, Interval(lives, draw));
  e.dies_at = e.fresh_until + rules_.stale_most;
  e.answer = std::move(answer);
  deaths_.insert({e.dies_at, question});
  entries_.emplace(question, std::move(e));
}

Seconds Cache::Interval(Seconds lifetime, double draw) const {
  return lifetime * std::min(1.0, rules_.refresh + rules_.jitter * (2 * draw - 1));
}

// The time to the next event of a renewal process that began long ago (its forward recurrence time): up to
// the shortest interval all moments are alike, from there to the longest they thin out linearly.
Seconds Cache::FirstInterval(Seconds lifetime, double draw) const {
  const double alike = 1 - rules_.jitter / rules_.refresh;  // part of all draws
  const double share = draw < alike ? rules_.refresh * draw
                                    : rules_.refresh + rules_.jitter -
                                          std::sqrt(4 * rules_.jitter * rules_.refresh * (1 - draw));
  return lifetime * std::min(1.0, share);
}

void Cache::Expire(Seconds now) {
  while (!deaths_.empty() && deaths_.begin()->first <= now) Erase(entries_.find(deaths_.begin()->second));
}

}  // namespace opalroute::dns
