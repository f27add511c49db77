// Tests that evacuation states merge to the same state in every order.
#include "zone_failover/zone_evacuation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <optional>
#include <vector>

namespace opalroute {
namespace {

using zone_failover::EvacuationPhase;

TEST_CASE("zone failover: states merge to the same result in every order and with every loss") {
  const std::vector<zone_failover::EvacuationState> sent = {
      {1, EvacuationPhase::kEvacuating, 0, 3},  {1, EvacuationPhase::kEvacuated, 0, 4},
      {1, EvacuationPhase::kRecovering, 0, 5},  {2, EvacuationPhase::kEvacuated, 1, 6},
      {1, EvacuationPhase::kInService, 0, 5.5}, {2, EvacuationPhase::kEvacuated, 1, 6.1}};
  std::vector<int> order(sent.size());
  std::iota(order.begin(), order.end(), 0);
  for (unsigned received_bits = 1; received_bits < 64; ++received_bits) {
    std::optional<zone_failover::EvacuationState> expected;
    do {
      zone_failover::ZoneEvacuation evacuation({}, 1, 0);
      for (const int i : order)
        if ((received_bits >> i & 1U) != 0) evacuation.Merge(10, 0, sent[static_cast<std::size_t>(i)]);
      const zone_failover::EvacuationState& merged = evacuation.StateOf(0);
      if (!expected) expected = merged;
      REQUIRE(merged.round == expected->round);
      REQUIRE(merged.phase == expected->phase);
      REQUIRE(merged.since == expected->since);
    } while (std::next_permutation(order.begin(), order.end()));
  }
}

}  // namespace
}  // namespace opalroute
