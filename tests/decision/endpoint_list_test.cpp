// The endpoint list: draining and removed endpoints, and how the list is kept current.
#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class EndpointListTest : public StartedRouterTest {};

TEST_F(EndpointListTest, NothingGoesToADrainingEndpoint) {
  List({Entry(1, 1), Entry(2, 1)});
  List({Entry(1, 1, 0, 0, EndpointStatus::kDraining)}, ListScope::kChanges);
  ServeSafely(1, 30);
  for (const Send& send : All<Send>()) EXPECT_EQ(send.endpoint, 2U);
}

TEST_F(EndpointListTest, AnEndpointMissingFromAWholeListIsGone) {
  List({Entry(1, 1), Entry(2, 1)});
  List({Entry(2, 1)});
  ServeSafely(1, 30);
  for (const Send& send : All<Send>()) EXPECT_EQ(send.endpoint, 2U);
}

TEST_F(EndpointListTest, AsksForChangesAtTheStartAndAgainAfterARefusal) {
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
TEST_F(EndpointListTest, NewsOfAnotherSourceDoesNotStandForTheList) {
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

}  // namespace
}  // namespace opalroute
