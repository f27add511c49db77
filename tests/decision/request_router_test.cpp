// What the decision module does, seen through its interface. Each test has one reason to fail.
#include <algorithm>
#include <map>
#include <set>

#include "decision/route_gossip.h"
#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class RulesTest : public CourierTest {
 protected:
  void SetUp() override { Start(TestSettings()); }

  void ServeSafely(RequestId from, int count, DestinationId destination = 1) {
    for (RequestId id = from; id < from + static_cast<RequestId>(count); ++id) {
      Take(id, kUnsafeClass, destination);
      EndTurn();
      const auto sends = SendsOf(id);
      ASSERT_EQ(sends.size(), 1U);
      now_ += 0.1;
      Tell(id, 0, sends[0].endpoint, Outcome::kServed);
      EndTurn();
    }
  }
};

// ---- the mechanism -----------------------------------------------------------------------------

TEST_F(RulesTest, FirstSendsSpreadOverEveryReadyEndpoint) {
  List({Entry(1, 1), Entry(2, 1), Entry(3, 1)});
  ServeSafely(1, 300);
  std::map<EndpointId, int> sent;
  for (const Send& send : All<Send>()) ++sent[send.endpoint];
  ASSERT_EQ(sent.size(), 3U);
  for (const auto& [endpoint, count] : sent) EXPECT_NEAR(count, 100, 40) << endpoint;
}

TEST_F(RulesTest, CopiesStayWithinATenthOfFirstSends) {
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

TEST_F(RulesTest, SlowerCopyIsCancelled) {
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

TEST_F(RulesTest, FailedAttemptAwaitsItsCopy) {
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

TEST_F(RulesTest, NoCopyAfterARefusalUntilAServedAnswer) {
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

TEST_F(RulesTest, KeyedCopyStaysInsideItsZone) {
  List({Entry(1, 1, 0), Entry(2, 1, 1)});
  ServeSafely(1, 30);
  for (RequestId id = 50; id < 60; ++id) {
    Take(id, kKeyedClass);
    EndTurn();
    ASSERT_EQ(SendsOf(id).size(), 1U);
    Tell(id, 0, SendsOf(id)[0].endpoint, Outcome::kServed);
  }
}

TEST_F(RulesTest, OneReadyEndpointGetsNoCopy) {
  List({Entry(1, 1)});
  ServeSafely(1, 20);
  Take(50, kSafeClass);
  EndTurn();
  EXPECT_EQ(SendsOf(50).size(), 1U);
}

TEST_F(RulesTest, OneDrawServesABundle) {
  Settings s = TestSettings();
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1, 0, 2), Entry(2, 1, 0, 2)});
  for (RequestId id = 1; id <= 5; ++id) Take(id, kSafeClass);
  EndTurn();
  std::set<EndpointId> used;
  for (const Send& send : All<Send>()) used.insert(send.endpoint);
  EXPECT_EQ(All<Send>().size(), 5U);
  EXPECT_EQ(used.size(), 1U);
}

TEST_F(RulesTest, SameEventsGiveSameActions) {
  const auto play = [this] {
    Start(TestSettings());
    now_ = 100;
    List({Entry(1, 1), Entry(2, 1), Entry(3, 1)});
    ServeSafely(1, 50);
    std::vector<EndpointId> drawn;
    for (const Send& send : All<Send>()) drawn.push_back(send.endpoint);
    return drawn;
  };
  const auto first = play();
  EXPECT_EQ(first, play());
}

// ---- rule 1: one final answer --------------------------------------------------------------------

TEST_F(RulesTest, AMessageWithNowhereToGoIsRefusedBeforeItsTimeIsUp) {
  List({});
  Take(1, kSafeClass, 1, "", 5);
  EndTurn();
  RunTo(104.9);
  EXPECT_EQ(All<Reject>().size(), 0U);
  RunTo(106);
  EXPECT_EQ(All<Reject>().size(), 1U);
}

TEST_F(RulesTest, AListThatComesLateStillServesAHeldMessage) {
  List({});
  Take(1, kSafeClass);
  EndTurn();
  List({Entry(1, 1)}, ListScope::kChanges);
  EndTurn();
  EXPECT_EQ(SendsOf(1).size(), 1U);
}

TEST_F(RulesTest, AnAttemptStillOutIsAnsweredAtTheDeadline) {
  List({Entry(1, 1)});
  Take(1, kUnsafeClass, 1, "", 4);
  EndTurn();
  RunTo(103.9);
  EXPECT_EQ(All<Fail>().size(), 0U);
  RunTo(104.02);
  EXPECT_EQ(All<Fail>().size(), 1U);
}

// ---- rule 2: no effect twice -----------------------------------------------------------------------

TEST_F(RulesTest, AnUnsafeMessageThatMayHaveRunFailsAtOnceAndIsNotSentAgain) {
  List({Entry(1, 1), Entry(2, 1)});
  Take(1, kUnsafeClass);
  EndTurn();
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kError);
  RunTo(now_ + 1);
  EXPECT_EQ(SendsOf(1).size(), 1U);
  EXPECT_EQ(All<Fail>().size(), 1U);
  EXPECT_EQ(All<Reject>().size(), 0U);
}

