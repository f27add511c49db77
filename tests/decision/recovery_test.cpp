// Requests recovered from an earlier process, sends before a shutdown, and sends that wait for a connection.
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

// The call that was in flight when the process ended may have run, and a second call could double its effect.
TEST_F(RecoveryTest, ANonIdempotentRequestThatMayHaveRunFailsImmediately) {
  Recover(kNonIdempotentClass, {{1, ZoneId{0}, 1, true}});
  EXPECT_TRUE(SendsFor(1).empty());
  EXPECT_TRUE(Emitted<Reject>().empty());
  EXPECT_EQ(Emitted<Fail>().size(), 1U);
}

TEST_F(RecoveryTest, ANonIdempotentRequestThatNeverRanIsSent) {
  Recover(kNonIdempotentClass, {{1, ZoneId{0}, 1, false}});
  EXPECT_EQ(SendsFor(1).size(), 1U);
}

TEST_F(RecoveryTest, ARequestWhoseDeliveryWasDoubtedIsSentOnNewConnectionsOnly) {
  RecoveredRequest doubted{{1, kIdempotentClass, {}, "", 10, 1}, {{1, ZoneId{0}, 1, true}}};
  doubted.response_was_doubted = true;
  Handle(doubted);
  EndBatch();
  EndAttempt(1, 1, SendsFor(1)[0].endpoint, Outcome::kNotSent);
  EndBatch();
  ASSERT_EQ(SendsFor(1).size(), 2U);
  EXPECT_TRUE(SendsFor(1)[0].requires_new_connection);
  EXPECT_TRUE(SendsFor(1)[1].requires_new_connection);
  Handle(RecoveredRequest{{2, kIdempotentClass, {}, "", 10, 1}, {{1, ZoneId{0}, 1, true}}});
  EndBatch();
  EXPECT_FALSE(SendsFor(2)[0].requires_new_connection);
}

// Retries are bound to the zone and the deduplication window of the first attempt that may have run.
TEST_F(RecoveryTest, ADeduplicatedRequestStaysInItsZoneAndWindow) {
  for (int i = 0; i < 20; ++i) {
    SetUp();
    Recover(kDeduplicatedClass, {{1, ZoneId{0}, 3, false}, {2, ZoneId{1}, 2, true}, {2, ZoneId{1}, 1, true}});
    ASSERT_EQ(SendsFor(1).size(), 1U);
    EXPECT_EQ(SendsFor(1)[0].endpoint, 2U);
    EXPECT_LE(SendsFor(1)[0].send_deadline, 100 - 2 + 8);  // its window is 8 s
  }
  SetUp();
  Recover(kDeduplicatedClass, {{2, ZoneId{1}, 8.5, true}}, 10);  // its window is 8 s
  EXPECT_TRUE(SendsFor(1).empty());
  EXPECT_EQ(Emitted<Fail>().size(), 1U);
}

// Guards against an effect in two zones: endpoint 1 had rejected the request, which was not confirmed yet,
// and endpoint 2 may have run it when the process was killed. Another attempt at endpoint 1 would run it
// again.
TEST_F(RecoveryTest, ADeduplicatedRequestStaysInTheZoneOfItsLatestAttemptThatMayHaveRun) {
  for (int i = 0; i < 20; ++i) {
    SetUp();
    Recover(kDeduplicatedClass, {{1, ZoneId{0}, 3, true}, {2, ZoneId{1}, 2, true}, {1, ZoneId{0}, 1, false}});
    ASSERT_EQ(SendsFor(1).size(), 1U);
    EXPECT_EQ(SendsFor(1)[0].endpoint, 2U);
    EXPECT_LE(SendsFor(1)[0].send_deadline, 100 - 2 + 8);
  }
}

// Guards against an effect in two zones: the zone of endpoint 3, which only DNS names, is unknown, so no
// other endpoint is in the same zone for certain.
TEST_F(RecoveryTest, ADeduplicatedRequestThatMayHaveRunInAnUnknownZoneStaysAtItsEndpoint) {
  for (int i = 0; i < 20; ++i) {
    SetUp();
    Recover(kDeduplicatedClass, {{3, {}, 1, true}});
    EXPECT_TRUE(SendsFor(1).empty());
    UpdateList({MakeEndpoint(1, 1, 0), MakeEndpoint(2, 1, 1), MakeEndpointOfUnknownZone(3, 1)});
    EndBatch();
    ASSERT_EQ(SendsFor(1).size(), 1U);
    EXPECT_EQ(SendsFor(1)[0].endpoint, 3U);
  }
}

TEST_F(RecoveryTest, AnAttemptInAZoneThatIsListedLaterKeepsItsUnknownZone) {
  UpdateList({MakeEndpointOfUnknownZone(3, 1)});
  Receive(1, kDeduplicatedClass);
  EndBatch();
  ASSERT_EQ(SendsFor(1).size(), 1U);
  EndAttempt(1, 0, 3, Outcome::kReset);
  UpdateList({MakeEndpoint(2, 1, 1)});
  RunUntil(now_ + 2);
  EXPECT_EQ(SendsFor(1).size(), 1U);
  UpdateList({MakeEndpoint(2, 1, 1), MakeEndpoint(3, 1, 1)});
  RunUntil(now_ + 2);
  ASSERT_GE(SendsFor(1).size(), 2U);
  for (const Send& send : SendsFor(1)) EXPECT_EQ(send.endpoint, 3U);
}

