// State transfer: the state of routes that a relay exports, and the effect of state from other relays, which
// must only make a relay more cautious.
#include <cmath>
#include <random>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class StateTransferTest : public RouterTest {
 protected:
  void StartWithTwoEndpoints(double listed_rate = 0, int kind = 0) {
    Settings s = TestSettings();
    s.listed_rate_accuracy = listed_rate > 0 ? ListedRateAccuracy::kExact : ListedRateAccuracy::kNone;
    s.relay_count = 3;
    Start(s);
    UpdateList({MakeEndpoint(1, 1, 0, kind, EndpointStatus::kInService, listed_rate),
                MakeEndpoint(2, 1, 0, kind, EndpointStatus::kInService, listed_rate)});
  }
  std::vector<RouteState> ExportStates() const {
    std::optional<DestinationId> from = std::numeric_limits<DestinationId>::min();
    return router_->ExportRouteStates(now_, from, 1000);
  }
  RouteState StateOf(DestinationId destination) const {
    for (const RouteState& state : ExportStates())
      if (state.destination == destination) return state;
    return {};
  }
  static RouteState MakeState(DestinationId destination) {
    RouteState state;
    state.destination = destination;
    return state;
  }
};

TEST_F(StateTransferTest, ATransferredRetryAfterIsKeptToItsEnd) {
  StartWithTwoEndpoints();
  RouteState state = MakeState(1);
  state.retry_after = 1.5;
  Handle(TransferredState{{state}});
  Receive(1, kIdempotentClass);
  RunUntil(now_ + 1.48);
  EXPECT_TRUE(Emitted<Send>().empty());
  EXPECT_FALSE(router_->MaySend(now_, 1));
  RunUntil(now_ + 0.06);
  EXPECT_EQ(SendsFor(1).size(), 1U);
}

TEST_F(StateTransferTest, ALongerOwnRetryAfterIsKept) {
  StartWithTwoEndpoints();
  Receive(1, kIdempotentClass);
  EndBatch();
  EndAttempt(1, 0, SendsFor(1)[0].endpoint, Outcome::kRejected, 2);
  RouteState state = MakeState(1);
  state.retry_after = 0.1;
  Handle(TransferredState{{state}});
  EXPECT_NEAR(StateOf(1).retry_after, 2, 0.02);
  RunUntil(now_ + 1.9);
  EXPECT_EQ(SendsFor(1).size(), 1U);
}

TEST_F(StateTransferTest, ATransferredFailureLeadsToOneTrialAndASlowStart) {
  StartWithTwoEndpoints(6);
  RouteState state = MakeState(1);
  state.failure_age = 1;
  Handle(TransferredState{{state}});
  for (RequestId id = 1; id <= 40; ++id) Receive(id, kIdempotentClass, 1, "", 200);
  RunUntil(now_ + TestSettings().overload_window + 0.1);
  ASSERT_EQ(Emitted<Send>().size(), 1U);  // the recovery trial
  const Send trial = Emitted<Send>()[0];
  EndAttempt(trial.request_id, 0, trial.endpoint, Outcome::kServed);
  const Seconds recovered_at = now_;
  RunUntil(recovered_at + 1);
  EXPECT_LE(Emitted<Send>().size(), 3U);
  EXPECT_NEAR(*StateOf(1).recovery_age, 1, 0.02);
}

// A false report must not keep traffic from a healthy destination: a trial is sent within the overload
// window.
TEST_F(StateTransferTest, AFalseTransferredFailureIsClearedByATrial) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Settings s = TestSettings();
    s.seed = seed;
    s.relay_count = 200;
    Start(s);
    UpdateList({MakeEndpoint(1, 1)});
    RouteState state = MakeState(1);
    state.failure_age = 0;
    Handle(TransferredState{{state}});
    RunUntil(now_ + 5);  // without a request, the trial that was due is scheduled again
    Receive(1, kIdempotentClass);
    RunUntil(now_ + s.overload_window + 0.02);
    EXPECT_EQ(SendsFor(1).size(), 1U) << "seed " << seed;
  }
}

TEST_F(StateTransferTest, ALaterOwnSuccessOverridesATransferredFailure) {
  StartWithTwoEndpoints();
  Receive(1, kIdempotentClass);
  EndBatch();
  EndAttempt(1, 0, SendsFor(1)[0].endpoint, Outcome::kServed);
  RouteState state = MakeState(1);
  state.failure_age = 0.5;  // before the success
  Handle(TransferredState{{state}});
  Receive(2, kIdempotentClass);
  EndBatch();
  EXPECT_EQ(SendsFor(2).size(), 1U);
}

TEST_F(StateTransferTest, AgesKeepGrowingWhenTransferredAgain) {
  RouteState received = MakeState(1);
  received.failure_age = 5;
  received.hedging_disabled_age = 4;
  for (int hop = 0; hop < 4; ++hop) {
    StartWithTwoEndpoints();
    Handle(TransferredState{{received}});
    now_ += 1;
    const RouteState next = StateOf(1);
    ASSERT_TRUE(next.failure_age && next.hedging_disabled_age);
    EXPECT_NEAR(*next.failure_age, *received.failure_age + 1, 1e-6);
    EXPECT_NEAR(*next.hedging_disabled_age, *received.hedging_disabled_age + 1, 1e-6);
    received = next;
  }
}

