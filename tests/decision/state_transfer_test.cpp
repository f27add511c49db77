// Beliefs of other couriers: what the decision module says of its own, and that those of others add care and
// never daring.
#include <cmath>
#include <random>

#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class LearnedTest : public CourierTest {
 protected:
  void Listed(double rating = 0, int kind = 0) {
    Settings s = TestSettings();
    s.listed_rate_accuracy = rating > 0 ? ListedRateAccuracy::kExact : ListedRateAccuracy::kNone;
    s.relay_count = 3;
    Start(s);
    List({Entry(1, 1, 0, kind, EndpointStatus::kInService, rating),
          Entry(2, 1, 0, kind, EndpointStatus::kInService, rating)});
  }
  std::vector<RouteState> Beliefs() const {
    std::optional<DestinationId> from = std::numeric_limits<DestinationId>::min();
    return courier_->ExportRouteStates(now_, from, 1000);
  }
  RouteState Of(DestinationId destination) const {
    for (const RouteState& b : Beliefs())
      if (b.destination == destination) return b;
    return {};
  }
  static RouteState For(DestinationId destination) {
    RouteState b;
    b.destination = destination;
    return b;
  }
};

TEST_F(LearnedTest, AWaitByHearsayIsHeldToItsEndAndNoLonger) {
  Listed();
  RouteState b = For(1);
  b.retry_after = 1.5;
  Play(TransferredState{{b}});
  Take(1, kSafeClass);
  RunTo(now_ + 1.48);
  EXPECT_TRUE(All<Send>().empty());
  EXPECT_FALSE(courier_->MaySend(now_, 1));
  RunTo(now_ + 0.06);
  EXPECT_EQ(SendsOf(1).size(), 1U);
}

TEST_F(LearnedTest, AWaitThatWasToldOutlastsAShorterOneByHearsay) {
  Listed();
  Take(1, kSafeClass);
  EndTurn();
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kRejected, 2);
  RouteState b = For(1);
  b.retry_after = 0.1;
  Play(TransferredState{{b}});
  EXPECT_NEAR(Of(1).retry_after, 2, 0.02);
  RunTo(now_ + 1.9);
  EXPECT_EQ(SendsOf(1).size(), 1U);
}

TEST_F(LearnedTest, AnOutageByHearsayIsTriedByOneCallAndThenStartedSlowly) {
  Listed(6);
  RouteState b = For(1);
  b.failure_age = 1;
  Play(TransferredState{{b}});
  for (RequestId id = 1; id <= 40; ++id) Take(id, kSafeClass, 1, "", 200);
  RunTo(now_ + TestSettings().overload_window + 0.1);
  ASSERT_EQ(All<Send>().size(), 1U);  // the trial
  const Send trial = All<Send>()[0];
  Tell(trial.request_id, 0, trial.endpoint, Outcome::kServed);
  const Seconds back = now_;
  RunTo(back + 1);
  EXPECT_LE(All<Send>().size(), 3U);
  EXPECT_NEAR(*Of(1).recovery_age, 1, 0.02);
}

// Guards against a lie that keeps a healthy partner from traffic: a trial leaves within overload_for of a
// message.
TEST_F(LearnedTest, ALieAboutAnOutageEndsByItself) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Settings s = TestSettings();
    s.seed = seed;
    s.relay_count = 200;
    Start(s);
    List({Entry(1, 1)});
    RouteState b = For(1);
    b.failure_age = 0;
    Play(TransferredState{{b}});
    RunTo(now_ + 5);  // nothing to send at first: the trial that was due has lapsed
    Take(1, kSafeClass);
    RunTo(now_ + s.overload_window + 0.02);
    EXPECT_EQ(SendsOf(1).size(), 1U) << "seed " << seed;
  }
}

TEST_F(LearnedTest, ALaterServedCallOfOnesOwnOutweighsAnOutageByHearsay) {
  Listed();
  Take(1, kSafeClass);
  EndTurn();
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kServed);
  RouteState b = For(1);
  b.failure_age = 0.5;  // seen before
  Play(TransferredState{{b}});
  Take(2, kSafeClass);
  EndTurn();
  EXPECT_EQ(SendsOf(2).size(), 1U);
}

TEST_F(LearnedTest, HearsayGetsNoYoungerHoweverOftenItIsPassedOn) {
  RouteState told = For(1);
  told.failure_age = 5;
  told.hedging_disabled_age = 4;
  for (int hop = 0; hop < 4; ++hop) {
    Listed();
    Play(TransferredState{{told}});
    now_ += 1;
    const RouteState next = Of(1);
    ASSERT_TRUE(next.failure_age && next.hedging_disabled_age);
    EXPECT_NEAR(*next.failure_age, *told.failure_age + 1, 1e-6);
    EXPECT_NEAR(*next.hedging_disabled_age, *told.hedging_disabled_age + 1, 1e-6);
    told = next;
  }
}

