#include "lab/partner_model.h"

#include <algorithm>

namespace opalroute::lab {

namespace {

constexpr Seconds kWaitGrace = 0.1;  // calls that come this soon after a wait was told had left before

std::vector<LaneOutage> OutagesOf(const PartnerSettings& settings) {
  if (settings.shut_to <= 0) return {};
  return {{TroubleKind::kShut, settings.shut_from, settings.shut_to}};
}

}  // namespace

PartnerModel::PartnerModel(const PartnerSettings& settings)
    : lane_(settings.lane, OutagesOf(settings), settings.seed) {}

int PartnerModel::Count(BreachKind kind) const {
  return static_cast<int>(
      std::count_if(breaches_.begin(), breaches_.end(), [kind](const Breach& b) { return b.kind == kind; }));
}

// Returns since when a wait has been in force, whomever it was told; only that relay breaks the rule.
Seconds PartnerModel::CountWait(Seconds now, int relay, const std::string& message) {
  Seconds since = 0;
  bool own = false;
  for (const Told& told : told_) {
    if (now <= told.from + kWaitGrace || now >= told.until) continue;
    since = since > 0 ? std::min(since, told.from) : told.from;
    own = own || told.relay == relay;
  }
  if (own) breaches_.push_back({now, relay, BreachKind::kInWait, message});
  return since;
}

PartnerModel::Verdict PartnerModel::Take(Seconds now, int relay, const std::string& message, bool unsafe) {
  const Seconds wait_since = CountWait(now, relay, message);
  const LaneModel::Verdict lane = lane_.Take(now);
  if (lane.fell_over) breaches_.push_back({now, relay, BreachKind::kCollapse, {}});
  Verdict verdict;
  verdict.wait = lane.wait;
  verdict.answer_in = lane.takes;
  verdict.status = lane.ran ? 200 : lane.wait > 0 ? 429 : 503;
  if (lane.wait > 0) told_.push_back({relay, now + lane.takes, now + lane.takes + lane.wait});
  if (lane.ran && unsafe && !ran_.insert(message).second)
    breaches_.push_back({now, relay, BreachKind::kTwice, message});
  calls_.push_back({now, relay, verdict.status, wait_since});
  return verdict;
}

}  // namespace opalroute::lab
