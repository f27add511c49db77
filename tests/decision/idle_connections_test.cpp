// Where idle connections are closed.
#include "decision/route_gossip.h"
#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class IdleConnectionsTest : public StartedRouterTest {};

// Idle connections of others fill an endpoint's table: ours go with their last call, there and nowhere else.
TEST_F(IdleConnectionsTest, WhereConnectionsAreShortOneGoesWithItsLastCall) {
  List({Entry(1, 1), Entry(2, 2)});
  ServeSafely(1, 5, 1);
  Take(20, kUnsafeClass, 1);
  EndTurn();
  Tell(20, 0, 1, Outcome::kOutOfConnections, 0, 0.01);
  RunTo(now_ + 0.2);
  ASSERT_EQ(SendsOf(20).size(), 2U);  // it never ran: it goes again, at once but for a short backoff
  Tell(20, 1, 1, Outcome::kServed);
  EndTurn();
  const std::size_t closed = All<CloseIdleConnections>().size();
  EXPECT_GE(closed, 1U);
  ServeSafely(30, 1, 2);
  EXPECT_EQ(All<CloseIdleConnections>().size(), closed);
}

// Short of connections is neither out nor over its limit: what follows is neither paused nor on trial.
TEST_F(IdleConnectionsTest, ShortOfConnectionsCastsNoDoubtAndCutsNoPace) {
  Settings s = TestSettings();
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.relay_count = 100;
  s.may_gossip = true;
  Start(s);
  List({Entry(1, 1, 0, 0, EndpointStatus::kInService, 400)});
  ServeSafely(1, 1, 1);
  Take(20, kUnsafeClass, 1);
  RunTo(now_ + 1);
  for (int attempt = 0; attempt < 4; ++attempt) {
    ASSERT_EQ(SendsOf(20).size(), static_cast<std::size_t>(attempt) + 1);
    Tell(20, attempt, 1, Outcome::kOutOfConnections, 0, 0.01);
    RunTo(now_ + 0.5);
  }
  for (const SendGossip& tell : All<SendGossip>())
    EXPECT_EQ(DecodeRouteGossip(tell.payload)->kind, RouteGossip::Kind::kOutOfConnections);
}

// What is down refuses connects: after its return connections are kept.
TEST_F(IdleConnectionsTest, AnEndpointThatWasDownKeepsItsConnections) {
  List({Entry(1, 1)});
  ServeSafely(1, 5, 1);
  Take(20, kUnsafeClass, 1);
  EndTurn();
  Tell(20, 0, 1, Outcome::kConnectFailed, 0, 0.01);
  RunTo(now_ + 1);
  Tell(20, 1, 1, Outcome::kServed);
  EndTurn();
  EXPECT_EQ(All<CloseIdleConnections>().size(), 0U);
}

}  // namespace
}  // namespace opalroute
