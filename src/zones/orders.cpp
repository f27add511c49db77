#include "zones/orders.h"

#include <algorithm>
#include <string>

namespace opalroute::zones {

namespace {

constexpr const char* kNames[] = {"none", "leave", "keep"};
constexpr Seconds kRevokedFor = 60;  // a revocation is told for so long at least

}  // namespace

const char* NameOf(ByHand what) { return kNames[static_cast<int>(what)]; }

std::optional<ByHand> ByHandOf(std::string_view name) {
  for (int i = 0; i < 3; ++i)
    if (name == kNames[i]) return static_cast<ByHand>(i);
  return std::nullopt;
}

bool Orders::Hear(Seconds now, int zone, const HandOrder& order) {
  HandOrder& known = orders_[static_cast<std::size_t>(zone)];
  if (order.number > kMostNumber || order.until > now + kMostLasts + 1) return false;
  if (known.Before(order)) {
    known = order;
    return true;
  }
  // The same one: the earliest end is the true one, as what is left is rounded up and notes take time.
  if (!order.Before(known)) known.until = std::min(known.until, order.until);
  return false;
}

const HandOrder& Orders::Give(Seconds now, int zone, ByHand what, Seconds lasts, tier::Peer by) {
  HandOrder& known = orders_[static_cast<std::size_t>(zone)];
  const Seconds stands = known.until - now;
  const Seconds told = what == ByHand::kNone ? std::max(stands, kRevokedFor) : lasts;
  known = {known.number + 1, by, what, now + std::clamp(told, 0.0, kMostLasts)};
  return known;
}

ByHand Orders::InForce(Seconds now, int zone) const {
  const HandOrder& order = Of(zone);
  return now < order.until ? order.what : ByHand::kNone;
}

std::vector<HandOrder> Orders::Tell(Seconds now) const {
  std::vector<HandOrder> told = orders_;
  bool any = false;
  for (HandOrder& order : told) {
    if (order.number == 0 || order.until <= now) order = {};
    any = any || order.number > 0;
    order.until = std::max(0.0, order.until - now);
  }
  return any ? told : std::vector<HandOrder>();
}

}  // namespace opalroute::zones
