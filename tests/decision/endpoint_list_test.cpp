// The endpoint list: draining and removed endpoints, and how the list is kept current.
#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class EndpointListTest : public StartedRouterTest {};

TEST_F(EndpointListTest, ADrainingEndpointGetsNoRequests) {
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1)});
  UpdateList({MakeEndpoint(1, 1, 0, 0, EndpointStatus::kDraining)}, ListScope::kChanges);
  ServeRequests(1, 30);
  for (const Send& send : Emitted<Send>()) EXPECT_EQ(send.endpoint, 2U);
}

TEST_F(EndpointListTest, AnEndpointMissingFromACompleteListIsRemoved) {
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1)});
  UpdateList({MakeEndpoint(2, 1)});
  ServeRequests(1, 30);
  for (const Send& send : Emitted<Send>()) EXPECT_EQ(send.endpoint, 2U);
}

TEST_F(EndpointListTest, WatchesTheListAtTheStartAndAgainAfterAFailure) {
  Settings s = TestSettings();
  s.poll_endpoint_list = true;
  Start(s);
  UpdateList({MakeEndpoint(1, 1)}, ListScope::kCached);
  EndBatch();
  EXPECT_EQ(Emitted<WatchEndpointList>().size(), 1U);
  UpdateList({}, ListScope::kWatchFailed);
  EndBatch();
  EXPECT_EQ(Emitted<WatchEndpointList>().size(), 1U);
  RunUntil(now_ + 2);
  EXPECT_EQ(Emitted<WatchEndpointList>().size(), 2U);
}

// A change from an operator or DNS does not show that the list from discovery is current.
TEST_F(EndpointListTest, UpdatesFromOtherSourcesDoNotConfirmTheList) {
  Settings s = TestSettings();
  s.poll_endpoint_list = true;
  s.list_heartbeat = 2;
  Start(s);
  UpdateList({MakeEndpoint(1, 1)}, ListScope::kCached);
  EndBatch();
  for (int i = 0; i < 10; ++i) {
    RunUntil(now_ + 0.5);
    Handle(ListUpdate{ListScope::kChanges, {}, false});
  }
  EXPECT_GE(Emitted<WatchEndpointList>().size(), 4U);
  EXPECT_EQ(Emitted<Log>().size(), 0U);
  RunUntil(now_ + 2);
  ASSERT_EQ(Emitted<Log>().size(), 1U);
  EXPECT_EQ(Emitted<Log>()[0].text,
            "endpoint list not confirmed in time; continuing with the last known list");
  Handle(ListConfirmed{});
  EndBatch();
  EXPECT_EQ(Emitted<Log>().size(), 2U);
}

// As DNS names it before the list does.
ListedEndpoint OfUnknownKind(ListedEndpoint endpoint) {
  endpoint.kind.reset();
  return endpoint;
}

// The first kind of the settings takes five requests in a call; an endpoint of unknown kind may not.
TEST_F(EndpointListTest, ACallToAnEndpointOfUnknownKindHasOneRequest) {
  for (const bool is_known : {false, true}) {
    Settings settings = TestSettings();
    settings.kinds = {{false, 5}};
    settings.concurrency_limit = 1;
    Start(settings);
    UpdateList({is_known ? MakeEndpoint(1, 1) : OfUnknownKind(MakeEndpoint(1, 1))});
    for (RequestId id = 1; id <= 5; ++id) Receive(id, kIdempotentClass);
    EndBatch();
    EXPECT_EQ(Emitted<Send>().size(), is_known ? 5U : 1U);
  }
}

// Guards against calls within a Retry-After: it may be that of the whole destination.
TEST_F(EndpointListTest, ARetryAfterOfAnEndpointOfUnknownKindHoldsForTheDestinationAndOnceTheKindIsKnown) {
  Settings settings = TestSettings();
  settings.may_hedge = false;
  Start(settings);
  UpdateList({OfUnknownKind(MakeEndpoint(1, 1))});
  Receive(1, kIdempotentClass);
  EndBatch();
  EndAttempt(1, 0, 1, Outcome::kRejected, 5);
  UpdateList({OfUnknownKind(MakeEndpoint(1, 1)), MakeEndpoint(2, 1, 0, 0)});
  EXPECT_FALSE(router_->MaySend(now_, 1));
  EXPECT_FALSE(router_->MaySend(now_, 2));
  UpdateList({MakeEndpoint(1, 1, 0, 1)});  // of a kind with limits of its own
  EXPECT_FALSE(router_->MaySend(now_ + 4.9, 1));
  EXPECT_TRUE(router_->MaySend(now_ + 5.1, 1));
}

}  // namespace
}  // namespace opalroute::decision
