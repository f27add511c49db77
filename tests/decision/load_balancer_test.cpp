// The choice between the endpoints that are ready.
#include <map>
#include <set>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class LoadBalancerTest : public StartedRouterTest {};

TEST_F(LoadBalancerTest, RequestsSpreadEvenlyOverReadyEndpoints) {
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1), MakeEndpoint(3, 1)});
  ServeRequests(1, 300);
  std::map<EndpointId, int> sent;
  for (const Send& send : Emitted<Send>()) ++sent[send.endpoint];
  ASSERT_EQ(sent.size(), 3U);
  for (const auto& [endpoint, count] : sent) EXPECT_NEAR(count, 100, 40) << endpoint;
}

TEST_F(LoadBalancerTest, RequestsOfABatchShareAnEndpoint) {
  Settings s = TestSettings();
  s.may_hedge = false;
  Start(s);
  UpdateList({MakeEndpoint(1, 1, 0, 2), MakeEndpoint(2, 1, 0, 2)});
  for (RequestId id = 1; id <= 5; ++id) Receive(id, kIdempotentClass);
  EndBatch();
  std::set<EndpointId> used;
  for (const Send& send : Emitted<Send>()) used.insert(send.endpoint);
  EXPECT_EQ(Emitted<Send>().size(), 5U);
  EXPECT_EQ(used.size(), 1U);
}

}  // namespace
}  // namespace opalroute::decision
