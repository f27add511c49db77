// Which requests are sent again, where to, and until when.
#include <cmath>

#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class RetryPolicyTest : public StartedRouterTest {};

TEST_F(RetryPolicyTest, AnUnsafeMessageThatMayHaveRunFailsAtOnceAndIsNotSentAgain) {
  List({Entry(1, 1), Entry(2, 1)});
  Take(1, kUnsafeClass);
  EndTurn();
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kError);
  RunTo(now_ + 1);
  EXPECT_EQ(SendsOf(1).size(), 1U);
  EXPECT_EQ(All<Fail>().size(), 1U);
  EXPECT_EQ(All<Reject>().size(), 0U);
}

TEST_F(RetryPolicyTest, AnUnsafeMessageThatProvablyDidNotRunIsSentAgain) {
  List({Entry(1, 1), Entry(2, 1)});
  Take(1, kUnsafeClass);
  EndTurn();
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kConnectFailed);
  RunTo(now_ + 2);
  EXPECT_EQ(SendsOf(1).size(), 2U);
}

TEST_F(RetryPolicyTest, AKeyedRepeatGoesToTheSameZoneOnly) {
  List({Entry(1, 1, 0), Entry(2, 1, 1), Entry(3, 1, 1)});
  for (RequestId id = 1; id <= 20; ++id) {
    Take(id, kKeyedClass);
    EndTurn();
    const EndpointId first = SendsOf(id)[0].endpoint;
    Tell(id, 0, first, Outcome::kError);
    RunTo(now_ + 1);  // an unmet endpoint that fails is tried again after a first pause
    const auto sends = SendsOf(id);
    ASSERT_EQ(sends.size(), 2U);
    EXPECT_EQ(first == 1, sends[1].endpoint == 1);
    Tell(id, 1, sends[1].endpoint, Outcome::kServed);
    Take(id + 100, kUnsafeClass);  // keeps the other endpoints in good standing
    EndTurn();
    Tell(id + 100, 0, SendsOf(id + 100)[0].endpoint, Outcome::kServed);
  }
}

TEST_F(RetryPolicyTest, AKeyedMessageIsGivenUpWhenItsWindowHasPassed) {
  List({Entry(1, 1, 0), Entry(2, 1, 1)});
  Take(1, kKeyedClass);
  EndTurn();
  const EndpointId first = SendsOf(1)[0].endpoint;
  List({Entry(first, 1, 0, 0, EndpointStatus::kDraining)}, ListScope::kChanges);
  Tell(1, 0, first, Outcome::kReset);
  RunTo(107.1);  // a tenth of the window is kept for its way, as no usual time is known
  EXPECT_EQ(All<Fail>().size(), 0U);
  RunTo(107.3);
  EXPECT_EQ(All<Fail>().size(), 1U);
}

// Rule 2 binds a repeat's first byte; the call may wait for its connection until then.
TEST_F(RetryPolicyTest, ARepeatSaysWhenItsFirstByteMustHaveLeft) {
  List({Entry(1, 1)});
  for (const int message_class : {kSafeClass, kKeyedClass}) {
    const RequestId id = 100 + static_cast<RequestId>(message_class);
    Take(id, message_class);
    EndTurn();
    ASSERT_EQ(SendsOf(id).size(), 1U);
    const Seconds first = now_;
    now_ += 0.1;
    Tell(id, 0, 1, Outcome::kReset);
    RunTo(now_ + 1);
    ASSERT_EQ(SendsOf(id).size(), 2U);
    const Seconds leave_by = SendsOf(id)[1].send_deadline;
    EXPECT_EQ(leave_by > 1e9, message_class == kSafeClass);
    // Of the window of 8 s a tenth is kept for the repeat's way, once a call has been served its time.
    const Seconds kept = 0.1;
    EXPECT_TRUE(leave_by > 1e9 || std::abs(leave_by - first - 8 + kept) < 0.011) << leave_by;
    Tell(id, 1, 1, Outcome::kServed);
  }
}

// A new process knows no usual time, and a repeat that it sends may be longer on its way than the first one.
TEST_F(RetryPolicyTest, ARepeatKeepsATenthOfItsWindowWhereNoTimeIsKnown) {
  List({Entry(1, 1)});
  Take(1, kKeyedClass);
  EndTurn();
  ASSERT_EQ(SendsOf(1).size(), 1U);
  const Seconds first = now_;
  now_ += 0.1;
  Tell(1, 0, 1, Outcome::kReset);
  RunTo(now_ + 1);
  ASSERT_EQ(SendsOf(1).size(), 2U);
  EXPECT_NEAR(SendsOf(1)[1].send_deadline, first + 8 - 0.8, 0.011);
}

}  // namespace
}  // namespace opalroute
