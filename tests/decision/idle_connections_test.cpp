// Where idle connections are closed.
#include "decision/route_gossip.h"
#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class IdleConnectionsTest : public StartedRouterTest {};

// Idle connections of others fill an endpoint's table: ours go with their last call, there and nowhere else.
TEST_F(IdleConnectionsTest, ConnectionsCloseWithTheLastCallWhereTheyAreShort) {
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 2)});
  ServeRequests(1, 5, 1);
  Receive(20, kNonIdempotentClass, 1);
  EndBatch();
  EndAttempt(20, 0, 1, Outcome::kOutOfConnections, 0, 0.01);
  RunUntil(now_ + 0.2);
  ASSERT_EQ(SendsFor(20).size(), 2U);  // it never ran: it goes again, at once but for a short backoff
  EndAttempt(20, 1, 1, Outcome::kServed);
  EndBatch();
  const std::size_t closed = Emitted<CloseIdleConnections>().size();
  EXPECT_GE(closed, 1U);
  ServeRequests(30, 1, 2);
  EXPECT_EQ(Emitted<CloseIdleConnections>().size(), closed);
}

// Short of connections is neither out nor over its limit: what follows is neither paused nor on trial.
TEST_F(IdleConnectionsTest, AConnectionShortageReducesNoRateAndSuspectsNoOutage) {
  Settings s = TestSettings();
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.relay_count = 100;
  s.may_gossip = true;
  Start(s);
  UpdateList({MakeEndpoint(1, 1, 0, 0, EndpointStatus::kInService, 400)});
  ServeRequests(1, 1, 1);
  Receive(20, kNonIdempotentClass, 1);
  RunUntil(now_ + 1);
  for (int attempt = 0; attempt < 4; ++attempt) {
    ASSERT_EQ(SendsFor(20).size(), static_cast<std::size_t>(attempt) + 1);
    EndAttempt(20, attempt, 1, Outcome::kOutOfConnections, 0, 0.01);
    RunUntil(now_ + 0.5);
  }
  for (const SendGossip& gossip : Emitted<SendGossip>())
    EXPECT_EQ(DecodeRouteGossip(gossip.payload)->kind, RouteGossip::Kind::kOutOfConnections);
}

// What is down refuses connects: after its return connections are kept.
TEST_F(IdleConnectionsTest, AnEndpointAfterAnOutageKeepsItsConnections) {
  UpdateList({MakeEndpoint(1, 1)});
  ServeRequests(1, 5, 1);
  Receive(20, kNonIdempotentClass, 1);
  EndBatch();
  EndAttempt(20, 0, 1, Outcome::kConnectFailed, 0, 0.01);
  RunUntil(now_ + 1);
  EndAttempt(20, 1, 1, Outcome::kServed);
  EndBatch();
  EXPECT_EQ(Emitted<CloseIdleConnections>().size(), 0U);
}

}  // namespace
}  // namespace opalroute
