// Outages and returns as one relay sees them.
#include <algorithm>
#include <optional>
#include <vector>

#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class CircuitBreakerTest : public StartedRouterTest {};

TEST_F(CircuitBreakerTest, AReturnFromAnOutageFindsNoBurst) {
  Settings s = TestSettings();
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  Start(s);
  List({Entry(1, 1, 0, 0, EndpointStatus::kInService, 10)});
  RequestId id = 1;
  std::size_t told = 0;
  const Seconds returns = 115;
  std::vector<Seconds> arrived;
  while (now_ < 130) {
    Take(id++, kSafeClass);
    EndTurn();
    const auto sends = All<Send>();
    for (; told < sends.size(); ++told) {
      if (now_ >= returns) arrived.push_back(now_);
      const int attempt = static_cast<int>(SendsOf(sends[told].request_id).size()) - 1;
      Tell(sends[told].request_id, attempt, 1, now_ >= returns ? Outcome::kServed : Outcome::kError);
    }
    RunTo(now_ + 0.1);
    for (const auto all = All<Send>(); told < all.size(); ++told) {
      if (now_ >= returns) arrived.push_back(now_);
      const int attempt = static_cast<int>(SendsOf(all[told].request_id).size()) - 1;
      Tell(all[told].request_id, attempt, 1, now_ >= returns ? Outcome::kServed : Outcome::kError);
    }
  }
  // Cold capacity is 2 a second and 4.4 after 3 s, if it warms evenly: twice that makes 19 in 3 s.
  const auto early = std::count_if(arrived.begin(), arrived.end(), [](Seconds t) { return t < 118; });
  EXPECT_GT(early, 0);
  EXPECT_LE(early, 19);
  EXPECT_GT(arrived.size(), 50U);
}

// With many couriers a budget's interval is tens of seconds: a false alarm must not last that long.
TEST_F(CircuitBreakerTest, AFalseAlarmOfAnOutageEndsSoon) {
  Settings s = TestSettings();
  s.relay_count = 12;
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  Start(s);
  List({Entry(1, 1, 0, 0, EndpointStatus::kInService, 24)});
  ServeSafely(50, 1);
  RequestId id = 1;
  for (; id <= 3; ++id) {
    Take(id, kUnsafeClass);
    RunTo(now_ + 0.5);
    ASSERT_EQ(SendsOf(id).size(), 1U);
    Tell(id, 0, 1, Outcome::kError);
  }
  Take(id, kSafeClass);
  EndTurn();
  EXPECT_EQ(SendsOf(id).size(), 0U);
  RunTo(now_ + 0.7);
  EXPECT_EQ(SendsOf(id).size(), 1U);
}

// Hundreds of couriers that each find out at each endpoint send a crashed destination many times its traffic.
TEST_F(CircuitBreakerTest, AQuietCourierTriesADestinationThatIsOutSeldom) {
  Settings s = TestSettings();
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.relay_count = 400;
  Start(s);
  for (EndpointId id = 1; id <= 4; ++id)
    List({Entry(id, 1, 0, 0, EndpointStatus::kInService, 8)}, ListScope::kChanges);
  Take(1, kUnsafeClass);
  EndTurn();
  std::size_t told = 0;
  while (now_ < 112) {
    for (; told < SendsOf(1).size(); ++told)
      Tell(1, static_cast<int>(told), SendsOf(1)[told].endpoint, Outcome::kConnectFailed, 0, 0.05);
    RunTo(now_ + 0.01);
  }
  EXPECT_GE(told, 2U);  // a first trial comes soon: it may have been a false alarm
  EXPECT_LE(told, 3U);
}

TEST_F(CircuitBreakerTest, AServedTrialClearsWhatWasOnlySuspected) {
  Settings s = TestSettings();
  s.relay_count = 400;
  Start(s);
  List({Entry(1, 1), Entry(2, 1), Entry(3, 1)});
  Take(1, kUnsafeClass);
  EndTurn();
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kConnectFailed, 0, 0.05);
  RunTo(now_ + 1.5);
  ASSERT_EQ(SendsOf(1).size(), 2U);
  Tell(1, 1, SendsOf(1)[1].endpoint, Outcome::kServed);
  for (RequestId id = 2; id <= 4; ++id) Take(id, kUnsafeClass);
  RunTo(now_ + 0.2);
  for (RequestId id = 2; id <= 4; ++id) EXPECT_EQ(SendsOf(id).size(), 1U) << id;
}

// One call with many messages has one fate: counting each as a failure opened circuits all day long.
TEST_F(CircuitBreakerTest, AFailedBundleIsOneFailure) {
  Settings s = TestSettings();
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1, 0, 2)});
  ServeSafely(50, 1);
  for (RequestId id = 1; id <= 5; ++id) Take(id, kUnsafeClass);
  EndTurn();
  for (RequestId id = 1; id <= 5; ++id) Tell(id, 0, 1, Outcome::kError);
  Take(6, kUnsafeClass);
  EndTurn();
  EXPECT_EQ(SendsOf(6).size(), 1U);
}

// Guards against a lack of connections here, or a drain told meanwhile, that counts as an endpoint's failure.
TEST_F(CircuitBreakerTest, AProbeThatWasNotSentSaysNothingOfItsEndpoint) {
  Settings s = TestSettings();
  s.may_health_check = true;
  Start(s);
  List({Entry(1, 1)});
  Take(20, kSafeClass);
  EndTurn();
  Tell(20, 0, 1, Outcome::kReset);
  for (int i = 0; i < 400 && All<HealthCheck>().empty(); ++i) RunTo(now_ + 0.1);
  ASSERT_EQ(All<HealthCheck>().size(), 1U);
  const auto out_since = [this] {
    std::optional<DestinationId> from = 0;
    return courier_->ExportRouteStates(now_, from, 10).at(0).failure_age;
  };
  const std::optional<Seconds> before = out_since();
  ASSERT_GT(before.value_or(0), 0);
  Play(HealthCheckOutcome{1, Outcome::kNotSent, 0.1, {}});
  EXPECT_EQ(out_since(), before);
  RunTo(now_ + 60);
  EXPECT_GT(All<HealthCheck>().size(), 1U);
}

// Guards against a rush at the end of a told wait: calls that were out when a partner shut still come back
// served, and say nothing of its return.
TEST_F(CircuitBreakerTest, ACallServedAfterALongWaitWasToldIsNoReturn) {
  Settings s = TestSettings();
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1)});
  Take(20, kSafeClass);
  EndTurn();
  Tell(20, 0, 1, Outcome::kServed);
  now_ += 0.3;
  Take(1, kSafeClass);
  Take(2, kSafeClass);
  EndTurn();
  Tell(1, 0, 1, Outcome::kRejected, 6, 0.05);
  now_ += 0.1;
  Tell(2, 0, 1, Outcome::kServed, 0, 0.15);  // sent before the refusal
  const auto belief = [this] {
    std::optional<DestinationId> from = 0;
    return courier_->ExportRouteStates(now_, from, 10).at(0);
  };
  EXPECT_TRUE(belief().failure_age);
  for (RequestId id = 3; id <= 12; ++id) Take(id, kSafeClass, 1, "", 200);
  while (All<Send>().size() < 4 && now_ < 140) RunTo(now_ + 0.1);
  const Send trial = All<Send>().back();
  Tell(trial.request_id, 0, 1, Outcome::kServed);
  EXPECT_FALSE(belief().failure_age);
  EXPECT_TRUE(belief().recovery_age);  // a slow start
}

}  // namespace
}  // namespace opalroute
