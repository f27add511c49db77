#include "decision/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace opalroute::decision {
namespace {

constexpr double kMaxTransitShare = 0.1;        // of a deduplication window: most time reserved for transit
constexpr double kMaxServiceTimeShare = 0.1;    // of a deadline: most time reserved for serving a request
constexpr int kMinServiceTicks = 2;             // ticks: least time reserved for serving a request
constexpr double kMaxTimeoutShare = 0.4;        // of a deadline: leaves time for another attempt
constexpr double kMinShortageBackoffTicks = 8;  // ticks: least base of the backoff after a local shortage
constexpr int kMaxHedgedCalls = 2;              // calls at once with one request, if it may be hedged
constexpr int kMaxBackoffExponent = 5;
constexpr int kBackoffExponentOffset = 3;  // makes the first backoffs shorter than the expected latency

}  // namespace

bool IsBoundToZone(const RequestClass& request_class) {
  return request_class.idempotency == Idempotency::kIdempotencyKey &&
         request_class.deduplication_scope == DeduplicationScope::kZone;
}

RetryPolicy::RetryPolicy(DecisionContext& context, EndpointTable& table, const LatencyEstimator& latency)
    : context_(context), table_(table), latency_(latency) {}

std::optional<AttemptBounds> RetryPolicy::Bounds(const Request& request) const {
  std::vector<const Attempt*> attempts;
  for (const Attempt& attempt : request.attempts) {
    if (attempt.MayRunOrHaveRun()) attempts.push_back(&attempt);
  }
  return BoundsSetBy(attempts, request);
}

std::optional<AttemptBounds> RetryPolicy::BoundsSetBy(const std::vector<const Attempt*>& attempts,
                                                      const Request& request) const {
  const RequestClass& request_class = context_.settings.classes[request.request_class];
  if (attempts.empty() || request_class.idempotency == Idempotency::kIdempotent) return AttemptBounds{};
  if (request_class.idempotency == Idempotency::kNonIdempotent) return std::nullopt;
  const Attempt* first = attempts.front();
  const bool is_bound_to_zone = IsBoundToZone(request_class);
  const bool in_one_zone = std::all_of(attempts.begin(), attempts.end(), [first](const Attempt* attempt) {
    return AreInOneZone(attempt->location, first->location);
  });
  // Each zone drops only the repeats of what it has run itself, so no zone is left for another attempt.
  if (is_bound_to_zone && !in_one_zone) return std::nullopt;
  const Seconds window = request_class.deduplication_window;
  const Seconds expected = latency_.Expected(table_.DestinationAt(request.destination));
  const Seconds longest_transit = kMaxTransitShare * window;
  const Seconds transit = expected > 0 ? std::min(expected, longest_transit) : longest_transit;
  return AttemptBounds{is_bound_to_zone ? EndpointScope::ZoneOf(first->location) : EndpointScope(),
                       first->sent + window - context_.settings.tick - transit};
}

bool RetryPolicy::MayStillSend(const Request& request, std::size_t attempt, Seconds now) const {
  std::vector<const Attempt*> others;
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (i != attempt && request.attempts[i].MayRunOrHaveRun()) others.push_back(&request.attempts[i]);
  }
  const auto bounds = BoundsSetBy(others, request);
  if (!bounds || bounds->send_deadline <= now) return false;
  return bounds->scope.Includes(request.attempts[attempt].location);
}

bool RetryPolicy::MayAttempt(const Request& request, const std::optional<AttemptBounds>& bounds) const {
  return bounds && bounds->send_deadline > context_.now &&
         request.AttemptsUsed() < context_.settings.max_attempts;
}

bool RetryPolicy::MayReject(const Request& request) const {
  const RequestClass& request_class = context_.settings.classes[request.request_class];
  if (request_class.idempotency == Idempotency::kIdempotent) return true;
  if (request_class.idempotency == Idempotency::kIdempotencyKey &&
      request_class.deduplication_scope == DeduplicationScope::kAll)
    return true;
  return std::none_of(request.attempts.begin(), request.attempts.end(),
                      [](const Attempt& attempt) { return attempt.MayRunOrHaveRun(); });
}

Seconds RetryPolicy::Expiry(const Request& request) const {
  if (request.attempts_in_flight > 0) return request.deadline;
  const Settings& settings = context_.settings;
  const auto bounds = Bounds(request);
  const Seconds expected = latency_.Expected(table_.FindOrAddDestination(request.destination));
  const Seconds longest_service = kMaxServiceTimeShare * settings.classes[request.request_class].deadline;
  const Seconds expiry =
      request.deadline - std::max(kMinServiceTicks * settings.tick, std::min(expected, longest_service));
  return bounds ? std::min(expiry, bounds->send_deadline) : expiry;
}

bool RetryPolicy::RequiresNewConnection(const Request& request) const {
  return request.response_was_doubted ||
         context_.settings.classes[request.request_class].idempotency == Idempotency::kNonIdempotent;
}

bool RetryPolicy::MayRetry(const Request& request) const {
  return context_.now < request.deadline - kMinServiceTicks * context_.settings.tick && Bounds(request);
}

bool RetryPolicy::MayOpenAnotherCall(const Request& request) const {
  return request.OpenCalls() < (context_.settings.may_hedge ? kMaxHedgedCalls : 1);
}

Seconds RetryPolicy::RandomBackoffEnd(const Request& request, Outcome last) {
  const Settings& settings = context_.settings;
  const Seconds shortage = last == Outcome::kLocalShortage ? kMinShortageBackoffTicks * settings.tick : 0;
  const Seconds expected = latency_.Expected(table_.FindOrAddDestination(request.destination));
  const int attempts = static_cast<int>(request.attempts.size());
  const int exponent = std::min(attempts, kMaxBackoffExponent) - kBackoffExponentOffset;
  const Seconds backoff = std::max(settings.tick, std::max(shortage, expected) * std::exp2(exponent));
  return context_.now + backoff * context_.random.JitterFactor();
}

// The timeout doubles with each attempt that timed out, so that slow requests are served in the end. A
// timeout would end a non-idempotent request, which may not be retried, so its attempts have none.
Seconds RetryPolicy::TimeoutAt(const Request& request, const Endpoint& endpoint,
                               double latency_factor) const {
  const Settings& settings = context_.settings;
  const RequestClass& request_class = settings.classes[request.request_class];
  if (request_class.idempotency == Idempotency::kNonIdempotent) return 0;
  if (request.AttemptsUsed() >= settings.max_attempts) return 0;
  const Seconds timeout = latency_.CallTimeout(endpoint) * latency_factor * std::exp2(request.timeouts);
  const Seconds until = context_.now + std::min(timeout, kMaxTimeoutShare * request_class.deadline);
  return until < request.deadline ? until : 0;
}

}  // namespace opalroute::decision
