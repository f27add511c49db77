// The choice of an endpoint among those that are ready.
#include <map>
#include <set>

#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class LoadBalancerTest : public StartedRouterTest {};

TEST_F(LoadBalancerTest, FirstSendsSpreadOverEveryReadyEndpoint) {
  List({Entry(1, 1), Entry(2, 1), Entry(3, 1)});
  ServeSafely(1, 300);
  std::map<EndpointId, int> sent;
  for (const Send& send : All<Send>()) ++sent[send.endpoint];
  ASSERT_EQ(sent.size(), 3U);
  for (const auto& [endpoint, count] : sent) EXPECT_NEAR(count, 100, 40) << endpoint;
}

TEST_F(LoadBalancerTest, OneDrawServesABundle) {
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

}  // namespace
}  // namespace opalroute