// The unknown zone may or may not be that of the latest attempt, so the order of the attempts does not show
// that the earlier one was rejected.
TEST_F(RecoveryTest, ADeduplicatedRequestThatMayHaveRunInAKnownAndAnUnknownZoneFails) {
  for (const bool unknown_first : {false, true}) {
    SetUp();
    const EarlierAttempt unknown{3, {}, unknown_first ? 3.0 : 2.0, true};
    const EarlierAttempt known{1, ZoneId{0}, unknown_first ? 2.0 : 3.0, true};
    Recover(kDeduplicatedClass, unknown_first ? std::vector<EarlierAttempt>{unknown, known}
                                              : std::vector<EarlierAttempt>{known, unknown});
    EXPECT_TRUE(SendsFor(1).empty());
    EXPECT_EQ(Emitted<Fail>().size(), 1U);
  }
}

// A rejection in zone 0 that comes into doubt after the request was sent to zone 1.
class DoubtedRejectionTest : public StartedRouterTest {
 protected:
  void SetUp() override {
    Settings settings = TestSettings();
    settings.may_hedge = false;
    settings.kinds = {{true, 1}};  // a rejection by one endpoint does not slow down the other
    Start(settings);
    UpdateList({MakeEndpoint(1, 1, 0)});
    Receive(1, kDeduplicatedClass);
    EndBatch();
    EndAttempt(1, 0, 1, Outcome::kRejected, 1);
    UpdateList({MakeEndpoint(1, 1, 0), MakeEndpoint(2, 1, 1)});
    EndBatch();
    ASSERT_EQ(SendsFor(1).size(), 2U);
    ASSERT_EQ(SendsFor(1)[1].endpoint, 2U);
  }
};

// Guards against an effect in two zones: the request may run in both zones, so there is no zone left in which
// a repeat is dropped.
TEST_F(DoubtedRejectionTest, ADeduplicatedRequestThatMayHaveRunInTwoZonesIsNotSentAgain) {
  Handle(AttemptMayHaveRun{1, 0});
  EndAttempt(1, 1, 2, Outcome::kTimeout);
  RunUntil(now_ + 10);
  EXPECT_EQ(SendsFor(1).size(), 2U);
  EXPECT_TRUE(Emitted<Reject>().empty());
  EXPECT_EQ(Emitted<Fail>().size(), 1U);
}

TEST_F(DoubtedRejectionTest, ADeduplicatedRequestReturnsToTheDoubtedZoneIfItNeverRanInTheOther) {
  Handle(AttemptMayHaveRun{1, 0});
  EndAttempt(1, 1, 2, Outcome::kConnectFailed);
  RunUntil(now_ + 4);
  ASSERT_GE(SendsFor(1).size(), 3U);
  EXPECT_EQ(SendsFor(1)[2].endpoint, 1U);
}

// Guards against an effect in two zones: the attempt was still waiting for its connection to zone 1 when the
// doubt arose.
TEST_F(DoubtedRejectionTest, AnAttemptInAnotherZoneThatWaitsForItsConnectionMayNoLongerBeSent) {
  EXPECT_TRUE(router_->MaySendAttempt(now_, 1, 1));
  Handle(AttemptMayHaveRun{1, 0});
  EXPECT_FALSE(router_->MaySendAttempt(now_, 1, 1));
  EXPECT_FALSE(router_->MaySendAttempt(now_, 1, 2));
  EXPECT_FALSE(router_->MaySendAttempt(now_, 2, 0));
}

// A request waits for longer than its deduplication window (8 s) after a rejection that then comes into
// doubt: no further attempt is allowed, and the request ends.
class DoubtAfterTheWindowTest : public StartedRouterTest {
 protected:
  void RejectAndWait(RequestId id) {
    UpdateList({MakeEndpoint(1, 1)});
    Receive(id, kDeduplicatedClass);
    EndBatch();
    EndAttempt(id, 0, 1, Outcome::kRejected);
    UpdateList({});
    RunUntil(now_ + 9);
  }
};

// Guards against a crash: the request was removed from its queue twice.
TEST_F(DoubtAfterTheWindowTest, AWaitingRequestEndsOnce) {
  RejectAndWait(1);
  Handle(AttemptMayHaveRun{1, 0});
  EndBatch();
  EXPECT_EQ(Emitted<Fail>().size(), 1U);
  Handle(AttemptMayHaveRun{1, 0});
  RunUntil(now_ + 12);
  EXPECT_EQ(Emitted<Fail>().size(), 1U);
}

