#include "lab/partner_model.h"

#include <algorithm>

namespace opalroute::lab {

double PartnerModel::CapacityAt(Seconds now) const {
  if (collapsed_ || Shut(now)) return 0;
  if (s_.shut_to <= 0 || now < s_.shut_from) return s_.capacity;
  const double warm = std::clamp((now - s_.shut_to) / s_.ramp, 0.0, 1.0);
  return s_.capacity * (s_.cold_from + (1 - s_.cold_from) * warm);
}

int PartnerModel::Count(BreachKind kind) const {
  return static_cast<int>(
      std::count_if(breaches_.begin(), breaches_.end(), [kind](const Breach& b) { return b.kind == kind; }));
}

// Every call that reaches it weighs while it is cold, refused ones too.
void PartnerModel::CountOverload(Seconds now, int relay) {
  const bool cold = s_.shut_to > 0 && now >= s_.shut_to && now < s_.shut_to + s_.ramp;
  if (!cold || collapsed_) return;
  weight_.push_back(now);
  while (weight_.front() <= now - s_.overload_for) weight_.pop_front();
  const double budget = s_.overload_factor * CapacityAt(now) * s_.overload_for;
  if (static_cast<double>(weight_.size()) <= budget) return;
  collapsed_ = true;
  breaches_.push_back({now, relay, BreachKind::kCollapse, {}});
}

// Returns since when a wait has been in force, whomever it was told; only that relay breaks the rule.
Seconds PartnerModel::CountWait(Seconds now, int relay, const std::string& message) {
  Seconds since = 0;
  bool own = false;
  for (const Told& told : told_) {
    if (now <= told.from + s_.wait_grace || now >= told.until) continue;
    since = since > 0 ? std::min(since, told.from) : told.from;
    own = own || told.relay == relay;
  }
  if (own) breaches_.push_back({now, relay, BreachKind::kInWait, message});
  return since;
}

PartnerModel::Verdict PartnerModel::Take(Seconds now, int relay, const std::string& message, bool unsafe) {
  const Seconds wait_since = CountWait(now, relay, message);
  CountOverload(now, relay);
  Verdict verdict;
  while (!taken_.empty() && taken_.front() <= now - s_.window) taken_.pop_front();
  const double limit = s_.limit * CapacityAt(now) / s_.capacity * s_.window;
  const bool shut = Shut(now) || collapsed_;
  const bool full = shut || static_cast<double>(taken_.size() + 1) > std::max(1.0, limit);
  if (full) {
    const bool tells = Draw() < s_.tells_wait && !collapsed_;
    verdict.status = tells ? 429 : 503;
    verdict.wait = !tells ? 0 : shut ? s_.shut_to - now : s_.wait;
    verdict.answer_in = 0.01;
    if (tells) told_.push_back({relay, now + verdict.answer_in, now + verdict.answer_in + verdict.wait});
  } else {
    taken_.push_back(now);
    verdict.answer_in = s_.latency * (0.5 + Draw());
    if (unsafe && !ran_.insert(message).second)
      breaches_.push_back({now, relay, BreachKind::kTwice, message});
  }
  calls_.push_back({now, relay, verdict.status, wait_since});
  return verdict;
}

}  // namespace opalroute::lab