TEST_F(RulesTest, AnUnsafeMessageThatProvablyDidNotRunIsSentAgain) {
  List({Entry(1, 1), Entry(2, 1)});
  Take(1, kUnsafeClass);
  EndTurn();
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kConnectFailed);
  RunTo(now_ + 2);
  EXPECT_EQ(SendsOf(1).size(), 2U);
}

TEST_F(RulesTest, AKeyedRepeatGoesToTheSameZoneOnly) {
  List({Entry(1, 1, 0), Entry(2, 1, 1), Entry(3, 1, 1)});
  for (RequestId id = 1; id <= 20; ++id) {
    Take(id, kKeyedClass);
    EndTurn();
    const EndpointId first = SendsOf(id)[0].endpoint;
    Tell(id, 0, first, Outcome::kError);
    RunTo(now_ + 1);  // an unmet endpoint that fails is tried again after a first pause
    const auto sends = SendsOf(id);
    ASSERT_EQ(sends.size(), 2U);
    EXPECT_EQ(first == 1, sends[1].endpoint == 1);
    Tell(id, 1, sends[1].endpoint, Outcome::kServed);
    Take(id + 100, kUnsafeClass);  // keeps the other endpoints in good standing
    EndTurn();
    Tell(id + 100, 0, SendsOf(id + 100)[0].endpoint, Outcome::kServed);
  }
}

TEST_F(RulesTest, AKeyedMessageIsGivenUpWhenItsWindowHasPassed) {
  List({Entry(1, 1, 0), Entry(2, 1, 1)});
  Take(1, kKeyedClass);
  EndTurn();
  const EndpointId first = SendsOf(1)[0].endpoint;
  List({Entry(first, 1, 0, 0, EndpointStatus::kDraining)}, ListScope::kChanges);
  Tell(1, 0, first, Outcome::kReset);
  RunTo(107.1);  // a tenth of the window is kept for its way, as no usual time is known
  EXPECT_EQ(All<Fail>().size(), 0U);
  RunTo(107.3);
  EXPECT_EQ(All<Fail>().size(), 1U);
}

// ---- rule 3: drains ----------------------------------------------------------------------------------

TEST_F(RulesTest, NothingGoesToADrainingEndpoint) {
  List({Entry(1, 1), Entry(2, 1)});
  List({Entry(1, 1, 0, 0, EndpointStatus::kDraining)}, ListScope::kChanges);
  ServeSafely(1, 30);
  for (const Send& send : All<Send>()) EXPECT_EQ(send.endpoint, 2U);
}

TEST_F(RulesTest, AnEndpointMissingFromAWholeListIsGone) {
  List({Entry(1, 1), Entry(2, 1)});
  List({Entry(2, 1)});
  ServeSafely(1, 30);
  for (const Send& send : All<Send>()) EXPECT_EQ(send.endpoint, 2U);
}

// ---- rule 4: returns ---------------------------------------------------------------------------------

