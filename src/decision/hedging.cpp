#include "decision/hedging.h"

#include <utility>

#include "decision/retry_policy.h"
#include "decision/upstream.h"

namespace opalroute::decision {
namespace {

constexpr double kHedgedShare = 0.1;  // maximum ratio of hedged requests to first sends

}  // namespace

bool HedgingBudget::AllowsAnother() const {
  return static_cast<double>(hedged_ + 1) <= kHedgedShare * static_cast<double>(first_sends_);
}

void HedgingBudget::Disable(Seconds now) {
  disabled_ = true;
  disabled_at_ = now;
}

void HedgingBudget::MergeDisabled(Seconds disabled_at) {
  if (!std::exchange(disabled_, true)) disabled_at_ = disabled_at;
}

bool MayHedge(const Request& request, const Endpoint& first, const Endpoint& second,
              const Settings& settings) {
  const RequestClass& request_class = settings.classes[request.request_class];
  if (request_class.idempotency == Idempotency::kNonIdempotent) return false;
  if (request.attempts.size() > 1 || settings.max_attempts < 2) return false;
  return !IsBoundToZone(request_class) || AreInOneZone(first.Location(), second.Location());
}

}  // namespace opalroute::decision
