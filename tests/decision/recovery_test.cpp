// Requests of an earlier process, the time before a shutdown, and sends that have not left yet.
#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class RecoveryTest : public RouterTest {
 protected:
  void SetUp() override {
    Start(TestSettings());
    UpdateList({MakeEndpoint(1, 1, 0), MakeEndpoint(2, 1, 1)});
  }
  void Recover(int request_class, std::vector<EarlierAttempt> attempts, Seconds remaining_time = 10) {
    Handle(RecoveredRequest{{1, request_class, {}, "", remaining_time, 1}, std::move(attempts)});
    EndBatch();
  }
};

TEST_F(RecoveryTest, ARequestWithoutAttemptsIsSent) {
  Recover(kNonIdempotentClass, {});
  EXPECT_EQ(SendsFor(1).size(), 1U);
}

// The call that was in flight when the process ended may have run; a second one could double its effect.
TEST_F(RecoveryTest, ANonIdempotentRequestThatMayHaveRunFailsAtOnce) {
  Recover(kNonIdempotentClass, {{1, 0, 1, true}});
  EXPECT_TRUE(SendsFor(1).empty());
  EXPECT_TRUE(Emitted<Reject>().empty());
  EXPECT_EQ(Emitted<Fail>().size(), 1U);
}

TEST_F(RecoveryTest, ANonIdempotentRequestThatNeverRanIsSent) {
  Recover(kNonIdempotentClass, {{1, 0, 1, false}});
  EXPECT_EQ(SendsFor(1).size(), 1U);
}

// The zone and the deduplication window are those of the first attempt that may have run.
TEST_F(RecoveryTest, ADeduplicatedRequestStaysInItsZoneAndWindow) {
  for (int i = 0; i < 20; ++i) {
    SetUp();
    Recover(kDeduplicatedClass, {{1, 0, 3, false}, {2, 1, 2, true}, {1, 0, 1, true}});
    ASSERT_EQ(SendsFor(1).size(), 1U);
    EXPECT_EQ(SendsFor(1)[0].endpoint, 2U);
  }
  SetUp();
  Recover(kDeduplicatedClass, {{2, 1, 8.5, true}}, 10);  // its window is 8 s
  EXPECT_TRUE(SendsFor(1).empty());
  EXPECT_EQ(Emitted<Fail>().size(), 1U);
}

TEST_F(RecoveryTest, EarlierAttemptsCount) {
  Recover(kIdempotentClass, std::vector<EarlierAttempt>(6, {1, 0, 1, true}));
  EXPECT_TRUE(SendsFor(1).empty());
  EXPECT_EQ(Emitted<Reject>().size(), 1U);
}

TEST_F(RecoveryTest, AnExpiredRequestIsRejected) {
  Recover(kIdempotentClass, {}, 0);
  EXPECT_TRUE(SendsFor(1).empty());
  EXPECT_EQ(Emitted<Reject>().size(), 1U);
}

// A call that cannot come back before the process ends would be cut off.
TEST_F(RecoveryTest, BeforeAShutdownOnlyCallsThatCanComeBackAreSent) {
  Receive(1, kIdempotentClass);
  EndBatch();
  now_ += 0.5;
  EndAttempt(1, 0, SendsFor(1)[0].endpoint, Outcome::kServed, 0, 0.5);
  Handle(ShutdownStarted{1.5});
  Receive(2, kIdempotentClass);
  EndBatch();
  EXPECT_EQ(SendsFor(2).size(), 1U);
  now_ += 0.6;
  Receive(3, kIdempotentClass);
  EndBatch();
  EXPECT_TRUE(SendsFor(3).empty());
}

// A Retry-After or a drain that comes while a call waits for its connection binds that call.
TEST_F(RecoveryTest, RetryAfterOrADrainStopsASendThatHasNotLeft) {
  EXPECT_TRUE(router_->MaySend(now_, 1));
  EXPECT_FALSE(router_->MaySend(now_, 99));
  Receive(1, kIdempotentClass);
  EndBatch();
  EndAttempt(1, 0, SendsFor(1)[0].endpoint, Outcome::kRejected, 2);
  EXPECT_FALSE(router_->MaySend(now_, 1));  // both endpoints share the destination's limit
  EXPECT_FALSE(router_->MaySend(now_, 2));
  EXPECT_TRUE(router_->MaySend(now_ + 2.1, 1));
  UpdateList({MakeEndpoint(1, 1, 0, 0, EndpointStatus::kDraining)}, ListScope::kChanges);
  EXPECT_FALSE(router_->MaySend(now_ + 2.1, 1));
  EXPECT_TRUE(router_->MaySend(now_ + 2.1, 2));
}

// A destination whose last endpoint drains must not advise clients to come back at once.
TEST_F(RecoveryTest, RetryAfterAdviceLeavesDrainingEndpointsOut) {
  Settings settings = TestSettings();
  settings.listed_rate_accuracy = ListedRateAccuracy::kExact;
  Start(settings);
  UpdateList({MakeEndpoint(1, 1, 0, 0, EndpointStatus::kDraining, 20)});
  Receive(1, kIdempotentClass, 1, "", 0.01);
  RunUntil(now_ + 0.1);
  ASSERT_EQ(Emitted<Reject>().size(), 1U);
  EXPECT_DOUBLE_EQ(Emitted<Reject>()[0].retry_after, settings.max_retry_after);
}

// A relay whose earlier processes left it nearly as many untried requests as it may hold. Each destination
// has one endpoint, which takes one call at a time.
class RecoveryUnderLoadTest : public RouterTest {
 protected:
  static constexpr int kCapacity = 100;
  static constexpr int kDestinationCount = 4;
  static constexpr RequestId kFirstNew = 1000;
  static constexpr RequestId kEndOfNew = 2000;

