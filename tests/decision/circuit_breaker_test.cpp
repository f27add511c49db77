// Detection of outages and recoveries by a single relay.
#include <algorithm>
#include <optional>
#include <vector>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class CircuitBreakerTest : public StartedRouterTest {};

TEST_F(CircuitBreakerTest, ARecoveryAfterAnOutageGetsNoBurst) {
  Settings s = TestSettings();
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  Start(s);
  UpdateList({MakeEndpoint(1, 1, 0, 0, EndpointStatus::kInService, 10)});
  RequestId id = 1;
  std::size_t answered = 0;
  const Seconds outage_end = 115;
  std::vector<Seconds> arrived;
  while (now_ < 130) {
    Receive(id++, kIdempotentClass);
    EndBatch();
    const auto sends = Emitted<Send>();
    for (; answered < sends.size(); ++answered) {
      if (now_ >= outage_end) arrived.push_back(now_);
      const int attempt = static_cast<int>(SendsFor(sends[answered].request_id).size()) - 1;
      EndAttempt(sends[answered].request_id, attempt, 1,
                 now_ >= outage_end ? Outcome::kServed : Outcome::kError);
    }
    RunUntil(now_ + 0.1);
    for (const auto all = Emitted<Send>(); answered < all.size(); ++answered) {
      if (now_ >= outage_end) arrived.push_back(now_);
      const int attempt = static_cast<int>(SendsFor(all[answered].request_id).size()) - 1;
      EndAttempt(all[answered].request_id, attempt, 1,
                 now_ >= outage_end ? Outcome::kServed : Outcome::kError);
    }
  }
  // Capacity is 2 calls per second at the recovery and 4.4 after 3 s; with overload_factor 2, this allows 19
  // calls in 3 s.
  const auto early = std::count_if(arrived.begin(), arrived.end(), [](Seconds t) { return t < 118; });
  EXPECT_GT(early, 0);
  EXPECT_LE(early, 19);
  EXPECT_GT(arrived.size(), 50U);
}

// With many relays, the interval between recovery trials is tens of seconds; a wrongly suspected outage must
// end sooner, through an early first trial.
TEST_F(CircuitBreakerTest, AWronglySuspectedOutageEndsSoon) {
  Settings s = TestSettings();
  s.relay_count = 12;
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  Start(s);
  UpdateList({MakeEndpoint(1, 1, 0, 0, EndpointStatus::kInService, 24)});
  ServeRequests(50, 1);
  RequestId id = 1;
  for (; id <= 3; ++id) {
    Receive(id, kNonIdempotentClass);
    RunUntil(now_ + 0.5);
    ASSERT_EQ(SendsFor(id).size(), 1U);
    EndAttempt(id, 0, 1, Outcome::kError);
  }
  Receive(id, kIdempotentClass);
  EndBatch();
  EXPECT_EQ(SendsFor(id).size(), 0U);
  RunUntil(now_ + 0.7);
  EXPECT_EQ(SendsFor(id).size(), 1U);
}

// If each of hundreds of relays detected an outage separately at each endpoint, together they would send the
// destination many times its usual traffic.
TEST_F(CircuitBreakerTest, ARelayWithLittleTrafficSendsFewRecoveryTrials) {
  Settings s = TestSettings();
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.relay_count = 400;
  Start(s);
  for (EndpointId id = 1; id <= 4; ++id)
    UpdateList({MakeEndpoint(id, 1, 0, 0, EndpointStatus::kInService, 8)}, ListScope::kChanges);
  Receive(1, kNonIdempotentClass);
  EndBatch();
  std::size_t answered = 0;
  while (now_ < 112) {
    for (; answered < SendsFor(1).size(); ++answered)
      EndAttempt(1, static_cast<int>(answered), SendsFor(1)[answered].endpoint, Outcome::kConnectFailed, 0,
                 0.05);
    RunUntil(now_ + 0.01);
  }
  EXPECT_GE(answered, 2U);  // the first trial is sent soon
  EXPECT_LE(answered, 3U);
}

