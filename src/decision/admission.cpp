#include "decision/admission.h"

#include <algorithm>
#include <utility>

namespace opalroute::decision {
namespace {

constexpr double kQuotaBurst = 4;           // seconds of a tenant's quota that may arrive at once
constexpr double kReservedCapacity = 0.05;  // fraction of the request capacity kept free for new requests

}  // namespace

Admission::Admission(const DecisionContext& context) : context_(context) {
  for (const Tenant& tenant : context.settings.tenants)
    quotas_.push_back({kQuotaBurst * tenant.quota / context.settings.relay_count, 0});
}

bool Admission::IsOverQuota(std::optional<int> tenant) {
  if (!tenant) return false;
  TokenBucket& bucket = quotas_[*tenant];
  const double rate = context_.settings.tenants[*tenant].quota / context_.share_count;
  bucket.Refill(context_.now, rate, kQuotaBurst * rate);
  return !bucket.TryTake();
}

void Admission::Hold(Destination& destination) {
  ++destination.requests_held;
  ++requests_held_;
}

void Admission::Release(Request& request, Destination& destination) {
  if (std::exchange(request.released, true)) return;
  --requests_held_;
  --destination.requests_held;
}

bool Admission::MustShedLoad() const {
  const int capacity = context_.settings.request_capacity;
  return requests_held_ > capacity - std::max(1, static_cast<int>(kReservedCapacity * capacity));
}

Seconds Admission::EstimateRetryAfter(const Destination& destination) const {
  double rate = 0;
  for (const Endpoint* endpoint : destination.endpoints) {
    const double send_rate = endpoint->route->rate_limiter.send_rate();
    if (endpoint->IsInService() && endpoint->circuit.IsClosed() && send_rate < kNever) rate += send_rate;
  }
  const Seconds max_retry_after = context_.settings.max_retry_after;
  return rate > 0 ? std::min(max_retry_after, destination.waiting_count / rate) : max_retry_after;
}

}  // namespace opalroute::decision