TEST_F(LearnedTest, BeliefsOfRoutesApartNameTheirEndpoint) {
  Listed(0, 1);
  RouteState b = For(1);
  b.endpoint = 2;
  b.retry_after = 3;
  Play(TransferredState{{b}});
  EXPECT_TRUE(courier_->MaySend(now_, 1));
  EXPECT_FALSE(courier_->MaySend(now_, 2));
  b.endpoint = 0;  // the destination as a whole is no lane here
  Play(TransferredState{{b}});
  EXPECT_TRUE(courier_->MaySend(now_, 1));
  b.endpoint = 9;  // never listed
  b.destination = 4;
  Play(TransferredState{{b}});
  EXPECT_EQ(Beliefs().size(), 2U);
}

TEST_F(LearnedTest, AllAreToldInSlices) {
  Start(TestSettings());
  std::vector<ListedEndpoint> entries;
  for (EndpointId id = 1; id <= 1000; ++id) entries.push_back(Entry(id, id));
  List(entries);
  std::optional<DestinationId> from = std::numeric_limits<DestinationId>::min();
  std::size_t told = 0;
  int slices = 0;
  while (from) {
    told += courier_->ExportRouteStates(now_, from, 64).size();
    ++slices;
  }
  EXPECT_EQ(told, 1000U);
  EXPECT_EQ(slices, 16);
}

// The invariant: with any beliefs whatever, true or false, nothing leaves earlier or in greater number than
// without them. The endpoint serves, is full or fails by its own script, the same for both.
class CareTest : public CourierTest, public ::testing::WithParamInterface<int> {};

TEST_P(CareTest, BeliefsNeverMakeMoreCallsLeave) {
  std::mt19937 draw(static_cast<unsigned>(GetParam()));
  const auto unit = [&] { return std::uniform_real_distribution<double>(0, 1)(draw); };
  std::vector<Seconds> due;
  for (int i = 0; i < 30; ++i) due.push_back(100 + 10 * unit());
  RouteState b;
  b.destination = 1;
  if (unit() < 0.4) b.retry_after = 3 * unit();
  if (unit() < 0.4) b.failure_age = 30 * unit();
  if (unit() < 0.4) b.recovery_age = 15 * unit();
  if (unit() < 0.4) b.rejection_age = 5 * unit();
  b.send_rate = 20 * unit();
  if (unit() < 0.4) b.latency_age = 5 * unit();
  b.latency = 100 * unit();
  if (unit() < 0.4) b.hedging_disabled_age = 5 * unit();
  std::vector<std::vector<Seconds>> sent(2);
  for (int with = 0; with < 2; ++with) {
    Settings s = TestSettings();
    s.relay_count = 3;
    s.listed_rate_accuracy = ListedRateAccuracy::kExact;
    s.may_hedge = false;
    now_ = 100;
    Start(s);
    List({Entry(1, 1, 0, 0, EndpointStatus::kInService, 10)});
    if (with == 1) Play(TransferredState{{b}});
    std::vector<std::pair<Seconds, Send>> out;
    std::size_t seen = 0;
    RequestId next = 1;
    for (int tick = 0; tick < 1200; ++tick) {
      for (const Seconds at : due)
        if (at > now_ - 0.01 && at <= now_) Take(next++, kSafeClass, 1, "", 20);
      for (std::size_t i = 0; i < out.size();) {
        if (out[i].first > now_) {
          ++i;
          continue;
        }
        Tell(out[i].second.request_id, 0, 1, Outcome::kServed, 0, 0.1);
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
      }
      for (const SetTimer& wake : All<SetTimer>())
        if (wake.due > now_ - 0.01 && wake.due <= now_) Play(TimerFired{wake.timer_id});
      EndTurn();
      const auto sends = All<Send>();
      for (; seen < sends.size(); ++seen) {
        out.emplace_back(now_ + 0.1, sends[seen]);
        sent[static_cast<std::size_t>(with)].push_back(now_);
      }
      now_ += 0.01;
    }
  }
  ASSERT_EQ(sent[0].size(), due.size());
  ASSERT_LE(sent[1].size(), sent[0].size());
  for (std::size_t i = 0; i < sent[1].size(); ++i) EXPECT_GE(sent[1][i], sent[0][i] - 1e-9) << "call " << i;
}

INSTANTIATE_TEST_SUITE_P(Seeds, CareTest, ::testing::Range(1, 61));

}  // namespace
}  // namespace opalroute