TEST_F(CircuitBreakerTest, AServedTrialClosesCircuitsThatOpenedWithoutOwnFailures) {
  Settings s = TestSettings();
  s.relay_count = 400;
  Start(s);
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1), MakeEndpoint(3, 1)});
  Receive(1, kNonIdempotentClass);
  EndBatch();
  EndAttempt(1, 0, SendsFor(1)[0].endpoint, Outcome::kConnectFailed, 0, 0.05);
  RunUntil(now_ + 1.5);
  ASSERT_EQ(SendsFor(1).size(), 2U);
  EndAttempt(1, 1, SendsFor(1)[1].endpoint, Outcome::kServed);
  std::map<EndpointId, bool> circuit_open;
  for (const RouteHealthChanged& change : Emitted<RouteHealthChanged>())
    if (change.endpoint != 0) circuit_open[change.endpoint] = change.circuit_open;
  for (EndpointId id = 1; id <= 3; ++id) EXPECT_EQ(circuit_open[id], id == SendsFor(1)[0].endpoint) << id;
  for (RequestId id = 2; id <= 4; ++id) Receive(id, kNonIdempotentClass);
  RunUntil(now_ + s.slow_start_duration + 0.2);
  for (RequestId id = 2; id <= 4; ++id) EXPECT_EQ(SendsFor(id).size(), 1U) << id;
}

// The requests of a batch fail together; counted per request, one lost batch would open the circuit.
TEST_F(CircuitBreakerTest, AFailedBatchCountsAsOneFailure) {
  Settings s = TestSettings();
  s.may_hedge = false;
  Start(s);
  UpdateList({MakeEndpoint(1, 1, 0, 2)});
  ServeRequests(50, 1);
  for (RequestId id = 1; id <= 5; ++id) Receive(id, kNonIdempotentClass);
  EndBatch();
  for (RequestId id = 1; id <= 5; ++id) EndAttempt(id, 0, 1, Outcome::kError);
  Receive(6, kNonIdempotentClass);
  EndBatch();
  EXPECT_EQ(SendsFor(6).size(), 1U);
}

// A health check that was not sent, for lack of connections at this relay or because the endpoint drains by
// now, must not count as a failure of the endpoint.
TEST_F(CircuitBreakerTest, AHealthCheckThatWasNotSentIsInconclusive) {
  Settings s = TestSettings();
  s.may_health_check = true;
  Start(s);
  UpdateList({MakeEndpoint(1, 1)});
  Receive(20, kIdempotentClass);
  EndBatch();
  EndAttempt(20, 0, 1, Outcome::kReset);
  for (int i = 0; i < 400 && Emitted<HealthCheck>().empty(); ++i) RunUntil(now_ + 0.1);
  ASSERT_EQ(Emitted<HealthCheck>().size(), 1U);
  const auto failure_age = [this] {
    std::optional<DestinationId> from = 0;
    return router_->ExportRouteStates(now_, from, 10).at(0).failure_age;
  };
  const std::optional<Seconds> before = failure_age();
  ASSERT_GT(before.value_or(0), 0);
  Handle(HealthCheckOutcome{1, Outcome::kNotSent, 0.1, {}});
  EXPECT_EQ(failure_age(), before);
  RunUntil(now_ + 60);
  EXPECT_GT(Emitted<HealthCheck>().size(), 1U);
}

// Calls that were in flight when a destination began to reject with a long Retry-After may still be served.
// If they counted as a recovery, there would be a burst at the end of the Retry-After.
TEST_F(CircuitBreakerTest, ALateServedCallIsNotARecovery) {
  Settings s = TestSettings();
  s.may_hedge = false;
  Start(s);
  UpdateList({MakeEndpoint(1, 1)});
  Receive(20, kIdempotentClass);
  EndBatch();
  EndAttempt(20, 0, 1, Outcome::kServed);
  now_ += 0.3;
  Receive(1, kIdempotentClass);
  Receive(2, kIdempotentClass);
  EndBatch();
  EndAttempt(1, 0, 1, Outcome::kRejected, 6, 0.05);
  now_ += 0.1;
  EndAttempt(2, 0, 1, Outcome::kServed, 0, 0.15);  // sent before the rejection
  const auto state = [this] {
    std::optional<DestinationId> from = 0;
    return router_->ExportRouteStates(now_, from, 10).at(0);
  };
  EXPECT_TRUE(state().failure_age);
  for (RequestId id = 3; id <= 12; ++id) Receive(id, kIdempotentClass, 1, "", 200);
  while (Emitted<Send>().size() < 4 && now_ < 140) RunUntil(now_ + 0.1);
  const Send trial = Emitted<Send>().back();
  EndAttempt(trial.request_id, 0, 1, Outcome::kServed);
  EXPECT_FALSE(state().failure_age);
  EXPECT_TRUE(state().recovery_age);  // slow start is in progress
}

}  // namespace
}  // namespace opalroute::decision
