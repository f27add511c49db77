// When idle connections are closed.
#include "decision/route_gossip.h"
#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class IdleConnectionsTest : public StartedRouterTest {};

// Idle connections count against an endpoint's connection limit. After a shortage of connections they are
// closed when the last call ends, at that endpoint only.
TEST_F(IdleConnectionsTest, IdleConnectionsCloseAfterAShortage) {
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 2)});
  ServeRequests(1, 5, 1);
  Receive(20, kNonIdempotentClass, 1);
  EndBatch();
  EndAttempt(20, 0, 1, Outcome::kOutOfConnections, 0, 0.01);
  RunUntil(now_ + 0.2);
  ASSERT_EQ(SendsFor(20).size(), 2U);  // the request did not run, so it is retried after a short backoff
  EndAttempt(20, 1, 1, Outcome::kServed);
  EndBatch();
  const std::size_t closed = Emitted<CloseIdleConnections>().size();
  EXPECT_GE(closed, 1U);
  ServeRequests(30, 1, 2);
  EXPECT_EQ(Emitted<CloseIdleConnections>().size(), closed);
}

// An endpoint without free connections neither has an outage nor has reached its rate limit.
TEST_F(IdleConnectionsTest, AConnectionShortageNeitherReducesTheRateNorSuspectsAnOutage) {
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

// An endpoint that is down refuses connections; that is not a shortage of connections.
TEST_F(IdleConnectionsTest, IdleConnectionsStayOpenAfterAnOutage) {
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
}  // namespace opalroute::decision
