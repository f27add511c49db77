// Properties of the router as a whole: determinism, and events with unknown ids.
#include <vector>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class RequestRouterTest : public StartedRouterTest {};

TEST_F(RequestRouterTest, SameEventsGiveSameActions) {
  const auto run = [this] {
    Start(TestSettings());
    now_ = 100;
    UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1), MakeEndpoint(3, 1)});
    ServeRequests(1, 50);
    std::vector<EndpointId> endpoints;
    for (const Send& send : Emitted<Send>()) endpoints.push_back(send.endpoint);
    return endpoints;
  };
  const auto first = run();
  EXPECT_EQ(first, run());
}

TEST_F(RequestRouterTest, UnknownOutcomesAbortsAndTimersAreIgnored) {
  UpdateList({MakeEndpoint(1, 1)});
  EndAttempt(77, 0, 1, Outcome::kServed);
  Handle(RequestAborted{77});
  Handle(TimerFired{99});
  EndBatch();
  EXPECT_EQ(Emitted<Send>().size(), 0U);
}

}  // namespace
}  // namespace opalroute::decision