TEST_F(RulesTest, AReturnFromAnOutageFindsNoBurst) {
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

// ---- rule 5: waits -----------------------------------------------------------------------------------

TEST_F(RulesTest, AToldWaitHoldsTheWholeDestination) {
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

TEST_F(RulesTest, AToldWaitHoldsOnlyItsRouteWhereRoutesAreApart) {
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
TEST_F(RulesTest, TheLongestWaitOfABundleCounts) {
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

// ---- rule 6: order by key ----------------------------------------------------------------------------

TEST_F(RulesTest, MessagesOfOneKeyGoOneAtATimeInTheOrderTaken) {
  Settings s = TestSettings();
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1), Entry(2, 1)});
  Take(1, kOrderedClass, 1, "k");
  Take(2, kOrderedClass, 1, "k");
  Take(3, kOrderedClass, 1, "other");
  EndTurn();
  EXPECT_EQ(SendsOf(1).size(), 1U);
  EXPECT_EQ(SendsOf(2).size(), 0U);
  EXPECT_EQ(SendsOf(3).size(), 1U);
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kServed);
  EndTurn();
  EXPECT_EQ(SendsOf(2).size(), 1U);
}

TEST_F(RulesTest, AKeyRestsAfterAnAttemptThatMayStillRun) {
  Settings s = TestSettings();
  s.may_hedge = false;
  s.max_attempts = 1;
  Start(s);
  List({Entry(1, 1), Entry(2, 1)});
  ServeSafely(11, 30);  // in good standing: only the key holds the next one back
  const Seconds start = now_;
  Take(1, kOrderedClass, 1, "k");
  Take(2, kOrderedClass, 1, "k");
  EndTurn();
  Tell(1, 0, SendsOf(1)[0].endpoint, Outcome::kTimeout);
  EndTurn();
  RunTo(start + 1.49);
  EXPECT_EQ(SendsOf(2).size(), 0U);
  RunTo(start + 1.6);
  EXPECT_EQ(SendsOf(2).size(), 1U);
}

// ---- worth, bulkheads, pace --------------------------------------------------------------------------

TEST_F(RulesTest, TheWorthierMessageGoesFirstWhenASlotIsFree) {
  Settings s = TestSettings();
  s.concurrency_limit = 1;
  Start(s);
  List({Entry(1, 1)});
  Take(1, kUnsafeClass);
  EndTurn();
  Take(2, kSafeClass);
  Take(3, kUnsafeClass);
  EndTurn();
  Tell(1, 0, 1, Outcome::kServed);
  EndTurn();
  EXPECT_EQ(SendsOf(3).size(), 1U);
  EXPECT_EQ(SendsOf(2).size(), 0U);
}

TEST_F(RulesTest, FreeSlotsGoToTheDestinationWithFewestCallsOut) {
  Settings s = TestSettings();
  s.concurrency_limit = 3;
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1), Entry(2, 2)});
  for (RequestId id = 1; id <= 4; ++id) Take(id, kUnsafeClass, 1);
  EndTurn();
  Take(9, kUnsafeClass, 2);
  Tell(1, 0, 1, Outcome::kServed);
  EndTurn();
  EXPECT_EQ(SendsOf(9).size(), 1U);
}

// Hung calls of unsafe messages have no time-out: they must not keep every slot until their deadline.
TEST_F(RulesTest, ACallStuckWhereAllIsOutLosesItsSlotToOthers) {
  Settings s = TestSettings();
  s.concurrency_limit = 3;
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1), Entry(2, 2)});
  ServeSafely(1, 5, 1);
  ServeSafely(11, 5, 2);
  for (RequestId id = 21; id <= 23; ++id) Take(id, kUnsafeClass, 1);
  EndTurn();
  now_ += 3;
  Take(30, kUnsafeClass, 1);
  Take(31, kUnsafeClass, 2);
  EndTurn();  // no slot is free: nothing is known of the stall yet, or a call is called off at once
  EndTurn();
  ASSERT_GE(All<CancelAttempt>().size(), 1U);
  const CancelAttempt cancel = All<CancelAttempt>().front();
  Tell(cancel.request_id, cancel.attempt, 1, Outcome::kCancelled);
  EndTurn();
  EXPECT_EQ(SendsOf(31).size(), 1U);
}

