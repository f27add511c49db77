#include "decision/key_order.h"

#include <algorithm>
#include <tuple>

namespace opalroute::decision {

bool KeyOrder::KeyPause::operator<(const KeyPause& other) const {
  return std::tie(until, ordering_key) < std::tie(other.until, other.ordering_key);
}

KeyOrder::KeyOrder(const DecisionContext& context, const RequestTable& requests)
    : context_(context), requests_(requests) {}

void KeyOrder::Append(Request& request) {
  queues_[request.key].requests.push_back(request.request_id);
  request.phase = RequestPhase::kQueuedByKey;
}

void KeyOrder::Pause(const std::string& ordering_key, Seconds until) {
  Seconds& paused_until = queues_[ordering_key].paused_until;
  paused_until = std::max(paused_until, until);
}

bool KeyOrder::IsFinished(RequestId id) const {
  const Request* request = requests_.Find(id);
  return request == nullptr || (request->ended && request->attempts_in_flight == 0);
}

std::optional<RequestId> KeyOrder::Advance(const std::string& ordering_key) {
  const auto it = queues_.find(ordering_key);
  if (it == queues_.end()) return std::nullopt;
  KeyQueue& queue = it->second;
  while (!queue.requests.empty() && IsFinished(queue.requests.front())) queue.requests.pop_front();
  const bool is_empty = queue.requests.empty();
  if (!is_empty && requests_.Find(queue.requests.front())->phase != RequestPhase::kQueuedByKey)
    return std::nullopt;  // already moved to the request queue
  if (queue.paused_until > context_.now) {
    pauses_.insert({queue.paused_until, ordering_key});
    return std::nullopt;
  }
  if (!is_empty) return queue.requests.front();
  queues_.erase(it);
  return std::nullopt;
}

std::optional<std::string> KeyOrder::TakeDuePause() {
  if (pauses_.empty() || pauses_.begin()->until > context_.now) return std::nullopt;
  std::string ordering_key = pauses_.begin()->ordering_key;
  pauses_.erase(pauses_.begin());
  return ordering_key;
}

Seconds KeyOrder::NextDue() const { return pauses_.empty() ? kNever : pauses_.begin()->until; }

}  // namespace opalroute::decision