TEST_F(StateTransferTest, StatesOfEndpointRoutesNameTheirEndpoint) {
  StartWithTwoEndpoints(0, 1);
  RouteState state = MakeState(1);
  state.endpoint = 2;
  state.retry_after = 3;
  Handle(TransferredState{{state}});
  EXPECT_TRUE(router_->MaySend(now_, 1));
  EXPECT_FALSE(router_->MaySend(now_, 2));
  state.endpoint = 0;  // these endpoints have routes of their own, so the destination has none
  Handle(TransferredState{{state}});
  EXPECT_TRUE(router_->MaySend(now_, 1));
  state.endpoint = 9;  // never listed
  state.destination = 4;
  Handle(TransferredState{{state}});
  EXPECT_EQ(ExportStates().size(), 2U);
}

TEST_F(StateTransferTest, StatesAreExportedInParts) {
  Start(TestSettings());
  std::vector<ListedEndpoint> entries;
  for (EndpointId id = 1; id <= 1000; ++id) entries.push_back(MakeEndpoint(id, id));
  UpdateList(entries);
  std::optional<DestinationId> from = std::numeric_limits<DestinationId>::min();
  std::size_t received = 0;
  int parts = 0;
  while (from) {
    received += router_->ExportRouteStates(now_, from, 64).size();
    ++parts;
  }
  EXPECT_EQ(received, 1000U);
  EXPECT_EQ(parts, 16);
}

// With any transferred state, true or false, no call is sent earlier than without it, and no additional one.
class TransferredStateInvariantTest : public RouterTest, public ::testing::WithParamInterface<int> {};

TEST_P(TransferredStateInvariantTest, TransferredStateNeverAddsOrAdvancesCalls) {
  std::mt19937 random(static_cast<unsigned>(GetParam()));
  const auto uniform = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
  std::vector<Seconds> arrivals;
  for (int i = 0; i < 30; ++i) arrivals.push_back(100 + 10 * uniform());
  RouteState state;
  state.destination = 1;
  if (uniform() < 0.4) state.retry_after = 3 * uniform();
  if (uniform() < 0.4) state.failure_age = 30 * uniform();
  if (uniform() < 0.4) state.recovery_age = 15 * uniform();
  if (uniform() < 0.4) state.rejection_age = 5 * uniform();
  state.send_rate = 20 * uniform();
  if (uniform() < 0.4) state.latency_age = 5 * uniform();
  state.latency = 100 * uniform();
  if (uniform() < 0.4) state.hedging_disabled_age = 5 * uniform();
  std::vector<std::vector<Seconds>> sent(2);
  for (int variant = 0; variant < 2; ++variant) {
    Settings s = TestSettings();
    s.relay_count = 3;
    s.listed_rate_accuracy = ListedRateAccuracy::kExact;
    s.may_hedge = false;
    now_ = 100;
    Start(s);
    UpdateList({MakeEndpoint(1, 1, 0, 0, EndpointStatus::kInService, 10)});
    if (variant == 1) Handle(TransferredState{{state}});
    std::vector<std::pair<Seconds, Send>> in_flight;
    std::size_t handled = 0;
    RequestId next = 1;
    for (int tick = 0; tick < 1200; ++tick) {
      for (const Seconds arrival : arrivals)
        if (arrival > now_ - 0.01 && arrival <= now_) Receive(next++, kIdempotentClass, 1, "", 20);
      for (std::size_t i = 0; i < in_flight.size();) {
        if (in_flight[i].first > now_) {
          ++i;
          continue;
        }
        EndAttempt(in_flight[i].second.request_id, 0, 1, Outcome::kServed, 0, 0.1);
        in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(i));
      }
      for (const SetTimer& timer : Emitted<SetTimer>())
        if (timer.due > now_ - 0.01 && timer.due <= now_) Handle(TimerFired{timer.timer_id});
      EndBatch();
      const auto sends = Emitted<Send>();
      for (; handled < sends.size(); ++handled) {
        in_flight.emplace_back(now_ + 0.1, sends[handled]);
        sent[static_cast<std::size_t>(variant)].push_back(now_);
      }
      now_ += 0.01;
    }
  }
  ASSERT_EQ(sent[0].size(), arrivals.size());
  ASSERT_LE(sent[1].size(), sent[0].size());
  for (std::size_t i = 0; i < sent[1].size(); ++i) EXPECT_GE(sent[1][i], sent[0][i] - 1e-9) << "call " << i;
}

INSTANTIATE_TEST_SUITE_P(Seeds, TransferredStateInvariantTest, ::testing::Range(1, 61));

}  // namespace
}  // namespace opalroute::decision
