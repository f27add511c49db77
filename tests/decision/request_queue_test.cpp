// Requests that wait: deadlines, order by key, and priority.
#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class RequestQueueTest : public StartedRouterTest {};

TEST_F(RequestQueueTest, AMessageWithNowhereToGoIsRefusedBeforeItsTimeIsUp) {
  List({});
  Take(1, kSafeClass, 1, "", 5);
  EndTurn();
  RunTo(104.9);
  EXPECT_EQ(All<Reject>().size(), 0U);
  RunTo(106);
  EXPECT_EQ(All<Reject>().size(), 1U);
}

TEST_F(RequestQueueTest, AListThatComesLateStillServesAHeldMessage) {
  List({});
  Take(1, kSafeClass);
  EndTurn();
  List({Entry(1, 1)}, ListScope::kChanges);
  EndTurn();
  EXPECT_EQ(SendsOf(1).size(), 1U);
}

TEST_F(RequestQueueTest, AnAttemptStillOutIsAnsweredAtTheDeadline) {
  List({Entry(1, 1)});
  Take(1, kUnsafeClass, 1, "", 4);
  EndTurn();
  RunTo(103.9);
  EXPECT_EQ(All<Fail>().size(), 0U);
  RunTo(104.02);
  EXPECT_EQ(All<Fail>().size(), 1U);
}

TEST_F(RequestQueueTest, MessagesOfOneKeyGoOneAtATimeInTheOrderTaken) {
  Settings s = TestSettings();
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1), Entry(2, 1)});
  Take(1, kOrderedClass, 1, "k");
  Take(2, kOrderedClass, 1, "k");
  Take(3, kOrderedClass, 1, "other");
  EndTurn();
  EXPECT_EQ(SendsOf(1).size(), 1U);
  EXPECT_EQ(SendsOf(2).size(), 0U);
  EXPECT_EQ(SendsOf(3).size(), 1U);
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kServed);
  EndTurn();
  EXPECT_EQ(SendsOf(2).size(), 1U);
}

TEST_F(RequestQueueTest, AKeyRestsAfterAnAttemptThatMayStillRun) {
  Settings s = TestSettings();
  s.may_hedge = false;
  s.max_attempts = 1;
  Start(s);
  List({Entry(1, 1), Entry(2, 1)});
  ServeSafely(11, 30);  // in good standing: only the key holds the next one back
  const Seconds start = now_;
  Take(1, kOrderedClass, 1, "k");
  Take(2, kOrderedClass, 1, "k");
  EndTurn();
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kTimeout);
  EndTurn();
  RunTo(start + 1.49);
  EXPECT_EQ(SendsOf(2).size(), 0U);
  RunTo(start + 1.6);
  EXPECT_EQ(SendsOf(2).size(), 1U);
}

TEST_F(RequestQueueTest, TheWorthierMessageGoesFirstWhenASlotIsFree) {
  Settings s = TestSettings();
  s.concurrency_limit = 1;
  Start(s);
  List({Entry(1, 1)});
  Take(1, kUnsafeClass);
  EndTurn();
  Take(2, kSafeClass);
  Take(3, kUnsafeClass);
  EndTurn();
  Tell(1, 0, 1, Outcome::kServed);
  EndTurn();
  EXPECT_EQ(SendsOf(3).size(), 1U);
  EXPECT_EQ(SendsOf(2).size(), 0U);
}

}  // namespace
}  // namespace opalroute
