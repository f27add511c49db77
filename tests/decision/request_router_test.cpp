// The router as a whole.
#include <vector>

#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class RequestRouterTest : public StartedRouterTest {};

TEST_F(RequestRouterTest, SameEventsGiveSameActions) {
  const auto play = [this] {
    Start(TestSettings());
    now_ = 100;
    UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 1), MakeEndpoint(3, 1)});
    ServeRequests(1, 50);
    std::vector<EndpointId> drawn;
    for (const Send& send : Emitted<Send>()) drawn.push_back(send.endpoint);
    return drawn;
  };
  const auto first = play();
  EXPECT_EQ(first, play());
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
