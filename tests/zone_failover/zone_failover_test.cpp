// Tests of evacuation and recovery by a whole fleet, on a simulated clock. Each test decides the outcome of
// calls.
#include <doctest/doctest.h>

#include <numeric>
#include <set>

#include "tests/zone_failover/simulated_calls.h"

namespace opalroute {
namespace {

using zone_failover::EvacuationPhase;

TEST_CASE(
    "zone failover: a zone that fails in any way is evacuated by all relays within seconds, and no other "
    "is") {
  for (const Outcome outcome :
       {Outcome::kConnectFailed, Outcome::kRejected, Outcome::kReset, Outcome::kError, Outcome::kTimeout})
    for (const int size : {3, 12, 60}) {
      CAPTURE(size);
      CAPTURE(static_cast<int>(outcome));
      SimulatedFleet fleet(FailoverOptionsFor(size), {}, 5);
      const Seconds fails_at = 105;
      const Seconds recovers_at = 115;
      SimulatedCalls calls(fleet, std::max(4.0, 60.0 / size), [&](int, int, int zone) {
        return zone == 1 && fleet.now >= fails_at && fleet.now < recovers_at ? FailedCall(outcome)
                                                                             : CallResult{};
      });
      fleet.StartAll();
      calls.RunUntil(fails_at);
      CHECK(fleet.changes.empty());
      calls.RunUntil(fails_at + (outcome == Outcome::kTimeout ? 2.6 : 2.2));
      CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == size);
      calls.calls_by_zone.clear();
      calls.RunUntil(recovers_at);
      // In a small fleet all relays are health-check relays.
      CHECK(calls.calls_by_zone[1] * 10 <= (calls.calls_by_zone[0] + calls.calls_by_zone[2]) * 3);
      if (size == 60) CHECK(calls.calls_by_zone[1] * 12 < calls.calls_by_zone[0]);
      calls.RunUntil(recovers_at + 8);
      CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 0);
      calls.RunUntil(recovers_at + 14);
      CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == size);
      for (const auto& change : fleet.changes) {
        CHECK(change.zone == 1);
        CHECK(change.after.round == (change.after.phase == EvacuationPhase::kEvacuating ? 1 : 2));
      }
    }
}

TEST_CASE(
    "zone failover: with 20% and 60% of the messages lost, all relays still evacuate within three seconds") {
  for (const double loss : {0.2, 0.6}) {
    lab::LinkSettings links;
    links.loss = loss;
    links.duplicate = links.reorder = 0.1;
    SimulatedFleet fleet(FailoverOptionsFor(40), links, 6);
    SimulatedCalls calls(fleet, 4, [&](int, int, int zone) {
      return zone == 0 && fleet.now >= 105 ? FailedCall(Outcome::kReset) : CallResult{};
    });
    fleet.StartAll();
    calls.RunUntil(105);
    calls.RunUntil(108);
    CHECK(CountInPhase(fleet, 0, EvacuationPhase::kEvacuated) == 40);
  }
}

TEST_CASE(
    "zone failover: all relays choose the same three health-check relays, and others in the next round") {
  SimulatedFleet fleet(FailoverOptionsFor(30), {}, 7);
  SimulatedCalls calls(fleet, 4, [&](int, int, int zone) {
    return zone == 2 && fleet.now >= 105 ? FailedCall(Outcome::kReset) : CallResult{};
  });
  fleet.StartAll();
  calls.RunUntil(110);
  std::set<int> health_check_relays;
  for (int relay = 0; relay < 30; ++relay)
    if (fleet.TrafficShareOf(relay, 2).is_health_check_relay) health_check_relays.insert(relay);
  CHECK(health_check_relays.size() >= 3);
  CHECK(health_check_relays.size() <= 6);  // relays may know different sets of members
  std::vector<int> alive(30);
  std::iota(alive.begin(), alive.end(), 0);
  const auto first = zone_failover::HealthCheckRelaysOf(alive, 2, 2, 3);
  CHECK(first != zone_failover::HealthCheckRelaysOf(alive, 2, 3, 3));
  CHECK(first != zone_failover::HealthCheckRelaysOf(alive, 1, 2, 3));
  for (const int relay : first) CHECK(health_check_relays.count(relay) == 1);
  // If one of them is gone, the others keep their ranks.
  alive.erase(std::find(alive.begin(), alive.end(), first[0]));
  const auto without = zone_failover::HealthCheckRelaysOf(alive, 2, 2, 3);
  CHECK(without[0] == first[1]);
  CHECK(without[1] == first[2]);
}

