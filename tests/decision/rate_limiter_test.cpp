// Retry-After, the send rate, and the backoff after rejections.
#include <vector>

#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class RateLimiterTest : public StartedRouterTest {};

TEST_F(RateLimiterTest, AToldWaitHoldsTheWholeDestination) {
  List({Entry(1, 1), Entry(2, 1), Entry(3, 2)});
  Take(1, kUnsafeClass);
  EndTurn();
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kRejected, 1.0);
  EndTurn();
  Take(2, kUnsafeClass, 1);
  Take(3, kUnsafeClass, 2);
  EndTurn();
  RunTo(100.99);
  EXPECT_EQ(SendsOf(1).size() + SendsOf(2).size(), 1U);
  EXPECT_EQ(SendsOf(3).size(), 1U);
  RunTo(103);
  EXPECT_EQ(SendsOf(1).size() + SendsOf(2).size(), 3U);
}

TEST_F(RateLimiterTest, AToldWaitHoldsOnlyItsRouteWhereRoutesAreApart) {
  List({Entry(1, 1, 0, 1), Entry(2, 1, 0, 1)});
  Take(1, kUnsafeClass);
  EndTurn();
  const EndpointId first = SendsOf(1)[0].endpoint;
  Tell(1, 0, first, Outcome::kRejected, 2.0);
  EndTurn();
  ASSERT_EQ(SendsOf(1).size(), 2U);
  EXPECT_NE(SendsOf(1)[1].endpoint, first);
}

// A bundle's refusals may each tell another wait; judging only the first broke the rule.
TEST_F(RateLimiterTest, TheLongestWaitOfABundleCounts) {
  Settings s = TestSettings();
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1, 0, 2)});
  Take(1, kUnsafeClass);
  Take(2, kUnsafeClass);
  EndTurn();
  Tell(1, 0, 1, Outcome::kRejected, 0.5);
  Tell(2, 0, 1, Outcome::kRejected, 1.5);
  EndTurn();
  RunTo(101.49);
  EXPECT_EQ(All<Send>().size(), 2U);
}

TEST_F(RateLimiterTest, PaceFallsAfterRefusals) {
  Settings s = TestSettings();
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.relay_count = 4;
  s.concurrency_limit = 100;
  Start(s);
  List({Entry(1, 1, 0, 0, EndpointStatus::kInService, 20)});
  for (RequestId id = 1; id <= 150; ++id) Take(id, kUnsafeClass);
  EndTurn();
  std::size_t told = 0;
  while (now_ < 105) {
    const auto sends = All<Send>();
    for (; told < sends.size(); ++told) {
      const int attempt = static_cast<int>(SendsOf(sends[told].request_id).size()) - 1;
      Tell(sends[told].request_id, attempt, 1, told % 3 == 0 ? Outcome::kRejected : Outcome::kServed);
    }
    EndTurn();
    RunTo(now_ + 0.05);
  }
  EXPECT_LT(All<Send>().size(), 45U);  // half an even share to two: 2.5 to 10 a second
  EXPECT_GT(All<Send>().size(), 10U);
}

// An N-th of a limit was a call in many seconds for each of hundreds of couriers, most of them idle.
TEST_F(RateLimiterTest, ACourierAmongHundredsSendsItsFirstMessagesAtOnce) {
  Settings s = TestSettings();
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.relay_count = 400;
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1, 0, 0, EndpointStatus::kInService, 8)});
  Take(1, kUnsafeClass);
  EndTurn();
  EXPECT_EQ(SendsOf(1).size(), 1U);
  Take(2, kUnsafeClass);
  RunTo(now_ + 0.2);
  EXPECT_EQ(SendsOf(2).size(), 1U);
  Tell(1, 0, 1, Outcome::kRejected);  // and after a refusal it does not wait for an N-th of the limit
  RunTo(now_ + 7);
  EXPECT_EQ(SendsOf(1).size(), 2U);
}

// Dozens of couriers that knock every second push over what is coming back; no courier sees the others.
TEST_F(RateLimiterTest, ALaneThatGoesOnRefusingIsTriedEverMoreSeldom) {
  Settings s = TestSettings();
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.relay_count = 80;
  Start(s);
  List({Entry(1, 1, 0, 1, EndpointStatus::kInService, 2)});
  Take(1, kUnsafeClass);
  EndTurn();
  std::vector<Seconds> sent;
  while (now_ < 115) {
    const auto sends = SendsOf(1);
    for (std::size_t i = sent.size(); i < sends.size(); ++i) {
      sent.push_back(now_);
      Tell(1, static_cast<int>(i), 1, Outcome::kRejected, i % 2 == 0 ? 0.3 : 0);  // told waits or not
    }
    RunTo(now_ + 0.01);
  }
  EXPECT_GE(sent.size(), 2U);  // one more after the first, or two; then hardly any
  EXPECT_LE(sent.size(), 4U);
}

// What is shared by three is shared by one once the others have gone: the even part, and with it the pace
// that is regained after a refusal, grows.
TEST_F(RateLimiterTest, PartsOfLimitsFollowTheTiersSize) {
  std::vector<std::size_t> sent;
  for (const double parts : {3.0, 1.0}) {
    Settings s = TestSettings();
    s.relay_count = 3;
    s.listed_rate_accuracy = ListedRateAccuracy::kExact;
    s.concurrency_limit = 100;
    Start(s);
    List({Entry(1, 1, 0, 0, EndpointStatus::kInService, 6)});
    Play(FleetSize{parts});
    RequestId id = 1;
    for (; id <= 100; ++id) Take(id, kSafeClass);
    EndTurn();
    Tell(All<Send>().front().request_id, 0, 1, Outcome::kRejected);
    const Seconds until = now_ + 8;
    RunTo(until);
    sent.push_back(All<Send>().size());
  }
  EXPECT_GT(sent[1], sent[0] * 3 / 2);
}

}  // namespace
}  // namespace opalroute
