// Gossip about upstream routes: the encoding of datagrams and their effect.
#include "decision/route_gossip.h"

#include <optional>
#include <string>
#include <vector>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

TEST(RouteGossipTest, DatagramsRoundTripAndOtherBytesAreRejected) {
  for (const DestinationId destination : {0LL, 1LL, -1LL, 63LL, 64LL, 1LL << 40, -(1LL << 62)}) {
    for (const std::uint32_t name_hash : {0U, 1U, 0xfedcba98U}) {
      const std::string bytes = EncodeRouteGossip({RouteGossip::Kind::kRejected, destination, name_hash});
      const auto gossip = DecodeRouteGossip(bytes);
      ASSERT_TRUE(gossip);
      EXPECT_EQ(gossip->destination, destination);
      EXPECT_EQ(gossip->name_hash, name_hash);
      for (std::size_t length = 0; length < bytes.size(); ++length) {
        const auto part = DecodeRouteGossip(bytes.substr(0, length));
        // Without its hash, a datagram about an endpoint is a valid one about the destination.
        EXPECT_TRUE(!part || (name_hash != 0 && length + 4 == bytes.size()));
      }
      EXPECT_FALSE(DecodeRouteGossip(bytes + "x"));
    }
  }
  EXPECT_FALSE(DecodeRouteGossip(""));
  EXPECT_FALSE(DecodeRouteGossip(std::string("L?\0", 3)));
  EXPECT_FALSE(DecodeRouteGossip("L" + std::string(20, '\xff')));
}

TEST(RouteGossipTest, GossipOnAnEndpointsRouteReducesThatRouteAlone) {
  Settings s = TestSettings();
  s.relay_count = 100;
  s.listed_rate_accuracy = ListedRateAccuracy::kRough;
  s.overload_window = 2;
  s.may_hedge = false;
  RequestRouter router(s);
  std::vector<Action> actions;
  const std::vector<ListedEndpoint> list = {
      {1, ZoneId{0}, KindId{1}, 1, EndpointStatus::kInService, 400, HashName("one")},
      {2, ZoneId{0}, KindId{1}, 1, EndpointStatus::kInService, 400, HashName("two")}};
  router.Handle(100, ListUpdate{ListScope::kComplete, list}, actions);
  router.Handle(100, GossipReceived{3, EncodeRouteGossip({RouteGossip::Kind::kRejected, 1, HashName("two")})},
                actions);
  std::optional<DestinationId> from = 0;
  const auto states = router.ExportRouteStates(100, from, 10);
  ASSERT_EQ(states.size(), 2U);
  EXPECT_GT(states[0].send_rate, states[1].send_rate);
  EXPECT_FALSE(states[0].rejection_age);
  EXPECT_TRUE(states[1].rejection_age);
}

}  // namespace
}  // namespace opalroute::decision
