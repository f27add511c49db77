// Retry-After, the send rate, and the backoff after rejections.
#include <vector>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class RateLimiterTest : public StartedRouterTest {};

TEST_F(RateLimiterTest, RetryAfterAppliesToTheWholeDestination) {
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1), MakeEndpoint(3, 2)});
  Receive(1, kNonIdempotentClass);
  EndBatch();
  EndAttempt(1, 0, SendsFor(1)[0].endpoint, Outcome::kRejected, 1.0);
  EndBatch();
  Receive(2, kNonIdempotentClass, 1);
  Receive(3, kNonIdempotentClass, 2);
  EndBatch();
  RunUntil(100.99);
  EXPECT_EQ(SendsFor(1).size() + SendsFor(2).size(), 1U);
  EXPECT_EQ(SendsFor(3).size(), 1U);
  RunUntil(103);
  EXPECT_EQ(SendsFor(1).size() + SendsFor(2).size(), 3U);
}

TEST_F(RateLimiterTest, RetryAfterAppliesToOneEndpointWhereLimitsArePerEndpoint) {
  UpdateList({MakeEndpoint(1, 1, 0, 1), MakeEndpoint(2, 1, 0, 1)});
  Receive(1, kNonIdempotentClass);
  EndBatch();
  const EndpointId first = SendsFor(1)[0].endpoint;
  EndAttempt(1, 0, first, Outcome::kRejected, 2.0);
  EndBatch();
  ASSERT_EQ(SendsFor(1).size(), 2U);
  EXPECT_NE(SendsFor(1)[1].endpoint, first);
}

// The rejections of a batch may have different Retry-Afters, and all of them apply.
TEST_F(RateLimiterTest, TheLongestRetryAfterOfABatchApplies) {
  Settings s = TestSettings();
  s.may_hedge = false;
  Start(s);
  UpdateList({MakeEndpoint(1, 1, 0, 2)});
  Receive(1, kNonIdempotentClass);
  Receive(2, kNonIdempotentClass);
  EndBatch();
  EndAttempt(1, 0, 1, Outcome::kRejected, 0.5);
  EndAttempt(2, 0, 1, Outcome::kRejected, 1.5);
  EndBatch();
  RunUntil(101.49);
  EXPECT_EQ(Emitted<Send>().size(), 2U);
}

TEST_F(RateLimiterTest, TheSendRateFallsAfterRejections) {
  Settings s = TestSettings();
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.relay_count = 4;
  s.concurrency_limit = 100;
  Start(s);
  UpdateList({MakeEndpoint(1, 1, 0, 0, EndpointStatus::kInService, 20)});
  for (RequestId id = 1; id <= 150; ++id) Receive(id, kNonIdempotentClass);
  EndBatch();
  std::size_t answered = 0;
  while (now_ < 105) {
    const auto sends = Emitted<Send>();
    for (; answered < sends.size(); ++answered) {
      const int attempt = static_cast<int>(SendsFor(sends[answered].request_id).size()) - 1;
      EndAttempt(sends[answered].request_id, attempt, 1,
                 answered % 3 == 0 ? Outcome::kRejected : Outcome::kServed);
    }
    EndBatch();
    RunUntil(now_ + 0.05);
  }
  EXPECT_LT(Emitted<Send>().size(), 45U);  // from half an even share to two: 2.5 to 10 calls per second
  EXPECT_GT(Emitted<Send>().size(), 10U);
}

// For each of hundreds of relays, most of them idle, an even share of the limit is one call in many seconds.
// A relay must not wait that long for its first calls.
TEST_F(RateLimiterTest, ARelayOfALargeFleetSendsItsFirstRequestsImmediately) {
  Settings s = TestSettings();
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.relay_count = 400;
  s.may_hedge = false;
  Start(s);
  UpdateList({MakeEndpoint(1, 1, 0, 0, EndpointStatus::kInService, 8)});
  Receive(1, kNonIdempotentClass);
  EndBatch();
  EXPECT_EQ(SendsFor(1).size(), 1U);
  Receive(2, kNonIdempotentClass);
  RunUntil(now_ + 0.2);
  EXPECT_EQ(SendsFor(2).size(), 1U);
  EndAttempt(1, 0, 1, Outcome::kRejected);  // nor does it wait that long after a rejection
  RunUntil(now_ + 7);
  EXPECT_EQ(SendsFor(1).size(), 2U);
}

// Dozens of relays, none of which sees the others' calls, would overload a recovering route if each retried
// every second.
TEST_F(RateLimiterTest, BackoffGrowsWithConsecutiveRejections) {
  Settings s = TestSettings();
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.relay_count = 80;
  Start(s);
  UpdateList({MakeEndpoint(1, 1, 0, 1, EndpointStatus::kInService, 2)});
  Receive(1, kNonIdempotentClass);
  EndBatch();
  std::vector<Seconds> sent;
  while (now_ < 115) {
    const auto sends = SendsFor(1);
    for (std::size_t i = sent.size(); i < sends.size(); ++i) {
      sent.push_back(now_);
      EndAttempt(1, static_cast<int>(i), 1, Outcome::kRejected,
                 i % 2 == 0 ? 0.3 : 0);  // with Retry-After or without
    }
    RunUntil(now_ + 0.01);
  }
  EXPECT_GE(sent.size(), 2U);  // one to three after the first
  EXPECT_LE(sent.size(), 4U);
}

// After two of three relays have left, the third one's share of the limit is larger, and so is the send rate
// that it regains after a rejection.
TEST_F(RateLimiterTest, TheShareOfALimitFollowsTheFleetSize) {
  std::vector<std::size_t> sent;
  for (const double share_count : {3.0, 1.0}) {
    Settings s = TestSettings();
    s.relay_count = 3;
    s.listed_rate_accuracy = ListedRateAccuracy::kExact;
    s.concurrency_limit = 100;
    Start(s);
    UpdateList({MakeEndpoint(1, 1, 0, 0, EndpointStatus::kInService, 6)});
    Handle(FleetSize{share_count});
    RequestId id = 1;
    for (; id <= 100; ++id) Receive(id, kIdempotentClass);
    EndBatch();
    EndAttempt(Emitted<Send>().front().request_id, 0, 1, Outcome::kRejected);
    const Seconds until = now_ + 8;
    RunUntil(until);
    sent.push_back(Emitted<Send>().size());
  }
  EXPECT_GT(sent[1], sent[0] * 3 / 2);
}

}  // namespace
}  // namespace opalroute::decision