// Guards against a stuck queue: the second removal counted another waiting request as removed.
TEST_F(DoubtAfterTheWindowTest, TheOtherRequestsOfTheQueueAreStillSent) {
  RejectAndWait(1);
  Receive(2, kDeduplicatedClass);
  EndBatch();
  Handle(AttemptMayHaveRun{1, 0});
  EndBatch();
  UpdateList({MakeEndpoint(1, 1)});
  RunUntil(now_ + 3);
  EXPECT_EQ(SendsFor(2).size(), 1U);
}

TEST_F(RecoveryTest, EarlierAttemptsCountAgainstTheMaximum) {
  Recover(kIdempotentClass, std::vector<EarlierAttempt>(6, {1, ZoneId{0}, 1, true}));
  EXPECT_TRUE(SendsFor(1).empty());
  EXPECT_EQ(Emitted<Reject>().size(), 1U);
}

TEST_F(RecoveryTest, AnExpiredRequestIsRejected) {
  Recover(kIdempotentClass, {}, 0);
  EXPECT_TRUE(SendsFor(1).empty());
  EXPECT_EQ(Emitted<Reject>().size(), 1U);
}

// A call that is not over when the process ends would be cut off.
TEST_F(RecoveryTest, BeforeAShutdownOnlyCallsThatCanFinishAreSent) {
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

// A Retry-After or a drain that arrives while a call waits for its connection applies to that call.
TEST_F(RecoveryTest, RetryAfterOrADrainStopsAWaitingSend) {
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

// While the last endpoint of a destination drains, clients must not be advised to retry immediately.
TEST_F(RecoveryTest, RetryAfterIgnoresDrainingEndpoints) {
  Settings settings = TestSettings();
  settings.listed_rate_accuracy = ListedRateAccuracy::kExact;
  Start(settings);
  UpdateList({MakeEndpoint(1, 1, 0, 0, EndpointStatus::kDraining, 20)});
  Receive(1, kIdempotentClass, 1, "", 0.01);
  RunUntil(now_ + 0.1);
  ASSERT_EQ(Emitted<Reject>().size(), 1U);
  EXPECT_DOUBLE_EQ(Emitted<Reject>()[0].retry_after, settings.max_retry_after);
}

// A relay that has recovered nearly as many requests as it may hold, none of them attempted yet. Each
// destination has one endpoint, and one call may be in flight at a time.
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
  // Receives the requests one by one, each in a batch of its own.
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

TEST_F(RecoveryUnderLoadTest, UnattemptedRequestsAreNotShedForNewOnes) {
  RecoverMany(97);
  EXPECT_EQ(GivenUp(1, kFirstNew), 0U);
  ReceiveMany(60);
  EXPECT_EQ(GivenUp(1, kFirstNew), 0U);
  EXPECT_EQ(GivenUp(kFirstNew, kEndOfNew), 60U);
}

TEST_F(RecoveryUnderLoadTest, MoreUnattemptedRequestsThanCapacityAreAllHeld) {
  RecoverMany(2 * kCapacity);
  EXPECT_EQ(GivenUp(1, kFirstNew), 0U);
}

// After its first attempt, a recovered request may be shed like any other.
TEST_F(RecoveryUnderLoadTest, AttemptedRequestsAreShed) {
  for (RequestId id = 1; id <= 97; ++id) Recover(id, {{99, ZoneId{0}, 1, false}});
  EndBatch();
  EXPECT_EQ(GivenUp(1, kFirstNew), 2U);
}

TEST_F(RecoveryUnderLoadTest, AShedRequestOfAnotherQueueMakesRoom) {
  RecoverMany(90);  // these queues are the longest, but may not be shed
  Receive(kFirstNew, kNonIdempotentClass, kDestinationCount + 1);
  for (RequestId id = kFirstNew + 1; id <= kFirstNew + 6; ++id)
    Receive(id, kNonIdempotentClass, kDestinationCount + 2);
  EndBatch();
  EXPECT_EQ(GivenUp(1, kFirstNew + 1), 0U);
  EXPECT_EQ(GivenUp(kFirstNew + 1, kEndOfNew), 2U);
}

class LocalShortageTest : public RouterTest {
 protected:
  // All attempts of the request end with a local shortage for `duration`. Returns the number of attempts.
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

// A short lack of sockets or disk space must not use up a request's attempts.
TEST_F(LocalShortageTest, ALocalShortageDoesNotCountAsAnAttemptAndIsRetriedWithBackoff) {
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

TEST_F(LocalShortageTest, ALocalShortageDoesNotCountAgainstTheEndpoint) {
  SendDuringShortage(kIdempotentClass, 12, 2);
  EndAttempt(1, static_cast<int>(SendsFor(1).size()) - 1, SendsFor(1).back().endpoint, Outcome::kServed);
  actions_.clear();
  for (RequestId id = 2; id < 6; ++id) Receive(id, kIdempotentClass);
  EndBatch();
  for (RequestId id = 2; id < 6; ++id) EXPECT_FALSE(SendsFor(id).empty());
}

}  // namespace
}  // namespace opalroute::decision