// A few calls lost everywhere leave every circuit closed; their slots must come back all the same.
TEST_F(RulesTest, ALostCallLosesItsSlotThoughOthersAreServedThere) {
  Settings s = TestSettings();
  s.concurrency_limit = 2;
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1), Entry(2, 2)});
  ServeSafely(1, 5, 1);
  Take(20, kUnsafeClass, 1);  // this one is lost
  EndTurn();
  ServeSafely(21, 12, 1);
  Take(40, kUnsafeClass, 2);
  EndTurn();
  Take(41, kUnsafeClass, 2);
  EndTurn();
  ASSERT_EQ(All<CancelAttempt>().size(), 1U);
  EXPECT_EQ(All<CancelAttempt>()[0].request_id, 20U);
}

// With many couriers a budget's interval is tens of seconds: a false alarm must not last that long.
TEST_F(RulesTest, AFalseAlarmOfAnOutageEndsSoon) {
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

// Endpoints in trouble share a part of the slots; none of them may be kept from ever trying again.
TEST_F(RulesTest, AnEndpointInTroubleIsStillTriedWhileOthersAreStuck) {
  Settings s = TestSettings();
  s.classes[kUnsafeClass].latency_objective = 0.05;  // every answer is late: all endpoints are slow
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1), Entry(2, 2)});
  ServeSafely(1, 3, 1);
  ServeSafely(11, 3, 2);
  for (RequestId id = 21; id <= 26; ++id) Take(id, kUnsafeClass, 1);
  EndTurn();
  Take(30, kUnsafeClass, 2);
  EndTurn();
  EXPECT_EQ(SendsOf(30).size(), 1U);
}

// Idle connections of others fill an endpoint's table: ours go with their last call, there and nowhere else.
TEST_F(RulesTest, WhereConnectionsAreShortOneGoesWithItsLastCall) {
  List({Entry(1, 1), Entry(2, 2)});
  ServeSafely(1, 5, 1);
  Take(20, kUnsafeClass, 1);
  EndTurn();
  Tell(20, 0, 1, Outcome::kOutOfConnections, 0, 0.01);
  RunTo(now_ + 0.2);
  ASSERT_EQ(SendsOf(20).size(), 2U);  // it never ran: it goes again, at once but for a short backoff
  Tell(20, 1, 1, Outcome::kServed);
  EndTurn();
  const std::size_t closed = All<CloseIdleConnections>().size();
  EXPECT_GE(closed, 1U);
  ServeSafely(30, 1, 2);
  EXPECT_EQ(All<CloseIdleConnections>().size(), closed);
}

// Short of connections is neither out nor over its limit: what follows is neither paused nor on trial.
TEST_F(RulesTest, ShortOfConnectionsCastsNoDoubtAndCutsNoPace) {
  Settings s = TestSettings();
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.relay_count = 100;
  s.may_gossip = true;
  Start(s);
  List({Entry(1, 1, 0, 0, EndpointStatus::kInService, 400)});
  ServeSafely(1, 1, 1);
  Take(20, kUnsafeClass, 1);
  RunTo(now_ + 1);
  for (int attempt = 0; attempt < 4; ++attempt) {
    ASSERT_EQ(SendsOf(20).size(), static_cast<std::size_t>(attempt) + 1);
    Tell(20, attempt, 1, Outcome::kOutOfConnections, 0, 0.01);
    RunTo(now_ + 0.5);
  }
  for (const SendGossip& tell : All<SendGossip>())
    EXPECT_EQ(DecodeRouteGossip(tell.payload)->kind, RouteGossip::Kind::kOutOfConnections);
}

// What is down refuses connects: after its return connections are kept.
TEST_F(RulesTest, AnEndpointThatWasDownKeepsItsConnections) {
  List({Entry(1, 1)});
  ServeSafely(1, 5, 1);
  Take(20, kUnsafeClass, 1);
  EndTurn();
  Tell(20, 0, 1, Outcome::kConnectFailed, 0, 0.01);
  RunTo(now_ + 1);
  Tell(20, 1, 1, Outcome::kServed);
  EndTurn();
  EXPECT_EQ(All<CloseIdleConnections>().size(), 0U);
}

