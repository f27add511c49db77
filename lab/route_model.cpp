#include "lab/route_model.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace opalroute::lab {

namespace {

constexpr double kMinOutageProbability = 0.5;  // a probabilistic fault above this is an outage
constexpr Seconds kRejectionDuration = 0.01;   // a rejection takes almost no work
constexpr double kBurstSeconds = 0.5;          // size of the token bucket, in seconds of the rate limit

}  // namespace

double MaxCallsWhileRecovering(double allowed) {
  constexpr double kFewCalls = 30;
  const double deviations = allowed < kFewCalls ? 3 : 2;
  return allowed + deviations * std::sqrt(allowed + deviations);
}

const RouteFault* RouteModel::ActiveFault(Seconds now) const {
  for (const RouteFault& fault : faults_)
    if (now >= fault.from && now < fault.to) return &fault;
  return nullptr;
}

bool RouteModel::IsOutage(const RouteFault& fault) {
  return fault.kind != RouteFaultKind::kSlow &&
         (!IsProbabilistic(fault.kind) || fault.probability > kMinOutageProbability);
}

bool RouteModel::InOutage(Seconds now) const {
  const RouteFault* fault = ActiveFault(now);
  return collapsed_ || (fault != nullptr && IsOutage(*fault));
}

std::optional<Seconds> RouteModel::LastOutageEnd(Seconds now) const {
  std::optional<Seconds> outage_end;
  for (const RouteFault& fault : faults_)
    if (IsOutage(fault) && fault.to <= now && (!outage_end || fault.to > *outage_end)) outage_end = fault.to;
  return outage_end;
}

std::optional<Seconds> RouteModel::LastOutageStart(Seconds now) const {
  const RouteFault* latest = nullptr;
  for (const RouteFault& fault : faults_)
    if (IsOutage(fault) && fault.to <= now && (latest == nullptr || fault.to > latest->to)) latest = &fault;
  if (latest == nullptr) return std::nullopt;
  Seconds start = latest->from;
  for (bool extended = true; extended;) {  // by outages that overlap it
    extended = false;
    for (const RouteFault& fault : faults_) {
      if (!IsOutage(fault) || fault.from >= start || fault.to < start) continue;
      start = fault.from;
      extended = true;
    }
  }
  return start;
}

bool RouteModel::IsRecovering(Seconds now) const {
  const auto outage_end = LastOutageEnd(now);
  return outage_end && now < *outage_end + s_.recovery_time && !InOutage(now);
}

double RouteModel::CapacityAt(Seconds now) const {
  if (InOutage(now)) return 0;
  const auto outage_end = LastOutageEnd(now);
  if (!outage_end) return s_.capacity;
  const double progress =
      s_.recovery_time > 0 ? std::clamp((now - *outage_end) / s_.recovery_time, 0.0, 1.0) : 1;
  return s_.capacity * (s_.initial_capacity_share + (1 - s_.initial_capacity_share) * progress);
}

bool RouteModel::RefusesConnections(Seconds now) const {
  const RouteFault* fault = ActiveFault(now);
  return collapsed_ || (fault != nullptr && fault->kind == RouteFaultKind::kRefuseConnections);
}

bool RouteModel::IsUnreachable(Seconds now) const {
  const RouteFault* fault = ActiveFault(now);
  return fault != nullptr && fault->kind == RouteFaultKind::kUnreachable;
}

std::optional<Seconds> RouteModel::AssignWorker(Seconds now, Seconds duration) {
  const auto workers = static_cast<std::size_t>(std::max(1L, std::lround(s_.capacity * s_.mean_latency)));
  while (!workers_free_at_.empty() && *workers_free_at_.begin() <= now)
    workers_free_at_.erase(workers_free_at_.begin());
  while (!queued_starts_.empty() && queued_starts_.front() <= now) queued_starts_.pop_front();
  if (workers_free_at_.size() < workers) {
    workers_free_at_.insert(now + duration);
    return now;
  }
  if (queued_starts_.size() >= static_cast<std::size_t>(s_.max_queued_calls)) return std::nullopt;
  const Seconds start = *workers_free_at_.begin();
  workers_free_at_.erase(workers_free_at_.begin());
  workers_free_at_.insert(start + duration);
  queued_starts_.push_back(start);
  return start;
}

