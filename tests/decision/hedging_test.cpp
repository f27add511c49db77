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

// Guards against an effect in two zones: an unknown zone is not that of the other endpoint, nor another
// unknown one.
TEST_F(HedgingTest, ARequestBoundToAZoneIsNotHedgedToAnEndpointOfUnknownZone) {
  for (const bool first_is_known : {false, true}) {
    SetUp();
    UpdateList({first_is_known ? MakeEndpoint(1, 1) : MakeEndpointOfUnknownZone(1, 1),
                MakeEndpointOfUnknownZone(2, 1)});
    ServeRequests(1, 20);
    Receive(50, kDeduplicatedClass);
    EndBatch();
    ASSERT_EQ(SendsFor(50).size(), 1U);
    EndAttempt(50, 0, SendsFor(50)[0].endpoint, Outcome::kServed);
    Receive(51, kIdempotentClass);
    EndBatch();
    EXPECT_EQ(SendsFor(51).size(), 2U);
  }
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

// A request times out while its call goes on for another request of its batch. Until that call has ended, the
// endpoint may be serving the request.
class ContinuingCallTest : public RouterTest {
 protected:
  void StartWith(bool may_hedge) {
    Settings settings = TestSettings();
    settings.may_hedge = may_hedge;
    Start(settings);
    UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1)});
    Receive(1, kIdempotentClass);
    EndBatch();
    ASSERT_EQ(SendsFor(1).size(), 1U);
  }
  void TimeOutWhileTheCallContinues(int attempt) {
    AttemptOutcome outcome;
    outcome.request_id = 1;
    outcome.attempt = attempt;
    outcome.endpoint = SendsFor(1)[attempt].endpoint;
    outcome.outcome = Outcome::kTimeout;
    outcome.duration = 1;
    outcome.call_continues = true;
    now_ += 1;
    Handle(outcome);
    RunUntil(now_ + 1);
  }
};

// Guards against two calls at once where that is not allowed.
TEST_F(ContinuingCallTest, WithoutHedgingTheRetryWaitsForTheEndOfTheCall) {
  StartWith(false);
  TimeOutWhileTheCallContinues(0);
  EXPECT_EQ(SendsFor(1).size(), 1U);
  Handle(AttemptClosed{1, 0});
  RunUntil(now_ + 10);
  EXPECT_EQ(SendsFor(1).size(), 2U);
}

// Guards against three calls at once.
TEST_F(ContinuingCallTest, WithHedgingASecondCallIsAllowedAndAThirdIsNot) {
  StartWith(true);
  TimeOutWhileTheCallContinues(0);
  ASSERT_EQ(SendsFor(1).size(), 2U);
  TimeOutWhileTheCallContinues(1);
  EXPECT_EQ(SendsFor(1).size(), 2U);
  Handle(AttemptClosed{1, 1});
  Handle(AttemptClosed{1, 1});
  RunUntil(now_ + 1);
  EXPECT_EQ(SendsFor(1).size(), 3U);
}

TEST_F(ContinuingCallTest, ARequestThatWaitsForTheEndOfItsCallEndsOnceAtItsDeadline) {
  StartWith(false);
  const Seconds deadline = now_ + 20;
  TimeOutWhileTheCallContinues(0);
  RunUntil(deadline - 0.02);
  EXPECT_TRUE(Emitted<Reject>().empty());
  RunUntil(deadline + 0.02);
  EXPECT_EQ(Emitted<Reject>().size(), 1U);
  Handle(AttemptClosed{1, 0});
  RunUntil(now_ + 10);
  EXPECT_EQ(SendsFor(1).size(), 1U);
}

}  // namespace
}  // namespace opalroute::decision
