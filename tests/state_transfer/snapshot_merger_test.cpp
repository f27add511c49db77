// The merge of route states, for every row of the table in snapshot_merger.h.
#include "state_transfer/snapshot_merger.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "tests/state_transfer/route_states.h"

namespace opalroute::state_transfer {
namespace {

std::optional<RouteState> Merged(const std::vector<NamedRouteState>& observed, Seconds age = 0,
                                 MergeTally* tally = nullptr) {
  SnapshotMerger merger({}, 100);
  int source = 0;
  for (const NamedRouteState& route : observed) merger.Add(source++, route, 50 - age);
  const auto merged = merger.Merge(50);
  if (tally != nullptr) *tally = merger.tally();
  if (merged.empty()) return std::nullopt;
  return merged[0].state;
}

TEST_CASE("state transfer: a Retry-After holds in full to its end and is never prolonged") {
  CHECK(Merged({RouteWithRetryAfter(1, 4)})->retry_after == doctest::Approx(4));
  CHECK(Merged({RouteWithRetryAfter(1, 4)}, 3)->retry_after == doctest::Approx(1));
  CHECK(!Merged({RouteWithRetryAfter(1, 4)}, 4));
  CHECK(Merged({RouteWithRetryAfter(1, 4), RouteWithRetryAfter(1, 2)})->retry_after == doctest::Approx(4));
}

TEST_CASE(
    "state transfer: a Retry-After that is too long is reduced to the maximum, counted from its "
    "observation") {
  MergeTally tally;
  CHECK(Merged({RouteWithRetryAfter(1, 3000)}, 0, &tally)->retry_after == doctest::Approx(30));
  CHECK(tally.retry_afters_shortened == 1);
  CHECK(Merged({RouteWithRetryAfter(1, 3000)}, 29)->retry_after == doctest::Approx(1));
  CHECK(!Merged({RouteWithRetryAfter(1, 3000)}, 30));
}

TEST_CASE("state transfer: each kind of observation is valid up to a maximum age") {
  CHECK(HealthWeight(0) == 1);
  CHECK(HealthWeight(8.1) == doctest::Approx(0.5));
  CHECK(HealthWeight(60) < 0.01);
  CHECK(*Merged({FailingRoute(1, 2)})->failure_age == 2);
  CHECK(*Merged({FailingRoute(1, 2)}, 5)->failure_age == 7);
  // The outage may have ended only now, so it is still suspected, and no slow start has begun.
  const auto old = Merged({FailingRoute(1, 26)});
  CHECK(*old->failure_age == 26);
  CHECK(!old->recovery_age);
  MergeTally tally;
  CHECK(!Merged({FailingRoute(1, 28)}, 0, &tally));
  CHECK(tally.stale == 1);
  NamedRouteState recovering;
  recovering.state.destination = 1;
  recovering.state.recovery_age = 12.5;
  CHECK(*Merged({recovering})->recovery_age == 12.5);
  CHECK(!Merged({recovering}, 0.6));
  NamedRouteState limited;
  limited.state.destination = 1;
  limited.state.rejection_age = 5;
  limited.state.send_rate = 3;
  CHECK(Merged({limited})->send_rate == 3);
  CHECK(!Merged({limited}, 0.3));
  NamedRouteState without_hedging;
  without_hedging.state.destination = 1;
  without_hedging.state.hedging_disabled_age = 8;
  CHECK(Merged({without_hedging})->hedging_disabled_age);
  CHECK(!Merged({without_hedging}, 0.2));
}

TEST_CASE(
    "state transfer: a success that another source saw after the failure turns the outage into a slow "
    "start") {
  NamedRouteState served;
  served.state.destination = 1;
  served.state.success_age = 1;
  MergeTally tally;
  const auto later = Merged({FailingRoute(1, 3), served}, 0, &tally);
  CHECK(!later->failure_age);
  CHECK(*later->recovery_age == 1);
  CHECK(tally.contradicted == 1);
  served.state.success_age = 4;  // before the failure
  CHECK(*Merged({FailingRoute(1, 3), served})->failure_age == 3);
}

TEST_CASE("state transfer: states that are almost an hour old are all stale") {
  NamedRouteState old = FailingRoute(1, 3599);
  old.state.recovery_age = old.state.rejection_age = old.state.latency_age = old.state.hedging_disabled_age =
      old.state.success_age = 3599;
  old.state.send_rate = old.state.latency = 1;
  MergeTally tally;
  CHECK(!Merged({old}, 0, &tally));
  CHECK(tally.stale >= 4);
}

TEST_CASE("state transfer: the merger keeps no more routes than allowed and counts the others") {
  SnapshotMerger merger({}, 3);
  for (int i = 0; i < 10; ++i) merger.Add(0, RouteWithRetryAfter(i, 1), 0);
  CHECK(merger.Merge(0).size() == 3);
  CHECK(merger.tally().too_many == 7);
}

}  // namespace
}  // namespace opalroute::state_transfer
