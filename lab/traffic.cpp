#include "lab/traffic.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace opalroute::lab {

Traffic::Traffic(const World& world, std::uint64_t seed)
    : world_(world), s_(world.scenario()), random_(seed, 2), random_senders_(seed, 7) {
  double sum = 0, size = 0;
  for (const WorldPartner& partner : world.partners()) {
    shares_.push_back(sum += partner.share);
    const double limit = partner.limit > 0 ? partner.limit : s_.load.rate * partner.share;
    size += partner.share * std::max(1.0, limit * (s_.load.clump.least + s_.load.clump.most) / 2);
  }
  clump_mean_ = size;
  double all = 0;
  for (const ClassPlan& c : s_.classes) classes_.push_back(all += c.share);
  all = 0;
  for (const TenantPlan& t : s_.tenants) tenants_.push_back(all += t.share);
  for (const Burst& burst : s_.load.bursts) most_times_ = std::max(most_times_, burst.times);
}

double Traffic::RateAt(Seconds now) const {
  double times = 1;
  for (const Burst& burst : s_.load.bursts)
    if (now >= burst.from && now < burst.from + burst.lasts) times = std::max(times, burst.times);
  return s_.load.rate * times;
}

std::size_t Traffic::DrawPartner(Seconds now) {
  for (const Burst& burst : s_.load.bursts) {
    const bool on = burst.hot_partners > 0 && now >= burst.from && now < burst.from + burst.lasts;
    if (on && Unit() < 1 - 1 / burst.times) return random_(static_cast<std::uint32_t>(burst.hot_partners));
  }
  const double draw = Unit() * shares_.back();
  const auto it = std::upper_bound(shares_.begin(), shares_.end(), draw);
  return std::min(shares_.size() - 1, static_cast<std::size_t>(it - shares_.begin()));
}

int Traffic::DrawClass() {
  const auto it = std::upper_bound(classes_.begin(), classes_.end(), Unit() * classes_.back());
  return static_cast<int>(std::min(classes_.size() - 1, static_cast<std::size_t>(it - classes_.begin())));
}

Arrival Traffic::Draw(Seconds due, int message_class, std::size_t partner) {
  Arrival arrival{due, message_class, partner};
  if (tenants_.size() > 1) {
    const auto it =
        std::upper_bound(tenants_.begin(), tenants_.end(), DrawUnit(random_senders_) * tenants_.back());
    arrival.tenant =
        static_cast<int>(std::min(tenants_.size() - 1, static_cast<std::size_t>(it - tenants_.begin())));
  }
  if (s_.load.order_keys > 0 &&
      s_.classes[static_cast<std::size_t>(arrival.message_class)].rules.ordered_by_key)
    arrival.order_key = static_cast<int>(random_senders_(static_cast<std::uint32_t>(s_.load.order_keys)));
  return arrival;
}

std::optional<Arrival> Traffic::Next() {
  if (!clump_.empty()) {
    const Arrival next = clump_.front();
    clump_.pop_front();
    return next;
  }
  // Poisson arrivals by thinning; one of them may be a clump, so that clumps carry their share of the
  // messages.
  const double clumps = s_.load.clump_share / clump_mean_;
  const double thinned = (1 - s_.load.clump_share) + clumps;
  for (;;) {
    now_ += std::exponential_distribution<double>(s_.load.rate * most_times_ * thinned)(random_);
    if (now_ >= s_.lasts) return std::nullopt;
    if (Unit() < RateAt(now_) / (s_.load.rate * most_times_)) break;
  }
  const int message_class = DrawClass();
  const Arrival arrival = Draw(now_, message_class, DrawPartner(now_));
  if (Unit() >= clumps / thinned) return arrival;
  const WorldPartner& partner = world_.partners()[arrival.partner];
  const double limit = partner.limit > 0 ? partner.limit : s_.load.rate * partner.share;
  const double span = s_.load.clump.least + (s_.load.clump.most - s_.load.clump.least) * Unit();
  const auto size = static_cast<int>(std::max(1.0, limit * span));
  for (int i = 1; i < size; ++i) clump_.push_back(Draw(now_, DrawClass(), arrival.partner));
  return arrival;
}

}  // namespace opalroute::lab
