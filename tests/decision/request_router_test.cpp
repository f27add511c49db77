// The router as a whole.
#include <vector>

#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class RequestRouterTest : public StartedRouterTest {};

TEST_F(RequestRouterTest, SameEventsGiveSameActions) {
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

TEST_F(RequestRouterTest, UnknownOutcomesAndEndsArePassedOver) {
  List({Entry(1, 1)});
  Tell(77, 0, 1, Outcome::kServed);
  Play(RequestAborted{77});
  Play(TimerFired{99});
  EndTurn();
  EXPECT_EQ(All<Send>().size(), 0U);
}

}  // namespace
}  // namespace opalroute
