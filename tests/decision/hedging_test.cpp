// When requests are hedged, and how hedged attempts end.
#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class HedgingTest : public StartedRouterTest {};

TEST_F(HedgingTest, HedgedRequestsStayWithinATenthOfFirstSends) {
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1)});
  for (RequestId id = 1; id <= 200; ++id) {
    Receive(id, kIdempotentClass);
    EndBatch();
    now_ += 0.1;
    const auto sends = SendsFor(id);
    EndAttempt(id, 0, sends[0].endpoint, Outcome::kServed);
    if (sends.size() > 1) EndAttempt(id, 1, sends[1].endpoint, Outcome::kCancelled);
    EndBatch();
  }
  EXPECT_EQ(Emitted<Send>().size(), 220U);
}

TEST_F(HedgingTest, TheSlowerAttemptIsCancelled) {
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1)});
  ServeRequests(1, 20);
  Receive(50, kIdempotentClass);
  EndBatch();
  const auto sends = SendsFor(50);
  ASSERT_EQ(sends.size(), 2U);
  EXPECT_NE(sends[0].endpoint, sends[1].endpoint);
  EndAttempt(50, 1, sends[1].endpoint, Outcome::kServed);
  const auto cancels = Emitted<CancelAttempt>();
  ASSERT_EQ(cancels.size(), 1U);
  EXPECT_EQ(cancels[0].attempt, 0);
}

TEST_F(HedgingTest, AFailedAttemptIsNotRetriedWhileTheHedgedOneIsInFlight) {
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1)});
  ServeRequests(1, 20);
  Receive(50, kIdempotentClass);
  EndBatch();
  const auto sends = SendsFor(50);
  ASSERT_EQ(sends.size(), 2U);
  EndAttempt(50, 0, sends[0].endpoint, Outcome::kError);
  EndBatch();
  RunUntil(now_ + 0.5);
  EXPECT_EQ(SendsFor(50).size(), 2U);
}

TEST_F(HedgingTest, ARejectionDisablesHedgingUntilASuccess) {
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1)});
  ServeRequests(1, 20);
  Receive(50, kNonIdempotentClass);
  EndBatch();
  EndAttempt(50, 0, SendsFor(50)[0].endpoint, Outcome::kRejected);
  RunUntil(now_ + 5);
  Receive(51, kIdempotentClass);
  EndBatch();
  EXPECT_EQ(SendsFor(51).size(), 1U);
}

TEST_F(HedgingTest, ADeduplicatedHedgedRequestStaysInItsZone) {
  UpdateList({MakeEndpoint(1, 1, 0), MakeEndpoint(2, 1, 1)});
  ServeRequests(1, 30);
  for (RequestId id = 50; id < 60; ++id) {
    Receive(id, kDeduplicatedClass);
    EndBatch();
    ASSERT_EQ(SendsFor(id).size(), 1U);
    EndAttempt(id, 0, SendsFor(id)[0].endpoint, Outcome::kServed);
  }
}

TEST_F(HedgingTest, ASingleReadyEndpointGetsNoHedgedRequest) {
  UpdateList({MakeEndpoint(1, 1)});
  ServeRequests(1, 20);
  Receive(50, kIdempotentClass);
  EndBatch();
  EXPECT_EQ(SendsFor(50).size(), 1U);
}

}  // namespace
}  // namespace opalroute::decision