TEST_CASE("zone failover: a zone that serves for 300 ms every 3 s does not recover") {
  SimulatedFleet fleet(FailoverOptionsFor(12), {}, 8);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    const bool serves = std::fmod(fleet.now - 105, 3) >= 2.7;
    return zone == 1 && fleet.now >= 105 && !serves ? FailedCall(Outcome::kConnectFailed)
                                                    : CallResult{Outcome::kServed, 0.05};
  });
  fleet.StartAll();
  calls.RunUntil(108);
  const std::size_t changes_before = fleet.changes.size();
  calls.RunUntil(150);
  CHECK(fleet.changes.size() == changes_before);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 12);
}

TEST_CASE("zone failover: a zone that relapses is evacuated again, each time for longer up to a bound") {
  SimulatedFleet fleet(FailoverOptionsFor(12), {}, 9);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    // The zone serves health-check relays but fails under the load of all relays.
    const bool is_evacuated = CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) > 6;
    return zone == 1 && fleet.now >= 105 && (!is_evacuated || fleet.now < 107)
               ? FailedCall(Outcome::kReset)
               : CallResult{Outcome::kServed, 0.05};
  });
  fleet.StartAll();
  calls.RunUntil(200);
  struct Round {
    Seconds evacuated_at = 0;
    Seconds recovering_at = 0;
  };
  std::map<std::uint64_t, Round> rounds;
  for (const auto& change : fleet.changes) {
    if (change.after.phase == EvacuationPhase::kEvacuated)
      rounds[change.after.round].evacuated_at = change.after.since;
    if (change.after.phase == EvacuationPhase::kRecovering)
      rounds[change.after.round].recovering_at = change.after.since;
  }
  REQUIRE(rounds.size() >= 4);
  for (std::uint64_t round = 3; round + 1 <= rounds.rbegin()->first && rounds[round + 1].recovering_at > 0;
       ++round) {
    CAPTURE(round);
    const double evacuated_for = rounds[round].recovering_at - rounds[round].evacuated_at;
    CHECK(evacuated_for >= std::min(16.0, std::exp2(static_cast<double>(round - 2))) - 0.5);
    CHECK(evacuated_for < 20);
  }
}

TEST_CASE(
    "zone failover: a relay that starts, restarts or is unfrozen learns a zone's phase before it sends "
    "there") {
  SimulatedFleet fleet(FailoverOptionsFor(12), {}, 10);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= 105 ? FailedCall(Outcome::kReset) : CallResult{};
  });
  fleet.StartAll();
  fleet.RunUntil(104);
  fleet.Kill(11);
  calls.RunUntil(106.9);
  fleet.Freeze(5, 120);  // keeps its state in memory
  fleet.Kill(3);         // keeps its state folder
  fleet.Kill(4, true);   // loses its state folder
  calls.RunUntil(112);
  for (const int relay : {3, 4, 11}) fleet.Start(relay);
  // From the state folder, before any gossip.
  CHECK(fleet[3].StateOf(1).phase == EvacuationPhase::kEvacuated);
  CHECK(!fleet[4].HasJoined(fleet.now));
  fleet.RunUntil(fleet.now + 0.15);
  for (const int relay : {3, 4, 11}) {
    CHECK(fleet[relay].HasJoined(fleet.now));
    CHECK(fleet[relay].StateOf(1).phase == EvacuationPhase::kEvacuated);
    CHECK(fleet.TrafficShareOf(relay, 1).traffic_share == 0);
  }
  calls.RunUntil(125);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 12);
}

TEST_CASE(
    "zone failover: the outdated state of a relay that is unfrozen does not change the state of others") {
  SimulatedFleet fleet(FailoverOptionsFor(12), {}, 11);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= 105 && fleet.now < 108 ? FailedCall(Outcome::kReset)
                                                            : CallResult{Outcome::kServed, 0.05};
  });
  fleet.StartAll();
  calls.RunUntil(107);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 12);
  fleet.Freeze(2, 125);
  calls.RunUntil(124);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 11);
  const std::size_t changes_before = fleet.changes.size();
  calls.RunUntil(130);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 12);
  CHECK(fleet.changes.size() <= changes_before + 2);  // only its own
}

