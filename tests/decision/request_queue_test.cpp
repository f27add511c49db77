// Waiting requests: deadlines, ordering keys and priority.
#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class RequestQueueTest : public StartedRouterTest {};

TEST_F(RequestQueueTest, ARequestWithoutAnEndpointIsRejectedBeforeItsDeadline) {
  UpdateList({});
  Receive(1, kIdempotentClass, 1, "", 5);
  EndBatch();
  RunUntil(104.9);
  EXPECT_EQ(Emitted<Reject>().size(), 0U);
  RunUntil(106);
  EXPECT_EQ(Emitted<Reject>().size(), 1U);
}

TEST_F(RequestQueueTest, AWaitingRequestIsSentWhenTheListArrives) {
  UpdateList({});
  Receive(1, kIdempotentClass);
  EndBatch();
  UpdateList({MakeEndpoint(1, 1)}, ListScope::kChanges);
  EndBatch();
  EXPECT_EQ(SendsFor(1).size(), 1U);
}

TEST_F(RequestQueueTest, ARequestInFlightFailsAtItsDeadline) {
  UpdateList({MakeEndpoint(1, 1)});
  Receive(1, kNonIdempotentClass, 1, "", 4);
  EndBatch();
  RunUntil(103.9);
  EXPECT_EQ(Emitted<Fail>().size(), 0U);
  RunUntil(104.02);
  EXPECT_EQ(Emitted<Fail>().size(), 1U);
}

TEST_F(RequestQueueTest, RequestsOfOneKeyAreSentOneAtATimeInOrder) {
  Settings s = TestSettings();
  s.may_hedge = false;
  Start(s);
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1)});
  Receive(1, kOrderedClass, 1, "k");
  Receive(2, kOrderedClass, 1, "k");
  Receive(3, kOrderedClass, 1, "other");
  EndBatch();
  EXPECT_EQ(SendsFor(1).size(), 1U);
  EXPECT_EQ(SendsFor(2).size(), 0U);
  EXPECT_EQ(SendsFor(3).size(), 1U);
  EndAttempt(1, 0, SendsFor(1)[0].endpoint, Outcome::kServed);
  EndBatch();
  EXPECT_EQ(SendsFor(2).size(), 1U);
}

TEST_F(RequestQueueTest, AKeyIsPausedAfterAnAttemptThatMayStillBeRunning) {
  Settings s = TestSettings();
  s.may_hedge = false;
  s.max_attempts = 1;
  Start(s);
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1)});
  ServeRequests(11, 30);  // makes the endpoints healthy, so that only the key delays the next request
  const Seconds start = now_;
  Receive(1, kOrderedClass, 1, "k");
  Receive(2, kOrderedClass, 1, "k");
  EndBatch();
  EndAttempt(1, 0, SendsFor(1)[0].endpoint, Outcome::kTimeout);
  EndBatch();
  RunUntil(start + 1.49);
  EXPECT_EQ(SendsFor(2).size(), 0U);
  RunUntil(start + 1.6);
  EXPECT_EQ(SendsFor(2).size(), 1U);
}

TEST_F(RequestQueueTest, TheRequestOfGreaterWeightIsSentFirst) {
  Settings s = TestSettings();
  s.concurrency_limit = 1;
  Start(s);
  UpdateList({MakeEndpoint(1, 1)});
  Receive(1, kNonIdempotentClass);
  EndBatch();
  Receive(2, kIdempotentClass);
  Receive(3, kNonIdempotentClass);
  EndBatch();
  EndAttempt(1, 0, 1, Outcome::kServed);
  EndBatch();
  EXPECT_EQ(SendsFor(3).size(), 1U);
  EXPECT_EQ(SendsFor(2).size(), 0U);
}

}  // namespace
}  // namespace opalroute::decision
