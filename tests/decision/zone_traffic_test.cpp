// Zones that get a part of the traffic, or none.
#include <algorithm>

#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class ZoneTrafficTest : public StartedRouterTest {};

TEST_F(ZoneTrafficTest, AZoneThatAllHaveLeftGetsNoCallWhereThereIsAnother) {
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

TEST_F(ZoneTrafficTest, AShareOfAZonesCallsIsDrawn) {
  List({Entry(1, 1, 0), Entry(2, 1, 1)});
  Play(ZoneTrafficShare{1, 0.25, false});
  ServeSafely(1, 400);
  int there = 0;
  for (const Send& send : All<Send>()) there += send.endpoint == 2;
  EXPECT_GT(there, 20);  // one in eight: half of a quarter
  EXPECT_LT(there, 90);
}

// While another zone is in question, the one that has been left is not a way out.
TEST_F(ZoneTrafficTest, AZoneThatIsOutGetsNoCallWhileAnotherIsBeingLeft) {
  List({Entry(1, 1, 0, 1), Entry(2, 1, 1, 1)});
  Play(ZoneTrafficShare{1, 0, false});
  Play(ZoneTrafficShare{0, 0.5, false});
  ServeSafely(1, 100);
  EXPECT_EQ(All<Send>().size(), 100U);
  for (const Send& send : All<Send>()) EXPECT_EQ(send.endpoint, 1U);
}

TEST_F(ZoneTrafficTest, AScoutTriesALeftZoneNowAndThenAndNoOtherDoes) {
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
TEST_F(ZoneTrafficTest, AZoneThatAllReturnToStartsSlowly) {
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
TEST_F(ZoneTrafficTest, AZoneThatIsLeftKeepsNoConnections) {
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
