// Zones that get only a share of the traffic, or none.
#include <algorithm>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class ZoneTrafficTest : public StartedRouterTest {};

TEST_F(ZoneTrafficTest, AnEvacuatedZoneGetsNoCallsIfAnotherZoneServes) {
  UpdateList({MakeEndpoint(1, 1, 0, 1), MakeEndpoint(2, 1, 1, 1), MakeEndpoint(3, 2, 1, 1)});
  Handle(ZoneTrafficShare{ZoneId{1}, 0, false});
  ServeRequests(1, 40);
  for (const Send& send : Emitted<Send>()) EXPECT_EQ(send.endpoint, 1U);
  // The last zone of a destination stays in use, and a zone is used again while the other one fails.
  Receive(50, kNonIdempotentClass, 2);
  EndBatch();
  ASSERT_EQ(SendsFor(50).size(), 1U);
  EXPECT_EQ(SendsFor(50)[0].endpoint, 3U);
  RouteState failing;
  failing.destination = failing.endpoint = 1;
  failing.failure_age = 0;
  now_ += 1;
  Handle(TransferredState{{failing}});
  Receive(70, kNonIdempotentClass);
  RunUntil(now_ + 1);
  ASSERT_FALSE(SendsFor(70).empty());
  EXPECT_EQ(SendsFor(70)[0].endpoint, 2U);
}

// An endpoint of unknown zone may be in the evacuated one: it gets calls, but is no reason to call no other.
TEST_F(ZoneTrafficTest, AnEvacuatedZoneStaysInUseBesideAnEndpointOfUnknownZone) {
  UpdateList({MakeEndpoint(1, 1, 1, 1), MakeEndpointOfUnknownZone(2, 1)});
  Handle(ZoneTrafficShare{ZoneId{1}, 0, false});
  Handle(ZoneTrafficShare{ZoneId{0}, 0, false});
  ServeRequests(1, 40);
  const auto sends = Emitted<Send>();
  for (const EndpointId id : {1U, 2U}) {
    EXPECT_TRUE(std::any_of(sends.begin(), sends.end(), [id](const Send& s) { return s.endpoint == id; }));
  }
}

TEST_F(ZoneTrafficTest, AZoneGetsItsShareOfTraffic) {
  UpdateList({MakeEndpoint(1, 1, 0), MakeEndpoint(2, 1, 1)});
  Handle(ZoneTrafficShare{ZoneId{1}, 0.25, false});
  ServeRequests(1, 400);
  int calls_to_zone = 0;
  for (const Send& send : Emitted<Send>()) calls_to_zone += send.endpoint == 2;
  EXPECT_GT(calls_to_zone, 20);  // about one call in eight: a quarter of an even half
  EXPECT_LT(calls_to_zone, 90);
}

// An evacuated zone does not take the traffic of a zone that is partly evacuated.
TEST_F(ZoneTrafficTest, AnEvacuatedZoneGetsNoCallsWhileAnotherIsBeingEvacuated) {
  UpdateList({MakeEndpoint(1, 1, 0, 1), MakeEndpoint(2, 1, 1, 1)});
  Handle(ZoneTrafficShare{ZoneId{1}, 0, false});
  Handle(ZoneTrafficShare{ZoneId{0}, 0.5, false});
  ServeRequests(1, 100);
  EXPECT_EQ(Emitted<Send>().size(), 100U);
  for (const Send& send : Emitted<Send>()) EXPECT_EQ(send.endpoint, 1U);
}

