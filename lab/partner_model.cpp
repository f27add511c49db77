#include "lab/partner_model.h"

#include <algorithm>

namespace opalroute::lab {

namespace {

// A call that arrives this soon after a Retry-After may have been sent before the relay received it.
constexpr Seconds kRetryAfterGracePeriod = 0.1;

std::vector<RouteFault> FaultsOf(const PartnerSettings& settings) {
  if (settings.outage_to <= 0) return {};
  return {{RouteFaultKind::kRejectAll, settings.outage_from, settings.outage_to}};
}

}  // namespace

PartnerModel::PartnerModel(const PartnerSettings& settings)
    : route_(settings.route, FaultsOf(settings), settings.seed) {}

int PartnerModel::Count(BreachKind kind) const {
  return static_cast<int>(
      std::count_if(breaches_.begin(), breaches_.end(), [kind](const Breach& b) { return b.kind == kind; }));
}

// Returns since when a Retry-After has been in force, whichever relay received it; only that relay breaks the
// rule.
Seconds PartnerModel::CheckRetryAfter(Seconds now, int relay, const std::string& message) {
  Seconds since = 0;
  bool own = false;
  for (const RetryAfter& sent : retry_afters_) {
    if (now <= sent.from + kRetryAfterGracePeriod || now >= sent.until) continue;
    since = since > 0 ? std::min(since, sent.from) : sent.from;
    own = own || sent.relay == relay;
  }
  if (own) breaches_.push_back({now, relay, BreachKind::kDuringRetryAfter, message});
  return since;
}

PartnerModel::Response PartnerModel::HandleCall(Seconds now, int relay, const std::string& message,
                                                bool non_idempotent) {
  const Seconds retry_after_since = CheckRetryAfter(now, relay, message);
  const RouteModel::CallResult result = route_.HandleCall(now);
  if (result.caused_collapse) breaches_.push_back({now, relay, BreachKind::kCollapse, {}});
  Response response;
  response.retry_after = result.retry_after;
  response.delay = result.duration;
  response.status = result.ran ? 200 : result.retry_after > 0 ? 429 : 503;
  if (result.retry_after > 0)
    retry_afters_.push_back({relay, now + result.duration, now + result.duration + result.retry_after});
  if (result.ran && non_idempotent && !ran_.insert(message).second)
    breaches_.push_back({now, relay, BreachKind::kRanTwice, message});
  calls_.push_back({now, relay, response.status, retry_after_since});
  return response;
}

}  // namespace opalroute::lab
