// What the module does with messages of an earlier process, before an end, and just before a first byte.
#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class RestartTest : public CourierTest {
 protected:
  void SetUp() override {
    Start(TestSettings());
    List({Entry(1, 1, 0), Entry(2, 1, 1)});
  }
  void Restore(int message_class, std::vector<EarlierAttempt> attempts, Seconds patience = 10) {
    Play(RecoveredRequest{{1, message_class, {}, "", patience, 1}, std::move(attempts)});
    EndTurn();
  }
};

TEST_F(RestartTest, WhatHadNotLeftIsSent) {
  Restore(kUnsafeClass, {});
  EXPECT_EQ(SendsOf(1).size(), 1U);
}

// Guards against a payment that takes effect twice: the call that was out when the process ended may have
// run.
TEST_F(RestartTest, AnUnsafeOneThatMayHaveRunFailsAtOnce) {
  Restore(kUnsafeClass, {{1, 0, 1, true}});
  EXPECT_TRUE(SendsOf(1).empty());
  EXPECT_TRUE(All<Reject>().empty());
  EXPECT_EQ(All<Fail>().size(), 1U);
}

TEST_F(RestartTest, AnUnsafeOneWhoseAttemptsNeverRanIsSent) {
  Restore(kUnsafeClass, {{1, 0, 1, false}});
  EXPECT_EQ(SendsOf(1).size(), 1U);
}

// The group and the window of a keyed message run from its first attempt that may have run.
TEST_F(RestartTest, AKeyedOneStaysInItsZoneAndWindow) {
  for (int i = 0; i < 20; ++i) {
    SetUp();
    Restore(kKeyedClass, {{1, 0, 3, false}, {2, 1, 2, true}, {1, 0, 1, true}});
    ASSERT_EQ(SendsOf(1).size(), 1U);
    EXPECT_EQ(SendsOf(1)[0].endpoint, 2U);
  }
  SetUp();
  Restore(kKeyedClass, {{2, 1, 8.5, true}}, 10);  // its window was 8
  EXPECT_TRUE(SendsOf(1).empty());
  EXPECT_EQ(All<Fail>().size(), 1U);
}

TEST_F(RestartTest, EarlierAttemptsCount) {
  Restore(kSafeClass, std::vector<EarlierAttempt>(6, {1, 0, 1, true}));
  EXPECT_TRUE(SendsOf(1).empty());
  EXPECT_EQ(All<Reject>().size(), 1U);
}

TEST_F(RestartTest, WhoseTimeIsUpEnds) {
  Restore(kSafeClass, {}, 0);
  EXPECT_TRUE(SendsOf(1).empty());
  EXPECT_EQ(All<Reject>().size(), 1U);
}

// A call that can't come back before the process ends would only be cut off.
TEST_F(RestartTest, BeforeAnEndOnlyWhatCanComeBackIsSent) {
  Take(1, kSafeClass);
  EndTurn();
  now_ += 0.5;
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kServed, 0, 0.5);
  Play(ShutdownStarted{1.5});
  Take(2, kSafeClass);
  EndTurn();
  EXPECT_EQ(SendsOf(2).size(), 1U);
  now_ += 0.6;
  Take(3, kSafeClass);
  EndTurn();
  EXPECT_TRUE(SendsOf(3).empty());
}

// A connection takes time to come up; a wait told or a drain heard meanwhile binds the call that waits for
// it.
TEST_F(RestartTest, AToldWaitOrADrainStopsWhatHasNotLeft) {
  EXPECT_TRUE(courier_->MaySend(now_, 1));
  EXPECT_FALSE(courier_->MaySend(now_, 99));
  Take(1, kSafeClass);
  EndTurn();
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kRejected, 2);
  EXPECT_FALSE(courier_->MaySend(now_, 1));  // both endpoints share the destination's limit
  EXPECT_FALSE(courier_->MaySend(now_, 2));
  EXPECT_TRUE(courier_->MaySend(now_ + 2.1, 1));
  List({Entry(1, 1, 0, 0, EndpointStatus::kDraining)}, ListScope::kChanges);
  EXPECT_FALSE(courier_->MaySend(now_ + 2.1, 1));
  EXPECT_TRUE(courier_->MaySend(now_ + 2.1, 2));
}

// Guards against advice to come back at once for a destination whose last endpoint drains.
TEST_F(RestartTest, AdviceCountsNoEndpointThatDrains) {
  Settings settings = TestSettings();
  settings.listed_rate_accuracy = ListedRateAccuracy::kExact;
  Start(settings);
  List({Entry(1, 1, 0, 0, EndpointStatus::kDraining, 20)});
  Take(1, kSafeClass, 1, "", 0.01);
  RunTo(now_ + 0.1);
  ASSERT_EQ(All<Reject>().size(), 1U);
  EXPECT_DOUBLE_EQ(All<Reject>()[0].retry_after, settings.max_retry_after);
}

class NotLeftTest : public CourierTest {
 protected:
  // A message of which no attempt can leave, for so long. Returns how many were asked for.
  std::size_t Play(int message_class, int most_tries, Seconds trouble) {
    Settings settings = TestSettings();
    settings.max_attempts = most_tries;
    now_ = 100;
    Start(settings);
    List({Entry(1, 1, 0), Entry(2, 1, 1)});
    Take(1, message_class);
    EndTurn();
    std::size_t told = 0;
    while (now_ < 100 + trouble) {
      const auto sends = SendsOf(1);
      for (; told < sends.size(); ++told)
        Tell(1, static_cast<int>(told), sends[told].endpoint, Outcome::kLocalShortage, 0, 0);
      RunTo(now_ + 0.01);
    }
    return told;
  }
};

// Guards against messages that are handed back, untried, for a moment's want of sockets or of room on the
// disk.
TEST_F(NotLeftTest, WhatCouldNotLeaveIsNoTryAndIsTriedAgainWithBackoff) {
  for (const int message_class : {kSafeClass, kKeyedClass, kUnsafeClass})
    for (const int most_tries : {2, 12}) {
      const std::size_t asked = Play(message_class, most_tries, 2);
      EXPECT_TRUE(All<Fail>().empty());
      EXPECT_TRUE(All<Reject>().empty());
      EXPECT_GE(asked, 3U);
      EXPECT_LE(asked, 40U);
      RunTo(now_ + 2);
      ASSERT_GT(SendsOf(1).size(), asked);  // once the trouble is over it is sent
      Tell(1, static_cast<int>(asked), SendsOf(1)[asked].endpoint, Outcome::kServed);
      EXPECT_TRUE(All<Fail>().empty());
    }
}

TEST_F(NotLeftTest, ItSaysNothingOfTheEndpoint) {
  Play(kSafeClass, 12, 2);
  Tell(1, static_cast<int>(SendsOf(1).size()) - 1, SendsOf(1).back().endpoint, Outcome::kServed);
  actions_.clear();
  for (RequestId id = 2; id < 6; ++id) Take(id, kSafeClass);
  EndTurn();
  for (RequestId id = 2; id < 6; ++id) EXPECT_FALSE(SendsOf(id).empty());
}

}  // namespace
}  // namespace opalroute
