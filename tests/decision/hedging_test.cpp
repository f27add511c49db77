// Hedged requests: when a second attempt is sent, and what becomes of it.
#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class HedgingTest : public StartedRouterTest {};

TEST_F(HedgingTest, CopiesStayWithinATenthOfFirstSends) {
  List({Entry(1, 1), Entry(2, 1)});
  for (RequestId id = 1; id <= 200; ++id) {
    Take(id, kSafeClass);
    EndTurn();
    now_ += 0.1;
    const auto sends = SendsOf(id);
    Tell(id, 0, sends[0].endpoint, Outcome::kServed);
    if (sends.size() > 1) Tell(id, 1, sends[1].endpoint, Outcome::kCancelled);
    EndTurn();
  }
  EXPECT_EQ(All<Send>().size(), 220U);
}

TEST_F(HedgingTest, SlowerCopyIsCancelled) {
  List({Entry(1, 1), Entry(2, 1)});
  ServeSafely(1, 20);
  Take(50, kSafeClass);
  EndTurn();
  const auto sends = SendsOf(50);
  ASSERT_EQ(sends.size(), 2U);
  EXPECT_NE(sends[0].endpoint, sends[1].endpoint);
  Tell(50, 1, sends[1].endpoint, Outcome::kServed);
  const auto cancels = All<CancelAttempt>();
  ASSERT_EQ(cancels.size(), 1U);
  EXPECT_EQ(cancels[0].attempt, 0);
}

TEST_F(HedgingTest, FailedAttemptAwaitsItsCopy) {
  List({Entry(1, 1), Entry(2, 1)});
  ServeSafely(1, 20);
  Take(50, kSafeClass);
  EndTurn();
  const auto sends = SendsOf(50);
  ASSERT_EQ(sends.size(), 2U);
  Tell(50, 0, sends[0].endpoint, Outcome::kError);
  EndTurn();
  RunTo(now_ + 0.5);
  EXPECT_EQ(SendsOf(50).size(), 2U);
}

TEST_F(HedgingTest, NoCopyAfterARefusalUntilAServedAnswer) {
  List({Entry(1, 1), Entry(2, 1)});
  ServeSafely(1, 20);
  Take(50, kUnsafeClass);
  EndTurn();
  Tell(50, 0, SendsOf(50)[0].endpoint, Outcome::kRejected);
  RunTo(now_ + 5);
  Take(51, kSafeClass);
  EndTurn();
  EXPECT_EQ(SendsOf(51).size(), 1U);
}

TEST_F(HedgingTest, KeyedCopyStaysInsideItsZone) {
  List({Entry(1, 1, 0), Entry(2, 1, 1)});
  ServeSafely(1, 30);
  for (RequestId id = 50; id < 60; ++id) {
    Take(id, kKeyedClass);
    EndTurn();
    ASSERT_EQ(SendsOf(id).size(), 1U);
    Tell(id, 0, SendsOf(id)[0].endpoint, Outcome::kServed);
  }
}

TEST_F(HedgingTest, OneReadyEndpointGetsNoCopy) {
  List({Entry(1, 1)});
  ServeSafely(1, 20);
  Take(50, kSafeClass);
  EndTurn();
  EXPECT_EQ(SendsOf(50).size(), 1U);
}

}  // namespace
}  // namespace opalroute
