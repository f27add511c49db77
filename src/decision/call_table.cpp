#include "decision/call_table.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace opalroute::decision {
namespace {

constexpr double kLostCallTimeouts = 1.5;  // call timeouts; a call that takes longer counts as lost
constexpr double kOutlierSlots = 0.3;      // fraction of the concurrency limit that all outliers share

}  // namespace

CallTable::CallTable(DecisionContext& context, EndpointTable& table, RequestTable& requests,
                     const LatencyEstimator& latency)
    : context_(context), table_(table), requests_(requests), latency_(latency) {}

std::uint64_t CallTable::Open(Destination& destination, Endpoint& endpoint) {
  const std::uint64_t id = ++latest_call_;
  Call& call = calls_[id];
  call.endpoint = endpoint.endpoint;
  call.sent = context_.now;
  ++destination.calls_in_flight;
  destination.latest_call = id;
  endpoint.in_flight_send_times.insert(context_.now);
  return id;
}

void CallTable::AddAttempt(std::uint64_t call, AttemptId attempt) {
  Call& entry = calls_.at(call);
  ++entry.pending;
  entry.attempts.push_back(attempt);
}

void CallTable::EndAttempt(std::uint64_t call, Destination& destination, Endpoint& endpoint) {
  const auto it = calls_.find(call);
  if (--it->second.pending > 0) return;
  const Seconds sent = it->second.sent;
  calls_.erase(it);
  --destination.calls_in_flight;
  endpoint.in_flight_send_times.erase(endpoint.in_flight_send_times.find(sent));
}

int CallTable::FreeSlots() const {
  return context_.settings.concurrency_limit - static_cast<int>(calls_.size());
}

bool CallTable::MayOpenCall(const Endpoint& endpoint) const {
  if (!endpoint.IsOutlier()) return true;
  std::set<EndpointId> outliers;
  for (const auto& [id, call] : calls_) {
    if (table_.EndpointAt(call.endpoint).IsOutlier()) outliers.insert(call.endpoint);
  }
  const Seconds lost_before = context_.now - kLostCallTimeouts * latency_.CallTimeout(endpoint);
  const auto not_lost = std::distance(endpoint.in_flight_send_times.upper_bound(lost_before),
                                      endpoint.in_flight_send_times.end());
  const int slots = static_cast<int>(kOutlierSlots * context_.settings.concurrency_limit);
  return not_lost < std::max(1, slots / std::max(1, static_cast<int>(outliers.size())));
}

void CallTable::ReclaimSlot(EndpointHealth& health) {
  for (auto& [id, call] : calls_) {  // in the order in which they were sent
    Endpoint& endpoint = table_.EndpointAt(call.endpoint);
    health.DetectStall(endpoint);
    if (CancelIfOverdue(id, call, endpoint)) return;
  }
}

bool CallTable::CancelIfOverdue(std::uint64_t id, Call& call, const Endpoint& endpoint) {
  const Seconds max_duration = kLostCallTimeouts * latency_.CallTimeout(endpoint) *
                               BatchLatencyFactor(static_cast<int>(call.attempts.size()));
  if (!context_.settings.may_cancel || context_.now - call.sent < max_duration) return false;
  if (std::exchange(call.cancelled, true)) return false;
  for (const AttemptId& attempt_id : call.attempts) {
    Attempt* attempt = FindCancellable(id, attempt_id);
    if (attempt == nullptr) continue;
    attempt->cancelled = true;
    context_.Emit(CancelAttempt{attempt_id.request_id, attempt_id.index});
  }
  return true;
}

// The requests of a batch end one at a time: some may have ended and been removed while others are still
// pending. When a request ends, its remaining attempts are cancelled with it.
Attempt* CallTable::FindCancellable(std::uint64_t call, const AttemptId& id) {
  Request* request = requests_.Find(id.request_id);
  if (request == nullptr || request->ended) return nullptr;
  if (id.index >= static_cast<int>(request->attempts.size())) return nullptr;  // the id has been reused
  Attempt& attempt = request->attempts[static_cast<std::size_t>(id.index)];
  return attempt.call == call && attempt.in_flight && !attempt.cancelled ? &attempt : nullptr;
}

}  // namespace opalroute::decision
