#include "lab/lane_model.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace opalroute::lab {

namespace {

constexpr double kMostlyFails = 0.5;     // chance above which an outage counts as one
constexpr Seconds kRefusalTakes = 0.01;  // a refusal costs next to nothing
constexpr double kDepth = 0.5;           // seconds of a plain rate that may come at once

}  // namespace

const LaneOutage* LaneModel::At(Seconds now) const {
  for (const LaneOutage& outage : outages_)
    if (now >= outage.from && now < outage.to) return &outage;
  return nullptr;
}

bool LaneModel::IsOutage(const LaneOutage& outage) {
  return outage.kind != TroubleKind::kSlow && (!ByChance(outage.kind) || outage.chance > kMostlyFails);
}

bool LaneModel::OutAt(Seconds now) const {
  const LaneOutage* outage = At(now);
  return collapsed_ || (outage != nullptr && IsOutage(*outage));
}

std::optional<Seconds> LaneModel::OpenedAt(Seconds now) const {
  std::optional<Seconds> opened;
  for (const LaneOutage& outage : outages_)
    if (IsOutage(outage) && outage.to <= now && (!opened || outage.to > *opened)) opened = outage.to;
  return opened;
}

bool LaneModel::ColdAt(Seconds now) const {
  const auto opened = OpenedAt(now);
  return opened && now < *opened + s_.ramp && !OutAt(now);
}

double LaneModel::CapacityAt(Seconds now) const {
  if (OutAt(now)) return 0;
  const auto opened = OpenedAt(now);
  if (!opened) return s_.capacity;
  const double warm = s_.ramp > 0 ? std::clamp((now - *opened) / s_.ramp, 0.0, 1.0) : 1;
  return s_.capacity * (s_.cold_from + (1 - s_.cold_from) * warm);
}

bool LaneModel::RefusesConnections(Seconds now) const {
  const LaneOutage* outage = At(now);
  return collapsed_ || (outage != nullptr && outage->kind == TroubleKind::kRefuse);
}

bool LaneModel::VanishedAt(Seconds now) const {
  const LaneOutage* outage = At(now);
  return outage != nullptr && outage->kind == TroubleKind::kVanish;
}

std::optional<Seconds> LaneModel::TakePlace(Seconds now, Seconds takes) {
  const auto places = static_cast<std::size_t>(std::max(1L, std::lround(s_.capacity * s_.latency)));
  while (!places_.empty() && *places_.begin() <= now) places_.erase(places_.begin());
  while (!begins_.empty() && begins_.front() <= now) begins_.pop_front();
  if (places_.size() < places) {
    places_.insert(now + takes);
    return now;
  }
  if (begins_.size() >= static_cast<std::size_t>(s_.queue)) return std::nullopt;
  const Seconds begins = *places_.begin();
  places_.erase(places_.begin());
  places_.insert(begins + takes);
  begins_.push_back(begins);
  return begins;
}

// `share` of its capacity that it has at the moment.
bool LaneModel::AboveLimit(Seconds now, double share) {
  if (s_.limit <= 0) return false;
  const double limit = s_.limit * share;
  if (s_.window > 0) {
    const auto span = static_cast<std::int64_t>(std::floor(now / s_.window));
    if (span != span_) count_ = 0;
    span_ = span;
    const bool above = count_ + 1 > std::max(1.0, limit * s_.window);
    if (!above || s_.refused_count) ++count_;
    return above;
  }
  const double depth = std::max(1.0, kDepth * limit);
  tokens_ = std::min(depth, tokens_ + limit * (now - filled_));
  filled_ = now;
  const bool above = tokens_ < 1;
  if (!above) {
    tokens_ -= 1;
  } else if (s_.refused_count) {
    tokens_ = std::max(-depth, tokens_ - 0.2);  // a refused call uses up some
  }
  return above;
}

// Honest: at its end there is room again, unless others have taken it.
Seconds LaneModel::WaitToTell(Seconds now, const LaneOutage* shut) {
  if (Draw() >= s_.tells_wait) return 0;
  if (shut != nullptr) return shut->to - now;
  if (s_.window > 0) return (static_cast<double>(span_) + 1) * s_.window - now;
  return std::max(s_.wait, (1 - tokens_) / std::max(0.01, s_.limit * CapacityAt(now) / s_.capacity));
}

LaneModel::Verdict LaneModel::Take(Seconds now) {
  Verdict v;
  if (!collapsed_ && ColdAt(now)) {
    weight_.push_back(now);
    while (weight_.front() <= now - s_.overload_for) weight_.pop_front();
    const double budget = s_.overload_factor * CapacityAt(now) * s_.overload_for;
    // A little slack for chance, as the rule allows.
    if (static_cast<double>(weight_.size()) > budget + s_.overload_slack * std::sqrt(budget))
      collapsed_ = v.fell_over = true;
  }
  const LaneOutage* outage = At(now);
  if (outage != nullptr && outage->kind == TroubleKind::kVanish) {
    v.fate = Fate::kHangs;
    return v;
  }
  const bool shut = collapsed_ || (outage != nullptr && outage->kind == TroubleKind::kShut);
  if (shut || (outage == nullptr && AboveLimit(now, CapacityAt(now) / s_.capacity))) {
    v.fate = Fate::kFull;
    v.takes = kRefusalTakes;
    v.wait = collapsed_ ? 0 : WaitToTell(now, shut ? outage : nullptr);
    return v;
  }
  const double sigma2 = std::log(1 + s_.latency_cv * s_.latency_cv);
  std::lognormal_distribution<double> latency(std::log(s_.latency) - sigma2 / 2, std::sqrt(sigma2));
  v.takes = latency(random_);
  if (outage != nullptr && outage->kind == TroubleKind::kSlow) v.takes *= outage->factor;
  if (s_.queue >= 0) {
    const Seconds next = places_.empty() ? now : *places_.begin();
    const auto begins = TakePlace(now, v.takes * s_.capacity / std::max(0.01, CapacityAt(now)));
    if (!begins) {
      v.fate = Fate::kFull;
      v.takes = kRefusalTakes;
      if (Draw() < s_.tells_wait) v.wait = std::max(0.0, next - now);
      return v;
    }
    v.takes += *begins - now;
  }
  v.ran = true;
  if (outage == nullptr) return v;
  if (outage->kind == TroubleKind::kHang) v.fate = Fate::kHangs;
  const bool strikes = Draw() < outage->chance;
  if (strikes && outage->kind == TroubleKind::kErrors) {
    v.fate = Fate::kError;
    v.takes *= 0.2;
  }
  if (strikes && outage->kind == TroubleKind::kReset) v.fate = Fate::kReset;
  if (strikes && outage->kind == TroubleKind::kSpoilt) v.fate = Fate::kSpoilt;
  return v;
}

}  // namespace opalroute::lab