TEST_CASE(
    "zone failover: a relay that was frozen and cut off while the others agreed does not cancel the "
    "evacuation") {
  SimulatedFleet fleet(FailoverOptionsFor(12), {}, 17);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= 105 ? FailedCall(Outcome::kConnectFailed)
                                         : CallResult{Outcome::kServed, 0.05};
  });
  fleet.StartAll();
  while (fleet.now < 110 && fleet[2].StateOf(1).phase != EvacuationPhase::kEvacuating)
    calls.RunUntil(fleet.now + 0.01);
  REQUIRE(fleet[2].StateOf(1).phase == EvacuationPhase::kEvacuating);
  const Seconds unfrozen_at = fleet.now + 4;
  fleet.Freeze(2, unfrozen_at);
  fleet.cut = [&](int, int to) { return fleet.now < unfrozen_at + 0.1 && to == 2; };
  calls.RunUntil(fleet.now + 2);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 11);
  calls.RunUntil(fleet.now + 6);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 12);
  int cancellations = 0;
  for (const auto& change : fleet.changes) {
    CHECK(change.after.round < 3);
    cancellations += change.after.phase == EvacuationPhase::kInService;
  }
  CHECK(cancellations == 1);  // by the unfrozen relay; no other relay adopts it
}

TEST_CASE("zone failover: both sides of a partition reach the same decision, and agree once it heals") {
  SimulatedFleet fleet(FailoverOptionsFor(16), {}, 12);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= 105 && fleet.now < 112 ? FailedCall(Outcome::kTimeout)
                                                            : CallResult{Outcome::kServed, 0.05};
  });
  fleet.StartAll();
  fleet.cut = [&](int from, int to) { return fleet.now >= 104 && fleet.now < 110 && (from < 8) != (to < 8); };
  calls.RunUntil(108);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 16);
  calls.RunUntil(116);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 0);
  CHECK(fleet[0].StateOf(1).round == fleet[15].StateOf(1).round);
  calls.RunUntil(124);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 16);
}

TEST_CASE(
    "zone failover: if seven in ten relays are killed during the outage, the others recover without them") {
  SimulatedFleet fleet(FailoverOptionsFor(20), {}, 13);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= 105 && fleet.now < 114 ? FailedCall(Outcome::kReset)
                                                            : CallResult{Outcome::kServed, 0.05};
  });
  fleet.StartAll();
  calls.RunUntil(108);
  for (int relay = 6; relay < 20; ++relay) fleet.Kill(relay, relay % 2 == 0);
  calls.RunUntil(130);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 6);
  for (int relay = 6; relay < 20; ++relay) fleet.Start(relay);
  calls.RunUntil(fleet.now + 2);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 20);
}

// Kills a relay at 60 points in time during evacuation and recovery, at every second one with the loss of its
// state folder. After its restart it must not send to a zone that all others have evacuated.
TEST_CASE("zone failover: a relay that is killed at any time restarts in the phase of the others") {
  for (int step = 0; step < 60; ++step) {
    CAPTURE(step);
    SimulatedFleet fleet(FailoverOptionsFor(8), {}, 16);
    SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
      return zone == 1 && fleet.now >= 105 && fleet.now < 110 ? FailedCall(Outcome::kReset)
                                                              : CallResult{Outcome::kServed, 0.05};
    });
    fleet.StartAll();
    const Seconds killed_at = 104.9 + 0.2 * step;
    calls.RunUntil(killed_at);
    fleet.Kill(3, step % 2 == 0);
    calls.RunUntil(killed_at + 0.6);
    const bool all_others_evacuated = CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) >= 7;
    fleet.Start(3);
    fleet.RunUntil(fleet.now + 0.15);
    CHECK(fleet[3].HasJoined(fleet.now));
    if (all_others_evacuated) CHECK(fleet.TrafficShareOf(3, 1).traffic_share == 0);
    calls.RunUntil(125);
    CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 8);
  }
}

