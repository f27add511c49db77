// Load shedding and tenant quotas.
#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class AdmissionTest : public StartedRouterTest {};

TEST_F(AdmissionTest, TheLongestQueueIsShedFirst) {
  Settings s = TestSettings();
  s.request_capacity = 20;
  Start(s);
  UpdateList({MakeEndpoint(1, 2)});
  for (RequestId id = 1; id <= 25; ++id) Receive(id, kIdempotentClass, 1);
  Receive(40, kIdempotentClass, 2);
  EndBatch();
  EXPECT_GE(Emitted<Reject>().size(), 6U);
  for (const Reject& reject : Emitted<Reject>()) EXPECT_NE(reject.request_id, 40U);
}

TEST_F(AdmissionTest, ATenantAboveItsQuotaHasLowerPriority) {
  Settings s = TestSettings();
  s.tenants = {{1}, {1}};
  s.concurrency_limit = 1;
  Start(s);
  UpdateList({MakeEndpoint(1, 1)});
  for (RequestId id = 1; id <= 20; ++id) Handle(NewRequest{id, kIdempotentClass, 0, "", 20, 1});
  EndBatch();
  Handle(NewRequest{30, kIdempotentClass, 1, "", 20, 1});
  now_ += 0.1;
  for (RequestId id = 1; id <= 20; ++id) {
    if (SendsFor(id).empty()) continue;
    EndAttempt(id, 0, 1, Outcome::kServed);
  }
  EndBatch();
  for (int i = 0; i < 5; ++i) {
    const Send last = Emitted<Send>().back();
    EndAttempt(last.request_id, 0, 1, Outcome::kServed);
    EndBatch();
  }
  EXPECT_EQ(SendsFor(30).size(), 1U);
}

}  // namespace
}  // namespace opalroute::decision