TEST_F(ZoneTrafficTest, OnlyHealthCheckRelaysCallAnEvacuatedZone) {
  for (const bool is_health_check_relay : {false, true}) {
    Settings s = TestSettings();
    s.relay_count = 30;
    s.may_hedge = false;
    Start(s);
    UpdateList({MakeEndpoint(1, 1, 0, 1, EndpointStatus::kInService, 100),
                MakeEndpoint(2, 1, 1, 1, EndpointStatus::kInService, 100)});
    Handle(ZoneTrafficShare{ZoneId{1}, 0, is_health_check_relay});
    RequestId id = 1;
    for (const Seconds end = now_ + 20; now_ < end;) {
      Receive(id, kNonIdempotentClass);
      RunUntil(now_ + 0.1);
      const auto sends = SendsFor(id);
      if (!sends.empty())
        EndAttempt(id, 0, sends[0].endpoint,
                   sends[0].endpoint == 2 ? Outcome::kConnectFailed : Outcome::kServed);
      ++id;
    }
    int calls_to_zone = 0;
    for (const Send& send : Emitted<Send>()) calls_to_zone += send.endpoint == 2;
    EXPECT_EQ(calls_to_zone > 0, is_health_check_relay);
    EXPECT_LT(calls_to_zone, 40);
  }
}

// All relays return at the same time, to endpoints that none has called in the meantime.
TEST_F(ZoneTrafficTest, AZoneStartsSlowlyAfterAnEvacuation) {
  Settings s = TestSettings();
  s.relay_count = 10;
  s.listed_rate_accuracy = ListedRateAccuracy::kExact;
  s.concurrency_limit = 100;
  s.may_hedge = false;
  Start(s);
  UpdateList({MakeEndpoint(1, 1, 1, 1, EndpointStatus::kInService, 20)});
  Handle(ZoneTrafficShare{ZoneId{1}, 0, false});
  Handle(ZoneTrafficShare{ZoneId{1}, 0.2, false});
  for (RequestId id = 1; id <= 100; ++id) Receive(id, kIdempotentClass);
  RunUntil(now_ + 3);
  // This relay's tenth of two thirds of overload_factor times a fifth of 20 calls per second, in 3 s: 1.6
  // calls, and up to one token saved up.
  EXPECT_LE(Emitted<Send>().size(), 4U);
  EXPECT_GE(Emitted<Send>().size(), 1U);
}

// A zone that refuses new connections may still serve on open ones. If a health-check relay used those, it
// would end the evacuation of a zone that no other relay can reach.
TEST_F(ZoneTrafficTest, AnEvacuatedZoneKeepsNoIdleConnections) {
  Settings s = TestSettings();
  s.may_hedge = false;
  Start(s);
  UpdateList({MakeEndpoint(1, 1, 0, 1), MakeEndpoint(2, 1, 1, 1)});
  Receive(1, kNonIdempotentClass);
  Receive(2, kNonIdempotentClass);
  Receive(3, kNonIdempotentClass);
  EndBatch();
  Handle(ZoneTrafficShare{ZoneId{1}, 0, true});
  EndBatch();
  const auto closed = [this](EndpointId id) {
    const auto all = Emitted<CloseIdleConnections>();
    return std::count_if(all.begin(), all.end(),
                         [id](const CloseIdleConnections& c) { return c.endpoint == id; });
  };
  long calls = 0;
  for (const Send& send : Emitted<Send>()) {
    if (send.endpoint != 2) continue;
    ++calls;
    EXPECT_EQ(closed(2), 0);  // calls in flight are not interrupted
    EndAttempt(send.request_id, 0, 2, Outcome::kServed);
    EndBatch();
  }
  const long closed_before = closed(2);
  EXPECT_GE(closed_before, 1);
  for (RequestId id = 10; id < 60; ++id) {  // each recovery trial opens a new connection
    Receive(id, kNonIdempotentClass);
    RunUntil(now_ + 0.2);
    for (const Send& send : SendsFor(id)) EndAttempt(id, 0, send.endpoint, Outcome::kServed);
    EndBatch();
  }
  long trials = -calls;
  for (const Send& send : Emitted<Send>()) trials += send.endpoint == 2;
  EXPECT_GT(trials, 0);
  EXPECT_GE(closed(2) - closed_before, trials);
  EXPECT_EQ(closed(1), 0);
}

}  // namespace
}  // namespace opalroute::decision
