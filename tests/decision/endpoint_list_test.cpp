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

}  // namespace
}  // namespace opalroute::decision
