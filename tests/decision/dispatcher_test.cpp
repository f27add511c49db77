// How free call slots are assigned, and how the slots of lost calls are reclaimed.
#include "tests/decision/fixture.h"

namespace opalroute::decision {
namespace {

class DispatcherTest : public StartedRouterTest {};

TEST_F(DispatcherTest, FreeSlotsGoToTheDestinationWithFewestCallsInFlight) {
  Settings s = TestSettings();
  s.concurrency_limit = 3;
  s.may_hedge = false;
  Start(s);
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 2)});
  for (RequestId id = 1; id <= 4; ++id) Receive(id, kNonIdempotentClass, 1);
  EndBatch();
  Receive(9, kNonIdempotentClass, 2);
  EndAttempt(1, 0, 1, Outcome::kServed);
  EndBatch();
  EXPECT_EQ(SendsFor(9).size(), 1U);
}

// Calls of non-idempotent requests have no timeout; stalled ones must not occupy all slots until the
// deadline.
TEST_F(DispatcherTest, TheSlotOfAStalledCallGoesToAnotherDestination) {
  Settings s = TestSettings();
  s.concurrency_limit = 3;
  s.may_hedge = false;
  Start(s);
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 2)});
  ServeRequests(1, 5, 1);
  ServeRequests(11, 5, 2);
  for (RequestId id = 21; id <= 23; ++id) Receive(id, kNonIdempotentClass, 1);
  EndBatch();
  now_ += 3;
  Receive(30, kNonIdempotentClass, 1);
  Receive(31, kNonIdempotentClass, 2);
  EndBatch();  // no slot is free: the router detects the stall or cancels a call immediately
  EndBatch();
  ASSERT_GE(Emitted<CancelAttempt>().size(), 1U);
  const CancelAttempt cancel = Emitted<CancelAttempt>().front();
  EndAttempt(cancel.request_id, cancel.attempt, 1, Outcome::kCancelled);
  EndBatch();
  EXPECT_EQ(SendsFor(31).size(), 1U);
}

// A lost call does not open the circuit of an endpoint that serves other calls; its slot must be reclaimed
// nevertheless.
TEST_F(DispatcherTest, ALostCallIsCancelledEvenIfItsEndpointServesOthers) {
  Settings s = TestSettings();
  s.concurrency_limit = 2;
  s.may_hedge = false;
  Start(s);
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 2)});
  ServeRequests(1, 5, 1);
  Receive(20, kNonIdempotentClass, 1);  // lost
  EndBatch();
  ServeRequests(21, 12, 1);
  Receive(40, kNonIdempotentClass, 2);
  EndBatch();
  Receive(41, kNonIdempotentClass, 2);
  EndBatch();
  ASSERT_EQ(Emitted<CancelAttempt>().size(), 1U);
  EXPECT_EQ(Emitted<CancelAttempt>()[0].request_id, 20U);
}

// Outliers share a part of the slots; each must get at least one call, as it could not recover otherwise.
TEST_F(DispatcherTest, AnOutlierIsStillTriedWhileOthersAreStalled) {
  Settings s = TestSettings();
  s.classes[kNonIdempotentClass].latency_objective = 0.05;  // all responses are late, all endpoints outliers
  s.may_hedge = false;
  Start(s);
  UpdateList({MakeEndpoint(1, 1), MakeEndpoint(2, 2)});
  ServeRequests(1, 3, 1);
  ServeRequests(11, 3, 2);
  for (RequestId id = 21; id <= 26; ++id) Receive(id, kNonIdempotentClass, 1);
  EndBatch();
  Receive(30, kNonIdempotentClass, 2);
  EndBatch();
  EXPECT_EQ(SendsFor(30).size(), 1U);
}

}  // namespace
}  // namespace opalroute::decision