  void SetUp() override {
    Settings settings = TestSettings();
    settings.request_capacity = kCapacity;
    settings.concurrency_limit = 1;
    settings.may_hedge = false;
    Start(settings);
    std::vector<ListedEndpoint> endpoints;
    for (int i = 1; i <= kDestinationCount; ++i) endpoints.push_back(MakeEndpoint(i, i));
    UpdateList(endpoints);
  }
  static DestinationId DestinationOf(RequestId id) { return 1 + id % kDestinationCount; }
  void Recover(RequestId id, std::vector<EarlierAttempt> attempts = {}) {
    Handle(RecoveredRequest{{id, kNonIdempotentClass, {}, "", 10, DestinationOf(id)}, std::move(attempts)});
  }
  void RecoverMany(RequestId count) {
    for (RequestId id = 1; id <= count; ++id) Recover(id);
    EndBatch();
  }
  // They come one by one, each in a batch of its own.
  void ReceiveMany(RequestId count) {
    for (RequestId id = kFirstNew; id < kFirstNew + count; ++id) {
      Receive(id, kNonIdempotentClass, DestinationOf(id));
      EndBatch();
    }
  }
  std::size_t GivenUp(RequestId from, RequestId to) const {
    std::size_t count = 0;
    for (const Reject& reject : Emitted<Reject>())
      if (reject.request_id >= from && reject.request_id < to) ++count;
    return count + Emitted<Fail>().size();
  }
};

TEST_F(RecoveryUnderLoadTest, UntriedRequestsAreNotShedForNewOnes) {
  RecoverMany(97);
  EXPECT_EQ(GivenUp(1, kFirstNew), 0U);
  ReceiveMany(60);
  EXPECT_EQ(GivenUp(1, kFirstNew), 0U);
  EXPECT_EQ(GivenUp(kFirstNew, kEndOfNew), 60U);
}

TEST_F(RecoveryUnderLoadTest, MoreUntriedRequestsThanCapacityAreAllHeld) {
  RecoverMany(2 * kCapacity);
  EXPECT_EQ(GivenUp(1, kFirstNew), 0U);
}

// Once a call was made for it, a request competes for its place like any other.
TEST_F(RecoveryUnderLoadTest, TriedRequestsAreShed) {
  for (RequestId id = 1; id <= 97; ++id) Recover(id, {{99, 0, 1, false}});
  EndBatch();
  EXPECT_EQ(GivenUp(1, kFirstNew), 2U);
}

TEST_F(RecoveryUnderLoadTest, AShedRequestOfAnotherQueueMakesRoom) {
  RecoverMany(90);  // the longest queues, which may not be shed
  Receive(kFirstNew, kNonIdempotentClass, kDestinationCount + 1);
  for (RequestId id = kFirstNew + 1; id <= kFirstNew + 6; ++id)
    Receive(id, kNonIdempotentClass, kDestinationCount + 2);
  EndBatch();
  EXPECT_EQ(GivenUp(1, kFirstNew + 1), 0U);
  EXPECT_EQ(GivenUp(kFirstNew + 1, kEndOfNew), 2U);
}

class LocalShortageTest : public RouterTest {
 protected:
  // No attempt of the request can leave for `duration`. Returns the number of Send actions.
  std::size_t SendDuringShortage(int request_class, int max_attempts, Seconds duration) {
    Settings settings = TestSettings();
    settings.max_attempts = max_attempts;
    now_ = 100;
    Start(settings);
    UpdateList({MakeEndpoint(1, 1, 0), MakeEndpoint(2, 1, 1)});
    Receive(1, request_class);
    EndBatch();
    std::size_t attempts = 0;
    while (now_ < 100 + duration) {
      const auto sends = SendsFor(1);
      for (; attempts < sends.size(); ++attempts)
        EndAttempt(1, static_cast<int>(attempts), sends[attempts].endpoint, Outcome::kLocalShortage, 0, 0);
      RunUntil(now_ + 0.01);
    }
    return attempts;
  }
};

// A short lack of sockets or disk space must not use up the attempts of a request.
TEST_F(LocalShortageTest, ALocalShortageIsNoAttemptAndIsRetriedWithBackoff) {
  for (const int request_class : {kIdempotentClass, kDeduplicatedClass, kNonIdempotentClass})
    for (const int max_attempts : {2, 12}) {
      const std::size_t attempts = SendDuringShortage(request_class, max_attempts, 2);
      EXPECT_TRUE(Emitted<Fail>().empty());
      EXPECT_TRUE(Emitted<Reject>().empty());
      EXPECT_GE(attempts, 3U);
      EXPECT_LE(attempts, 40U);
      RunUntil(now_ + 2);
      ASSERT_GT(SendsFor(1).size(), attempts);  // sent once the shortage is over
      EndAttempt(1, static_cast<int>(attempts), SendsFor(1)[attempts].endpoint, Outcome::kServed);
      EXPECT_TRUE(Emitted<Fail>().empty());
    }
}

TEST_F(LocalShortageTest, ALocalShortageSaysNothingOfTheEndpoint) {
  SendDuringShortage(kIdempotentClass, 12, 2);
  EndAttempt(1, static_cast<int>(SendsFor(1).size()) - 1, SendsFor(1).back().endpoint, Outcome::kServed);
  actions_.clear();
  for (RequestId id = 2; id < 6; ++id) Receive(id, kIdempotentClass);
  EndBatch();
  for (RequestId id = 2; id < 6; ++id) EXPECT_FALSE(SendsFor(id).empty());
}

}  // namespace
}  // namespace opalroute::decision
