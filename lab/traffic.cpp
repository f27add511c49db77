#include "lab/traffic.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace opalroute::lab {

Traffic::Traffic(const World& world, std::uint64_t seed)
    : world_(world), s_(world.scenario()), random_(seed, 2), sender_random_(seed, 7) {
  double sum = 0, size = 0;
  for (const PartnerInfo& partner : world.partners()) {
    cumulative_shares_.push_back(sum += partner.share);
    const double limit = partner.limit > 0 ? partner.limit : s_.load.rate * partner.share;
    size += partner.share * std::max(1.0, limit * (s_.load.cluster_size.min + s_.load.cluster_size.max) / 2);
  }
  mean_cluster_size_ = size;
  double total = 0;
  for (const ClassPlan& c : s_.classes) cumulative_classes_.push_back(total += c.share);
  total = 0;
  for (const TenantPlan& t : s_.tenants) cumulative_tenants_.push_back(total += t.share);
  for (const Burst& burst : s_.load.bursts) max_multiplier_ = std::max(max_multiplier_, burst.multiplier);
}

double Traffic::RateAt(Seconds now) const {
  double multiplier = 1;
  for (const Burst& burst : s_.load.bursts)
    if (now >= burst.start && now < burst.start + burst.duration)
      multiplier = std::max(multiplier, burst.multiplier);
  return s_.load.rate * multiplier;
}

std::size_t Traffic::DrawPartner(Seconds now) {
  for (const Burst& burst : s_.load.bursts) {
    const bool active = burst.hot_partners > 0 && now >= burst.start && now < burst.start + burst.duration;
    if (active && Uniform() < 1 - 1 / burst.multiplier)
      return random_(static_cast<std::uint32_t>(burst.hot_partners));
  }
  const double draw = Uniform() * cumulative_shares_.back();
  const auto it = std::upper_bound(cumulative_shares_.begin(), cumulative_shares_.end(), draw);
  return std::min(cumulative_shares_.size() - 1, static_cast<std::size_t>(it - cumulative_shares_.begin()));
}

int Traffic::DrawClass() {
  const auto it = std::upper_bound(cumulative_classes_.begin(), cumulative_classes_.end(),
                                   Uniform() * cumulative_classes_.back());
  return static_cast<int>(
      std::min(cumulative_classes_.size() - 1, static_cast<std::size_t>(it - cumulative_classes_.begin())));
}

Arrival Traffic::MakeArrival(Seconds due, int message_class, std::size_t partner) {
  Arrival arrival{due, message_class, partner};
  if (cumulative_tenants_.size() > 1) {
    const auto it = std::upper_bound(cumulative_tenants_.begin(), cumulative_tenants_.end(),
                                     DrawUniform(sender_random_) * cumulative_tenants_.back());
    arrival.tenant = static_cast<int>(
        std::min(cumulative_tenants_.size() - 1, static_cast<std::size_t>(it - cumulative_tenants_.begin())));
  }
  if (s_.load.ordering_keys > 0 &&
      s_.classes[static_cast<std::size_t>(arrival.message_class)].rules.ordered_by_key)
    arrival.ordering_key =
        static_cast<int>(sender_random_(static_cast<std::uint32_t>(s_.load.ordering_keys)));
  return arrival;
}

std::optional<Arrival> Traffic::Next() {
  if (!cluster_.empty()) {
    const Arrival next = cluster_.front();
    cluster_.pop_front();
    return next;
  }
  // Poisson arrivals by thinning. An arrival is one message or a whole cluster; the probability of a cluster
  // is such that clusters carry `cluster_share` of all messages.
  const double clusters_per_message = s_.load.cluster_share / mean_cluster_size_;
  const double arrivals_per_message = (1 - s_.load.cluster_share) + clusters_per_message;
  for (;;) {
    now_ +=
        std::exponential_distribution<double>(s_.load.rate * max_multiplier_ * arrivals_per_message)(random_);
    if (now_ >= s_.duration) return std::nullopt;
    if (Uniform() < RateAt(now_) / (s_.load.rate * max_multiplier_)) break;
  }
  const int message_class = DrawClass();
  const Arrival arrival = MakeArrival(now_, message_class, DrawPartner(now_));
  if (Uniform() >= clusters_per_message / arrivals_per_message) return arrival;
  const PartnerInfo& partner = world_.partners()[arrival.partner];
  const double limit = partner.limit > 0 ? partner.limit : s_.load.rate * partner.share;
  const double seconds =
      s_.load.cluster_size.min + (s_.load.cluster_size.max - s_.load.cluster_size.min) * Uniform();
  const auto size = static_cast<int>(std::max(1.0, limit * seconds));
  for (int i = 1; i < size; ++i) cluster_.push_back(MakeArrival(now_, DrawClass(), arrival.partner));
  return arrival;
}

}  // namespace opalroute::lab
