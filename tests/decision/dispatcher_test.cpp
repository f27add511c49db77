// How free call slots are shared, and how lost calls give theirs back.
#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class DispatcherTest : public StartedRouterTest {};

TEST_F(DispatcherTest, FreeSlotsGoToTheDestinationWithFewestCallsOut) {
  Settings s = TestSettings();
  s.concurrency_limit = 3;
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1), Entry(2, 2)});
  for (RequestId id = 1; id <= 4; ++id) Take(id, kUnsafeClass, 1);
  EndTurn();
  Take(9, kUnsafeClass, 2);
  Tell(1, 0, 1, Outcome::kServed);
  EndTurn();
  EXPECT_EQ(SendsOf(9).size(), 1U);
}

// Hung calls of unsafe messages have no time-out: they must not keep every slot until their deadline.
TEST_F(DispatcherTest, ACallStuckWhereAllIsOutLosesItsSlotToOthers) {
  Settings s = TestSettings();
  s.concurrency_limit = 3;
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1), Entry(2, 2)});
  ServeSafely(1, 5, 1);
  ServeSafely(11, 5, 2);
  for (RequestId id = 21; id <= 23; ++id) Take(id, kUnsafeClass, 1);
  EndTurn();
  now_ += 3;
  Take(30, kUnsafeClass, 1);
  Take(31, kUnsafeClass, 2);
  EndTurn();  // no slot is free: nothing is known of the stall yet, or a call is called off at once
  EndTurn();
  ASSERT_GE(All<CancelAttempt>().size(), 1U);
  const CancelAttempt cancel = All<CancelAttempt>().front();
  Tell(cancel.request_id, cancel.attempt, 1, Outcome::kCancelled);
  EndTurn();
  EXPECT_EQ(SendsOf(31).size(), 1U);
}

// A few calls lost everywhere leave every circuit closed; their slots must come back all the same.
TEST_F(DispatcherTest, ALostCallLosesItsSlotThoughOthersAreServedThere) {
  Settings s = TestSettings();
  s.concurrency_limit = 2;
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1), Entry(2, 2)});
  ServeSafely(1, 5, 1);
  Take(20, kUnsafeClass, 1);  // this one is lost
  EndTurn();
  ServeSafely(21, 12, 1);
  Take(40, kUnsafeClass, 2);
  EndTurn();
  Take(41, kUnsafeClass, 2);
  EndTurn();
  ASSERT_EQ(All<CancelAttempt>().size(), 1U);
  EXPECT_EQ(All<CancelAttempt>()[0].request_id, 20U);
}

// Endpoints in trouble share a part of the slots; none of them may be kept from ever trying again.
TEST_F(DispatcherTest, AnEndpointInTroubleIsStillTriedWhileOthersAreStuck) {
  Settings s = TestSettings();
  s.classes[kUnsafeClass].latency_objective = 0.05;  // every answer is late: all endpoints are slow
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1), Entry(2, 2)});
  ServeSafely(1, 3, 1);
  ServeSafely(11, 3, 2);
  for (RequestId id = 21; id <= 26; ++id) Take(id, kUnsafeClass, 1);
  EndTurn();
  Take(30, kUnsafeClass, 2);
  EndTurn();
  EXPECT_EQ(SendsOf(30).size(), 1U);
}

}  // namespace
}  // namespace opalroute