// `capacity_share`: the share of its full capacity that it has now.
bool RouteModel::ExceedsRateLimit(Seconds now, double capacity_share) {
  if (s_.rate_limit <= 0) return false;
  const double limit = s_.rate_limit * capacity_share;
  if (s_.window > 0) {
    const auto index = static_cast<std::int64_t>(std::floor(now / s_.window));
    if (index != window_index_) window_count_ = 0;
    window_index_ = index;
    const bool exceeds = window_count_ + 1 > std::max(1.0, limit * s_.window);
    if (!exceeds || s_.rejected_calls_count) ++window_count_;
    return exceeds;
  }
  const double bucket_size = std::max(1.0, kBurstSeconds * limit);
  tokens_ = std::min(bucket_size, tokens_ + limit * (now - refilled_at_));
  refilled_at_ = now;
  const bool exceeds = tokens_ < 1;
  if (!exceeds) {
    tokens_ -= 1;
  } else if (s_.rejected_calls_count) {
    tokens_ = std::max(-bucket_size, tokens_ - 0.2);  // a rejected call takes a fifth of a token
  }
  return exceeds;
}

// A truthful Retry-After: when it ends, calls are accepted again, unless other callers have used up the
// limit.
Seconds RouteModel::DrawRetryAfter(Seconds now, const RouteFault* reject_all) {
  if (Draw() >= s_.retry_after_share) return 0;
  if (reject_all != nullptr) return reject_all->to - now;
  if (s_.window > 0) return (static_cast<double>(window_index_) + 1) * s_.window - now;
  return std::max(s_.retry_after,
                  (1 - tokens_) / std::max(0.01, s_.rate_limit * CapacityAt(now) / s_.capacity));
}

RouteModel::CallResult RouteModel::HandleCall(Seconds now) {
  CallResult result;
  if (!collapsed_ && IsRecovering(now)) {
    recovery_calls_.push_back(now);
    while (recovery_calls_.front() <= now - s_.overload_window) recovery_calls_.pop_front();
    const double allowed = s_.overload_factor * CapacityAt(now) * s_.overload_window;
    const double most = s_.overload_tolerance ? MaxCallsWhileRecovering(allowed) : allowed;
    if (static_cast<double>(recovery_calls_.size()) > most) collapsed_ = result.caused_collapse = true;
  }
  const RouteFault* fault = ActiveFault(now);
  if (fault != nullptr && fault->kind == RouteFaultKind::kUnreachable) {
    result.status = CallStatus::kNoResponse;
    return result;
  }
  const bool reject_all = collapsed_ || (fault != nullptr && fault->kind == RouteFaultKind::kRejectAll);
  if (reject_all || (fault == nullptr && ExceedsRateLimit(now, CapacityAt(now) / s_.capacity))) {
    result.status = CallStatus::kRejected;
    result.duration = kRejectionDuration;
    result.retry_after = collapsed_ ? 0 : DrawRetryAfter(now, reject_all ? fault : nullptr);
    return result;
  }
  const double sigma2 = std::log(1 + s_.latency_cv * s_.latency_cv);
  std::lognormal_distribution<double> latency(std::log(s_.mean_latency) - sigma2 / 2, std::sqrt(sigma2));
  result.duration = latency(random_);
  if (fault != nullptr && fault->kind == RouteFaultKind::kSlow) result.duration *= fault->latency_factor;
  if (s_.max_queued_calls >= 0) {
    const Seconds next_free = workers_free_at_.empty() ? now : *workers_free_at_.begin();
    const auto start = AssignWorker(now, result.duration * s_.capacity / std::max(0.01, CapacityAt(now)));
    if (!start) {
      result.status = CallStatus::kRejected;
      result.duration = kRejectionDuration;
      if (Draw() < s_.retry_after_share) result.retry_after = std::max(0.0, next_free - now);
      return result;
    }
    result.duration += *start - now;
  }
  result.ran = true;
  if (fault == nullptr) return result;
  if (fault->kind == RouteFaultKind::kNoResponse) result.status = CallStatus::kNoResponse;
  const bool affected = Draw() < fault->probability;
  if (affected && fault->kind == RouteFaultKind::kErrors) {
    result.status = CallStatus::kError;
    result.duration *= 0.2;
  }
  if (affected && fault->kind == RouteFaultKind::kReset) result.status = CallStatus::kReset;
  if (affected && fault->kind == RouteFaultKind::kInvalidResponses)
    result.status = CallStatus::kInvalidResponse;
  return result;
}

}  // namespace opalroute::lab