TEST_CASE("zone failover: in 1,000 runs with faults that are not those of one zone, none is evacuated") {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    pcg32 random(seed, 31);
    const int size = 2 + static_cast<int>(random(11));
    const int kind = static_cast<int>(seed % 8);
    const int failing_destination = static_cast<int>(random(kDestinations));
    const int affected_relays =
        1 + static_cast<int>(random(static_cast<std::uint32_t>(std::max(1, size / 5))));
    const Outcome outcome = std::vector<Outcome>{Outcome::kConnectFailed, Outcome::kReset, Outcome::kTimeout,
                                                 Outcome::kError}[random(4)];
    lab::LinkSettings links;
    links.loss = random(3) * 0.3;
    SimulatedFleet fleet(FailoverOptionsFor(size), links, seed);
    pcg32 call_random(seed, 33);
    const auto one_in = [&](std::uint32_t n) { return call_random(n) == 0; };
    SimulatedCalls calls(fleet, 2 + random(8), [&](int relay, int destination, int zone) -> CallResult {
      if (fleet.now < 102) return {};
      switch (kind) {
        case 0:  // one destination in one zone
          return zone == 1 && destination == failing_destination ? FailedCall(outcome) : CallResult{};
        case 1:  // three destinations in all zones, and one call in three of another destination in zone 1
          return (destination + 12 - failing_destination) % 12 < 3 ||
                         (zone == 1 && destination == 5 && one_in(3))
                     ? FailedCall(outcome)
                     : CallResult{};
        case 2:  // fewer than a quarter of the relays (none if there are four or fewer) cannot reach zone 1
          return zone == 1 && relay < affected_relays && size > 4 * affected_relays ? FailedCall(outcome)
                                                                                    : CallResult{};
        case 3:  // all zones fail at once
          return FailedCall(outcome);
        case 4:  // all zones become slow at once
          return {Outcome::kServed, 0.2 + 0.25 * std::min(8.0, fleet.now - 102)};
        case 5:  // the endpoint list is wrong about a third of a zone's endpoints
          return zone == 2 && destination % 3 == 0 ? FailedCall(Outcome::kConnectFailed) : CallResult{};
        case 6:  // half of the destinations of a zone are above their limits: two calls in three are rejected
          return zone == 1 && destination % 2 == 0 && !one_in(3) ? FailedCall(Outcome::kRejected)
                                                                 : CallResult{Outcome::kServed, 0.05};
        default:  // one call in four fails at random, in all zones
          return one_in(4) ? FailedCall(outcome) : CallResult{};
      }
    });
    fleet.StartAll();
    calls.RunUntil(110);
    for (int zone = 0; zone < kZones; ++zone)
      REQUIRE_MESSAGE(CountInPhase(fleet, zone, EvacuationPhase::kEvacuated) == 0, "seed ", seed, ", kind ",
                      kind, ", zone ", zone);
    for (const auto& change : fleet.changes)
      REQUIRE_MESSAGE(change.after.phase != EvacuationPhase::kEvacuated, "seed ", seed, ", kind ", kind);
  }
}

TEST_CASE("zone failover: a zone that serves half of the fleet is not evacuated") {
  SimulatedFleet fleet(FailoverOptionsFor(20), {}, 14);
  SimulatedCalls calls(fleet, 8, [&](int relay, int, int zone) {
    return zone == 1 && relay < 10 && fleet.now >= 103 ? FailedCall(Outcome::kReset)
                                                       : CallResult{Outcome::kServed, 0.05};
  });
  fleet.StartAll();
  calls.RunUntil(125);
  for (const auto& change : fleet.changes) CHECK(change.after.phase != EvacuationPhase::kEvacuated);
}

TEST_CASE("zone failover: one relay that falsely reports failures does not change the state of any zone") {
  SimulatedFleet fleet(FailoverOptionsFor(8), {}, 15);
  SimulatedCalls calls(
      fleet, 6, [&](int relay, int, int) { return relay == 3 ? FailedCall(Outcome::kReset) : CallResult{}; });
  fleet.StartAll();
  calls.RunUntil(120);
  CHECK(fleet.changes.empty());
}

}  // namespace
}  // namespace opalroute
