// Load shedding and the quotas of tenants.
#include "tests/decision/fixture.h"

namespace opalroute {
namespace {

class AdmissionTest : public StartedRouterTest {};

TEST_F(AdmissionTest, TheLongestLineMakesRoom) {
  Settings s = TestSettings();
  s.request_capacity = 20;
  Start(s);
  List({Entry(1, 2)});
  for (RequestId id = 1; id <= 25; ++id) Take(id, kSafeClass, 1);
  Take(40, kSafeClass, 2);
  EndTurn();
  EXPECT_GE(All<Reject>().size(), 6U);
  for (const Reject& refuse : All<Reject>()) EXPECT_NE(refuse.request_id, 40U);
}

TEST_F(AdmissionTest, ATenantAboveItsShareGivesWay) {
  Settings s = TestSettings();
  s.tenants = {{1}, {1}};
  s.concurrency_limit = 1;
  Start(s);
  List({Entry(1, 1)});
  for (RequestId id = 1; id <= 20; ++id) Play(NewRequest{id, kSafeClass, 0, "", 20, 1});
  EndTurn();
  Play(NewRequest{30, kSafeClass, 1, "", 20, 1});
  now_ += 0.1;
  for (RequestId id = 1; id <= 20; ++id) {
    if (SendsOf(id).empty()) continue;
    Tell(id, 0, 1, Outcome::kServed);
  }
  EndTurn();
  for (int i = 0; i < 5; ++i) {
    const Send last = All<Send>().back();
    Tell(last.request_id, 0, 1, Outcome::kServed);
    EndTurn();
  }
  EXPECT_EQ(SendsOf(30).size(), 1U);
}

}  // namespace
}  // namespace opalroute