TEST_F(RulesTest, TheLongestLineMakesRoom) {
  Settings s = TestSettings();
  s.request_capacity = 20;
  Start(s);
  List({Entry(1, 2)});
  for (RequestId id = 1; id <= 25; ++id) Take(id, kSafeClass, 1);
  Take(40, kSafeClass, 2);
  EndTurn();
  EXPECT_GE(All<Reject>().size(), 6U);
  for (const Reject& refuse : All<Reject>()) EXPECT_NE(refuse.request_id, 40U);
}

TEST_F(RulesTest, PaceFallsAfterRefusals) {
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
TEST_F(RulesTest, ACourierAmongHundredsSendsItsFirstMessagesAtOnce) {
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
TEST_F(RulesTest, ALaneThatGoesOnRefusingIsTriedEverMoreSeldom) {
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

// Hundreds of couriers that each find out at each endpoint send a crashed destination many times its traffic.
TEST_F(RulesTest, AQuietCourierTriesADestinationThatIsOutSeldom) {
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

TEST_F(RulesTest, AServedTrialClearsWhatWasOnlySuspected) {
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
TEST_F(RulesTest, AFailedBundleIsOneFailure) {
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

TEST_F(RulesTest, ATenantAboveItsShareGivesWay) {
  Settings s = TestSettings();
  s.tenants = {{1}, {1}};
  s.concurrency_limit = 1;
  Start(s);
  List({Entry(1, 1)});
  for (RequestId id = 1; id <= 20; ++id) Play(NewRequest{id, kSafeClass, 0, "", 20, 1});
  EndTurn();
  Play(NewRequest{30, kSafeClass, 1, "", 20, 1});
  now_ += 0.1;
  for (RequestId id = 1; id <= 20; ++id) {
    if (SendsOf(id).empty()) continue;
    Tell(id, 0, 1, Outcome::kServed);
  }
  EndTurn();
  for (int i = 0; i < 5; ++i) {
    const Send last = All<Send>().back();
    Tell(last.request_id, 0, 1, Outcome::kServed);
    EndTurn();
  }
  EXPECT_EQ(SendsOf(30).size(), 1U);
}

// ---- the list ------------------------------------------------------------------------------------------

TEST_F(RulesTest, AsksForChangesAtTheStartAndAgainAfterARefusal) {
  Settings s = TestSettings();
  s.poll_endpoint_list = true;
  Start(s);
  List({Entry(1, 1)}, ListScope::kCached);
  EndTurn();
  EXPECT_EQ(All<WatchEndpointList>().size(), 1U);
  List({}, ListScope::kWatchFailed);
  EndTurn();
  EXPECT_EQ(All<WatchEndpointList>().size(), 1U);
  RunTo(now_ + 2);
  EXPECT_EQ(All<WatchEndpointList>().size(), 2U);
}

// A ban by hand, or what DNS says, is news of endpoints and none of the list's age.
TEST_F(RulesTest, NewsOfAnotherSourceDoesNotStandForTheList) {
  Settings s = TestSettings();
  s.poll_endpoint_list = true;
  s.list_heartbeat = 2;
  Start(s);
  List({Entry(1, 1)}, ListScope::kCached);
  EndTurn();
  for (int i = 0; i < 10; ++i) {
    RunTo(now_ + 0.5);
    Play(ListUpdate{ListScope::kChanges, {}, false});
  }
  EXPECT_GE(All<WatchEndpointList>().size(), 4U);
  EXPECT_EQ(All<Log>().size(), 0U);
  RunTo(now_ + 2);
  ASSERT_EQ(All<Log>().size(), 1U);
  EXPECT_EQ(All<Log>()[0].text, "endpoint list not confirmed in time, the one held serves on");
  Play(ListConfirmed{});
  EndTurn();
  EXPECT_EQ(All<Log>().size(), 2U);
}

// Guards against a lack of connections here, or a drain told meanwhile, that counts as an endpoint's failure.
TEST_F(RulesTest, AProbeThatWasNotSentSaysNothingOfItsEndpoint) {
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

TEST_F(RulesTest, UnknownOutcomesAndEndsArePassedOver) {
  List({Entry(1, 1)});
  Tell(77, 0, 1, Outcome::kServed);
  Play(RequestAborted{77});
  Play(TimerFired{99});
  EndTurn();
  EXPECT_EQ(All<Send>().size(), 0U);
}

// Guards against a rush at the end of a told wait: calls that were out when a partner shut still come back
// served, and say nothing of its return.
TEST_F(CourierTest, ACallServedAfterALongWaitWasToldIsNoReturn) {
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

// Rule 2 binds a repeat's first byte; the call may wait for its connection until then.
TEST_F(RulesTest, ARepeatSaysWhenItsFirstByteMustHaveLeft) {
  List({Entry(1, 1)});
  for (const int message_class : {kSafeClass, kKeyedClass}) {
    const RequestId id = 100 + static_cast<RequestId>(message_class);
    Take(id, message_class);
    EndTurn();
    ASSERT_EQ(SendsOf(id).size(), 1U);
    const Seconds first = now_;
    now_ += 0.1;
    Tell(id, 0, 1, Outcome::kReset);
    RunTo(now_ + 1);
    ASSERT_EQ(SendsOf(id).size(), 2U);
    const Seconds leave_by = SendsOf(id)[1].send_deadline;
    EXPECT_EQ(leave_by > 1e9, message_class == kSafeClass);
    // Of the window of 8 s a tenth is kept for the repeat's way, once a call has been served its time.
    const Seconds kept = 0.1;
    EXPECT_TRUE(leave_by > 1e9 || std::abs(leave_by - first - 8 + kept) < 0.011) << leave_by;
    Tell(id, 1, 1, Outcome::kServed);
  }
}

// A new process knows no usual time, and a repeat that it sends may be longer on its way than the first one.
TEST_F(RulesTest, ARepeatKeepsATenthOfItsWindowWhereNoTimeIsKnown) {
  List({Entry(1, 1)});
  Take(1, kKeyedClass);
  EndTurn();
  ASSERT_EQ(SendsOf(1).size(), 1U);
  const Seconds first = now_;
  now_ += 0.1;
  Tell(1, 0, 1, Outcome::kReset);
  RunTo(now_ + 1);
  ASSERT_EQ(SendsOf(1).size(), 2U);
  EXPECT_NEAR(SendsOf(1)[1].send_deadline, first + 8 - 0.8, 0.011);
}

// ---- the tier and its zones --------------------------------------------------------------------

// What is shared by three is shared by one once the others have gone: the even part, and with it the pace
// that is regained after a refusal, grows.
TEST_F(RulesTest, PartsOfLimitsFollowTheTiersSize) {
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

TEST_F(RulesTest, AZoneThatAllHaveLeftGetsNoCallWhereThereIsAnother) {
  List({Entry(1, 1, 0, 1), Entry(2, 1, 1, 1), Entry(3, 2, 1, 1)});
  Play(ZoneTrafficShare{1, 0, false});
  ServeSafely(1, 40);
  for (const Send& send : All<Send>()) EXPECT_EQ(send.endpoint, 1U);
  // Never the last zone of a destination, and not while the other one does not serve either.
  Take(50, kUnsafeClass, 2);
  EndTurn();
  ASSERT_EQ(SendsOf(50).size(), 1U);
  EXPECT_EQ(SendsOf(50)[0].endpoint, 3U);
  RouteState out;
  out.destination = out.endpoint = 1;
  out.failure_age = 0;
  now_ += 1;
  Play(TransferredState{{out}});
  Take(70, kUnsafeClass);
  RunTo(now_ + 1);
  ASSERT_FALSE(SendsOf(70).empty());
  EXPECT_EQ(SendsOf(70)[0].endpoint, 2U);
}

TEST_F(RulesTest, AShareOfAZonesCallsIsDrawn) {
  List({Entry(1, 1, 0), Entry(2, 1, 1)});
  Play(ZoneTrafficShare{1, 0.25, false});
  ServeSafely(1, 400);
  int there = 0;
  for (const Send& send : All<Send>()) there += send.endpoint == 2;
  EXPECT_GT(there, 20);  // one in eight: half of a quarter
  EXPECT_LT(there, 90);
}

// While another zone is in question, the one that has been left is not a way out.
TEST_F(RulesTest, AZoneThatIsOutGetsNoCallWhileAnotherIsBeingLeft) {
  List({Entry(1, 1, 0, 1), Entry(2, 1, 1, 1)});
  Play(ZoneTrafficShare{1, 0, false});
  Play(ZoneTrafficShare{0, 0.5, false});
  ServeSafely(1, 100);
  EXPECT_EQ(All<Send>().size(), 100U);
  for (const Send& send : All<Send>()) EXPECT_EQ(send.endpoint, 1U);
}

TEST_F(RulesTest, AScoutTriesALeftZoneNowAndThenAndNoOtherDoes) {
  for (const bool scout : {false, true}) {
    Settings s = TestSettings();
    s.relay_count = 30;
    s.may_hedge = false;
    Start(s);
    List({Entry(1, 1, 0, 1, EndpointStatus::kInService, 100),
          Entry(2, 1, 1, 1, EndpointStatus::kInService, 100)});
    Play(ZoneTrafficShare{1, 0, scout});
    RequestId id = 1;
    for (const Seconds end = now_ + 20; now_ < end;) {
      Take(id, kUnsafeClass);
      RunTo(now_ + 0.1);
      const auto sends = SendsOf(id);
      if (!sends.empty())
        Tell(id, 0, sends[0].endpoint, sends[0].endpoint == 2 ? Outcome::kConnectFailed : Outcome::kServed);
      ++id;
    }
    int there = 0;
    for (const Send& send : All<Send>()) there += send.endpoint == 2;
    EXPECT_EQ(there > 0, scout);
    EXPECT_LT(there, 40);
  }
}

// All of them come back at one moment, to endpoints that nobody has called meanwhile.
TEST_F(RulesTest, AZoneThatAllReturnToStartsSlowly) {
  Settings s = TestSettings();
  s.relay_count = 10;
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.concurrency_limit = 100;
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1, 1, 1, EndpointStatus::kInService, 20)});
  Play(ZoneTrafficShare{1, 0, false});
  Play(ZoneTrafficShare{1, 0.2, false});
  for (RequestId id = 1; id <= 100; ++id) Take(id, kSafeClass);
  RunTo(now_ + 3);
  // Two thirds of twice a fifth of 20 a second for 3 s, a tenth of it: 1.6, and one that was saved.
  EXPECT_LE(All<Send>().size(), 4U);
  EXPECT_GE(All<Send>().size(), 1U);
}

// Where new connections are refused, those that are kept are served on: a scout that used them would call a
// zone back that takes nobody else.
TEST_F(RulesTest, AZoneThatIsLeftKeepsNoConnections) {
  Settings s = TestSettings();
  s.may_hedge = false;
  Start(s);
  List({Entry(1, 1, 0, 1), Entry(2, 1, 1, 1)});
  Take(1, kUnsafeClass);
  Take(2, kUnsafeClass);
  Take(3, kUnsafeClass);
  EndTurn();
  Play(ZoneTrafficShare{1, 0, true});
  EndTurn();
  const auto closed = [this](EndpointId id) {
    const auto all = All<CloseIdleConnections>();
    return std::count_if(all.begin(), all.end(),
                         [id](const CloseIdleConnections& c) { return c.endpoint == id; });
  };
  long calls = 0;
  for (const Send& send : All<Send>()) {
    if (send.endpoint != 2) continue;
    ++calls;
    EXPECT_EQ(closed(2), 0);  // what is out is not cut
    Tell(send.request_id, 0, 2, Outcome::kServed);
    EndTurn();
  }
  const long before = closed(2);
  EXPECT_GE(before, 1);
  for (RequestId id = 10; id < 60; ++id) {  // its trials open a new one each
    Take(id, kUnsafeClass);
    RunTo(now_ + 0.2);
    for (const Send& send : SendsOf(id)) Tell(id, 0, send.endpoint, Outcome::kServed);
    EndTurn();
  }
  long trials = -calls;
  for (const Send& send : All<Send>()) trials += send.endpoint == 2;
  EXPECT_GT(trials, 0);
  EXPECT_GE(closed(2) - before, trials);
  EXPECT_EQ(closed(1), 0);
}

}  // namespace
}  // namespace opalroute
