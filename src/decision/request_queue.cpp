#include "decision/request_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace opalroute::decision {
namespace {

// Orders the best requests of the buckets; the greatest is sent first.
struct BucketRank {
  bool is_preferred = false;
  double weight = 0;
  Seconds negated_objective_end = 0;

  bool operator<(const BucketRank& other) const {
    return std::tie(is_preferred, weight, negated_objective_end) <
           std::tie(other.is_preferred, other.weight, other.negated_objective_end);
  }
};

// Orders the requests that may be shed; the least is shed first.
struct ShedCandidate {
  double weight = kNever;
  RequestId request_id = 0;

  bool operator<(const ShedCandidate& other) const {
    return std::tie(weight, request_id) < std::tie(other.weight, other.request_id);
  }
};

}  // namespace

RequestQueue::RequestQueue(const DecisionContext& context, EndpointTable& table,
                           const LatencyEstimator& latency)
    : context_(context), table_(table), latency_(latency) {}

void RequestQueue::Add(Request& request, const EndpointScope& scope) {
  Destination& destination = table_.FindOrAddDestination(request.destination);
  request.phase = RequestPhase::kWaiting;
  request.bucket = {request.request_class, request.over_quota, scope, request.MayBeShed()};
  destination.waiting[request.bucket].insert({request.received_at, request.request_id});
  ++destination.waiting_count;
  if (request.bucket.may_be_shed) ++destination.sheddable_count;
  active_[destination.id] = &destination;
}

void RequestQueue::Remove(Request& request) {
  if (request.phase != RequestPhase::kWaiting) return;
  request.phase = RequestPhase::kNotQueued;  // a second removal would find no entry
  Destination& destination = table_.FindOrAddDestination(request.destination);
  const auto bucket = destination.waiting.find(request.bucket);
  bucket->second.erase({request.received_at, request.request_id});
  if (bucket->second.empty()) destination.waiting.erase(bucket);
  if (request.bucket.may_be_shed) --destination.sheddable_count;
  if (--destination.waiting_count == 0) active_.erase(destination.id);
}

double RequestQueue::WeightAt(const BucketKey& bucket, Seconds age) const {
  const Settings& settings = context_.settings;
  const RequestClass& request_class = settings.classes[bucket.request_class];
  const double weight = request_class.priority_weight * (bucket.over_quota ? settings.over_quota_weight : 1);
  const Seconds objective = request_class.latency_objective;
  if (age <= objective) return weight;
  if (age >= request_class.deadline) return 0;
  if (settings.late_decay == LateDecay::kHalving)
    return weight * std::max(request_class.weight_at_deadline, std::exp2(-(age - objective) / objective));
  return weight * (1 - (1 - request_class.weight_at_deadline) * (age - objective) /
                           (request_class.deadline - objective));
}

// The earliest request that can still be served within its latency objective; otherwise the latest one, which
// has most of its weight left.
const QueueEntry& RequestQueue::BestEntry(const BucketKey& bucket, const RequestsByTime& requests,
                                          Seconds latency) const {
  const Seconds objective = context_.settings.classes[bucket.request_class].latency_objective;
  const auto in_objective = requests.lower_bound({context_.now + latency - objective, 0});
  return in_objective != requests.end() ? *in_objective : *requests.rbegin();
}

std::optional<BucketKey> RequestQueue::BestBucket(const Destination& destination,
                                                  const std::vector<Endpoint*>& endpoints,
                                                  bool avoid_non_idempotent) const {
  std::optional<BucketKey> best;
  BucketRank best_rank;
  const Seconds latency = latency_.Expected(destination);
  for (const auto& [bucket, requests] : destination.waiting) {
    const EndpointScope& scope = bucket.scope;
    const auto is_inside = [&scope](const Endpoint* endpoint) {
      return scope.Includes(endpoint->Location());
    };
    if (std::none_of(endpoints.begin(), endpoints.end(), is_inside)) continue;
    const RequestClass& request_class = context_.settings.classes[bucket.request_class];
    const Seconds received_at = BestEntry(bucket, requests, latency).time;
    const BucketRank rank{!avoid_non_idempotent || request_class.idempotency != Idempotency::kNonIdempotent,
                          WeightAt(bucket, context_.now + latency - received_at),
                          -(received_at + request_class.latency_objective)};
    if (best && !(best_rank < rank)) continue;
    best = bucket;
    best_rank = rank;
  }
  return best;
}

RequestId RequestQueue::BestRequest(const Destination& destination, const BucketKey& bucket) const {
  return BestEntry(bucket, destination.waiting.at(bucket), latency_.Expected(destination)).request_id;
}

std::optional<RequestId> RequestQueue::LeastValuableOfLongestQueue() const {
  const Destination* longest = nullptr;
  for (const auto& [id, destination] : active_) {
    if (destination->sheddable_count > (longest == nullptr ? 0 : longest->sheddable_count))
      longest = destination;
  }
  if (longest == nullptr) return std::nullopt;
  ShedCandidate least;
  for (const auto& [bucket, requests] : longest->waiting) {
    if (!bucket.may_be_shed) continue;
    const QueueEntry& oldest = *requests.begin();
    least = std::min(least, {WeightAt(bucket, context_.now - oldest.time), oldest.request_id});
  }
  return least.request_id;
}

}  // namespace opalroute::decision
