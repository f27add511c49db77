// What operators have ordered of zones by hand, each order with an end. Told to all relays in their notes and
// kept over restarts. Pure. Whoever hears of a later order takes it over, so notes may be lost, doubled or
// out of order.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "tier/note.h"

namespace opalroute::zones {

enum class ByHand {
  kNone,   // the zone is as its calls say
  kLeave,  // it is left, whatever calls say, and nobody tries it
  kKeep    // it is not left, whatever calls say
};
const char* NameOf(ByHand what);
std::optional<ByHand> ByHandOf(std::string_view name);

struct HandOrder {
  std::uint64_t number = 0;  // a later one has a greater one; 0: nobody has ordered anything
  tier::Peer by = 0;         // the relay that was told; of equal numbers the greater counts
  ByHand what{};
  Seconds until = 0;  // by the own clock; in notes and in the state folder what is left of it
  bool Before(const HandOrder& other) const {
    return number != other.number ? number < other.number : by < other.by;
  }
};

class Orders {
 public:
  static constexpr Seconds kMostLasts = 86400;              // an order ends within a day
  static constexpr std::uint64_t kMostNumber = 1ULL << 48;  // a greater one is no order of anybody's

  explicit Orders(int zones) : orders_(static_cast<std::size_t>(zones)) {}

  // True: it is later than what was known, and is taken over. `order.until` by the own clock.
  bool Hear(Seconds now, int zone, const HandOrder& order);
  // An operator's word at this relay, `lasts` bounded by kMostLasts. With kNone it revokes what stands, and
  // is told for as long as that could still be in force somewhere.
  const HandOrder& Give(Seconds now, int zone, ByHand what, Seconds lasts, tier::Peer by);
  ByHand InForce(Seconds now, int zone) const;
  const HandOrder& Of(int zone) const { return orders_[static_cast<std::size_t>(zone)]; }
  // What others should hear: by zone, `until` as what is left. Empty: there is nothing to tell.
  std::vector<HandOrder> Tell(Seconds now) const;

 private:
  std::vector<HandOrder> orders_;
};

}  // namespace opalroute::zones
