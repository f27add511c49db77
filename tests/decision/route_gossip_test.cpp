// The datagrams on upstream routes: their encoding, and what follows from one.
#include "decision/route_gossip.h"

#include <optional>
#include <string>
#include <vector>

#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

TEST(RouteGossipTest, EveryNoteComesBackAsItWasAndNothingElseIsRead) {
  for (const DestinationId destination : {0LL, 1LL, -1LL, 63LL, 64LL, 1LL << 40, -(1LL << 62)}) {
    for (const std::uint32_t route : {0U, 1U, 0xfedcba98U}) {
      const std::string bytes = EncodeRouteGossip({RouteGossip::Kind::kRejected, destination, route});
      const auto note = DecodeRouteGossip(bytes);
      ASSERT_TRUE(note);
      EXPECT_EQ(note->destination, destination);
      EXPECT_EQ(note->name_hash, route);
      for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
        const auto part = DecodeRouteGossip(bytes.substr(0, cut));
        EXPECT_TRUE(!part || (route != 0 && cut + 4 == bytes.size()));  // which is a note as well
      }
      EXPECT_FALSE(DecodeRouteGossip(bytes + "x"));
    }
  }
  EXPECT_FALSE(DecodeRouteGossip(""));
  EXPECT_FALSE(DecodeRouteGossip(std::string("L?\0", 3)));
  EXPECT_FALSE(DecodeRouteGossip("L" + std::string(20, '\xff')));
}

TEST(RouteGossipTest, ANoteOnARouteCutsThatRouteAlone) {
  Settings s = TestSettings();
  s.relay_count = 100;
  s.listed_rate_accuracy = ListedRateAccuracy::kRough;
  s.overload_window = 2;
  s.may_hedge = false;
  RequestRouter courier(s);
  std::vector<Action> actions;
  const std::vector<ListedEndpoint> list = {{1, 0, 1, 1, EndpointStatus::kInService, 400, HashName("one")},
                                            {2, 0, 1, 1, EndpointStatus::kInService, 400, HashName("two")}};
  courier.Handle(100, ListUpdate{ListScope::kComplete, list}, actions);
  courier.Handle(
      100, GossipReceived{3, EncodeRouteGossip({RouteGossip::Kind::kRejected, 1, HashName("two")})}, actions);
  std::optional<DestinationId> from = 0;
  const auto beliefs = courier.ExportRouteStates(100, from, 10);
  ASSERT_EQ(beliefs.size(), 2U);
  EXPECT_GT(beliefs[0].send_rate, beliefs[1].send_rate);
  EXPECT_FALSE(beliefs[0].rejection_age);
  EXPECT_TRUE(beliefs[1].rejection_age);
}

}  // namespace
}  // namespace opalroute
