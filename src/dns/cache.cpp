#include "dns/cache.h"

#include <algorithm>

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
  const bool first = old == entries_.end();
  if (!first) Erase(old);
  if (entries_.size() >= rules_.entries) Erase(entries_.find(deaths_.begin()->second));
  Entry e;
  const Seconds lives = LifetimeOf(answer);
  e.fresh_until = now + lives;
  const double share =
      first ? (rules_.refresh + rules_.jitter) * draw : rules_.refresh + rules_.jitter * (2 * draw - 1);
  e.refresh_at = now + lives * std::min(1.0, share);
  e.dies_at = e.fresh_until + rules_.stale_most;
  e.answer = std::move(answer);
  deaths_.insert({e.dies_at, question});
  entries_.emplace(question, std::move(e));
}

void Cache::Expire(Seconds now) {
  while (!deaths_.empty() && deaths_.begin()->first <= now) Erase(entries_.find(deaths_.begin()->second));
}

}  // namespace opalroute::dns
