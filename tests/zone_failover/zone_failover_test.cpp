// Zones that a fleet evacuates and returns to, on a simulated clock. Each test says what calls meet.
#include <doctest/doctest.h>

#include <numeric>
#include <set>

#include "tests/zone_failover/simulated_calls.h"

namespace opalroute {
namespace {

using zone_failover::EvacuationPhase;

TEST_CASE(
    "zone failover: a zone that fails_at in any way is evacuated by all within seconds, and no other is") {
  for (const Outcome outcome :
       {Outcome::kConnectFailed, Outcome::kRejected, Outcome::kReset, Outcome::kError, Outcome::kTimeout})
    for (const int size : {3, 12, 60}) {
      CAPTURE(size);
      CAPTURE(static_cast<int>(outcome));
      SimulatedFleet fleet(OptionsFor(size), {}, 5);
      const Seconds fails_at = 105;
      const Seconds recovers_at = 115;
      SimulatedCalls calls(fleet, std::max(4.0, 60.0 / size), [&](int, int, int zone) {
        return zone == 1 && fleet.now >= fails_at && fleet.now < recovers_at ? Failing(outcome)
                                                                             : CallResult{};
      });
      fleet.StartAll();
      calls.RunUntil(fails_at);
      CHECK(fleet.changes.empty());
      calls.RunUntil(fails_at + (outcome == Outcome::kTimeout ? 2.6 : 2.2));
      CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == size);
      calls.calls_by_zone.clear();
      calls.RunUntil(recovers_at);
      CHECK(calls.calls_by_zone[1] * 10 <= (calls.calls_by_zone[0] + calls.calls_by_zone[2]) *
                                               3);  // in a small fleet all are health-check relays
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

TEST_CASE("zone failover: with 20% and 60% of the messages lost all evacuate, a little later") {
  for (const double loss : {0.2, 0.6}) {
    lab::LinkSettings links;
    links.loss = loss;
    links.duplicate = links.reorder = 0.1;
    SimulatedFleet fleet(OptionsFor(40), links, 6);
    SimulatedCalls calls(fleet, 4, [&](int, int, int zone) {
      return zone == 0 && fleet.now >= 105 ? Failing(Outcome::kReset) : CallResult{};
    });
    fleet.StartAll();
    calls.RunUntil(105);
    calls.RunUntil(108);
    CHECK(CountInPhase(fleet, 0, EvacuationPhase::kEvacuated) == 40);
  }
}

TEST_CASE("zone failover: all relays name the same three health-check relays, and others in the next round") {
  SimulatedFleet fleet(OptionsFor(30), {}, 7);
  SimulatedCalls calls(fleet, 4, [&](int, int, int zone) {
    return zone == 2 && fleet.now >= 105 ? Failing(Outcome::kReset) : CallResult{};
  });
  fleet.StartAll();
  calls.RunUntil(110);
  std::set<int> health_check_relays;
  for (int relay = 0; relay < 30; ++relay)
    if (fleet.TrafficShareOf(relay, 2).is_health_check_relay) health_check_relays.insert(relay);
  CHECK(health_check_relays.size() >= 3);
  CHECK(health_check_relays.size() <= 6);  // relays may know different members
  std::vector<int> live(30);
  std::iota(live.begin(), live.end(), 0);
  const auto first = zone_failover::HealthCheckRelaysOf(live, 2, 2, 3);
  CHECK(first != zone_failover::HealthCheckRelaysOf(live, 2, 3, 3));
  CHECK(first != zone_failover::HealthCheckRelaysOf(live, 1, 2, 3));
  for (const int relay : first) CHECK(health_check_relays.count(relay) == 1);
  // Without one of them the others keep their ranks.
  live.erase(std::find(live.begin(), live.end(), first[0]));
  const auto without = zone_failover::HealthCheckRelaysOf(live, 2, 2, 3);
  CHECK(without[0] == first[1]);
  CHECK(without[1] == first[2]);
}

TEST_CASE("zone failover: a zone that serves for 300 ms every 3 s does not recover") {
  SimulatedFleet fleet(OptionsFor(12), {}, 8);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    const bool flash = std::fmod(fleet.now - 105, 3) >= 2.7;
    return zone == 1 && fleet.now >= 105 && !flash ? Failing(Outcome::kConnectFailed)
                                                   : CallResult{Outcome::kServed, 0.05};
  });
  fleet.StartAll();
  calls.RunUntil(108);
  const std::size_t left = fleet.changes.size();
  calls.RunUntil(150);
  CHECK(fleet.changes.size() == left);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 12);
}

TEST_CASE("zone failover: a relapse evacuates it again, each time for longer up to a bound") {
  SimulatedFleet fleet(OptionsFor(12), {}, 9);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    // Serves health-check relays, and fails_at under the load of all.
    const bool out = CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) > 6;
    return zone == 1 && fleet.now >= 105 && (!out || fleet.now < 107) ? Failing(Outcome::kReset)
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
    const double lasted = rounds[round].recovering_at - rounds[round].evacuated_at;
    CHECK(lasted >= std::min(16.0, std::exp2(static_cast<double>(round - 2))) - 0.5);
    CHECK(lasted < 20);
  }
}

TEST_CASE(
    "zone failover: a relay that starts, restarts or thaws learns the phase before its first send there") {
  SimulatedFleet fleet(OptionsFor(12), {}, 10);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= 105 ? Failing(Outcome::kReset) : CallResult{};
  });
  fleet.StartAll();
  fleet.RunUntil(104);
  fleet.Kill(11);
  calls.RunUntil(106.9);
  fleet.Freeze(5, 120);  // it keeps its state
  fleet.Kill(3);         // with its state folder
  fleet.Kill(4, true);   // and without
  calls.RunUntil(112);
  for (const int relay : {3, 4, 11}) fleet.Start(relay);
  CHECK(fleet[3].StateOf(1).phase ==
        EvacuationPhase::kEvacuated);  // from the state folder, before any gossip
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

TEST_CASE("zone failover: the outdated state of a relay that thaws changes nothing") {
  SimulatedFleet fleet(OptionsFor(12), {}, 11);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= 105 && fleet.now < 108 ? Failing(Outcome::kReset)
                                                            : CallResult{Outcome::kServed, 0.05};
  });
  fleet.StartAll();
  calls.RunUntil(107);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 12);
  fleet.Freeze(2, 125);
  calls.RunUntil(124);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 11);
  const std::size_t before = fleet.changes.size();
  calls.RunUntil(130);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 12);
  CHECK(fleet.changes.size() <= before + 2);  // its own only
}

TEST_CASE(
    "zone failover: a relay that was frozen and cut off while others agreed does not cancel the evacuation") {
  SimulatedFleet fleet(OptionsFor(12), {}, 17);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= 105 ? Failing(Outcome::kConnectFailed)
                                         : CallResult{Outcome::kServed, 0.05};
  });
  fleet.StartAll();
  while (fleet.now < 110 && fleet[2].StateOf(1).phase != EvacuationPhase::kEvacuating)
    calls.RunUntil(fleet.now + 0.01);
  REQUIRE(fleet[2].StateOf(1).phase == EvacuationPhase::kEvacuating);
  const Seconds thaws_at = fleet.now + 4;
  fleet.Freeze(2, thaws_at);
  fleet.cut = [&](int, int to) { return fleet.now < thaws_at + 0.1 && to == 2; };
  calls.RunUntil(fleet.now + 2);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 11);
  calls.RunUntil(fleet.now + 6);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 12);
  int withdrawn = 0;
  for (const auto& change : fleet.changes) {
    CHECK(change.after.round < 3);
    withdrawn += change.after.phase == EvacuationPhase::kInService;
  }
  CHECK(withdrawn == 1);  // its own, which no other relay adopts
}

TEST_CASE("zone failover: both sides of a partition decide alike, and agree once it heals") {
  SimulatedFleet fleet(OptionsFor(16), {}, 12);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= 105 && fleet.now < 112 ? Failing(Outcome::kTimeout)
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

TEST_CASE("zone failover: seven in ten relays are killed during the outage; the rest recovers without them") {
  SimulatedFleet fleet(OptionsFor(20), {}, 13);
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= 105 && fleet.now < 114 ? Failing(Outcome::kReset)
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

// SIGKILL at every moment of evacuation and recovery, with the state folder and without: the relay never
// sends to a zone that all others have evacuated.
TEST_CASE("zone failover: a relay that is killed at any moment restarts in the phase of the others") {
  for (int moment = 0; moment < 60; ++moment) {
    CAPTURE(moment);
    SimulatedFleet fleet(OptionsFor(8), {}, 16);
    SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
      return zone == 1 && fleet.now >= 105 && fleet.now < 110 ? Failing(Outcome::kReset)
                                                              : CallResult{Outcome::kServed, 0.05};
    });
    fleet.StartAll();
    const Seconds kill = 104.9 + 0.2 * moment;
    calls.RunUntil(kill);
    fleet.Kill(3, moment % 2 == 0);
    calls.RunUntil(kill + 0.6);
    const bool all_out = CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) >= 7;
    fleet.Start(3);
    fleet.RunUntil(fleet.now + 0.15);
    CHECK(fleet[3].HasJoined(fleet.now));
    if (all_out) CHECK(fleet.TrafficShareOf(3, 1).traffic_share == 0);
    calls.RunUntil(125);
    CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 8);
  }
}

TEST_CASE("zone failover: none is evacuated over 1,000 scripts of faults that are no zone's") {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    pcg32 draw(seed, 31);
    const int size = 2 + static_cast<int>(draw(11));
    const int kind = static_cast<int>(seed % 8), bad = static_cast<int>(draw(kDestinations));
    const int some = 1 + static_cast<int>(draw(static_cast<std::uint32_t>(std::max(1, size / 5))));
    const Outcome outcome = std::vector<Outcome>{Outcome::kConnectFailed, Outcome::kReset, Outcome::kTimeout,
                                                 Outcome::kError}[draw(4)];
    lab::LinkSettings links;
    links.loss = draw(3) * 0.3;
    SimulatedFleet fleet(OptionsFor(size), links, seed);
    pcg32 chance(seed, 33);
    const auto one_in = [&](std::uint32_t n) { return chance(n) == 0; };
    SimulatedCalls calls(fleet, 2 + draw(8), [&](int relay, int destination, int zone) -> CallResult {
      if (fleet.now < 102) return {};
      switch (kind) {
        case 0:  // one destination in one zone
          return zone == 1 && destination == bad ? Failing(outcome) : CallResult{};
        case 1:  // three destinations in all zones, and another one in three calls
          return (destination + 12 - bad) % 12 < 3 || (zone == 1 && destination == 5 && one_in(3))
                     ? Failing(outcome)
                     : CallResult{};
        case 2:  // a few relays have lost their path to it; of four or fewer relays one is a quarter
          return zone == 1 && relay < some && size > 4 * some ? Failing(outcome) : CallResult{};
        case 3:  // all at once
          return Failing(outcome);
        case 4:  // everything is slow at once
          return {Outcome::kServed, 0.2 + 0.25 * std::min(8.0, fleet.now - 102)};
        case 5:  // discovery is wrong about a third of a zone's endpoints
          return zone == 2 && destination % 3 == 0 ? Failing(Outcome::kConnectFailed) : CallResult{};
        case 6:  // half of the destinations of a zone are above their limits: two calls in three are rejected
          return zone == 1 && destination % 2 == 0 && !one_in(3) ? Failing(Outcome::kRejected)
                                                                 : CallResult{Outcome::kServed, 0.05};
        default:  // one call in four fails_at by chance, everywhere
          return one_in(4) ? Failing(outcome) : CallResult{};
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
  SimulatedFleet fleet(OptionsFor(20), {}, 14);
  SimulatedCalls calls(fleet, 8, [&](int relay, int, int zone) {
    return zone == 1 && relay < 10 && fleet.now >= 103 ? Failing(Outcome::kReset)
                                                       : CallResult{Outcome::kServed, 0.05};
  });
  fleet.StartAll();
  calls.RunUntil(125);
  for (const auto& change : fleet.changes) CHECK(change.after.phase != EvacuationPhase::kEvacuated);
}

TEST_CASE("zone failover: one relay with false failure reports changes nothing") {
  SimulatedFleet fleet(OptionsFor(8), {}, 15);
  SimulatedCalls calls(
      fleet, 6, [&](int relay, int, int) { return relay == 3 ? Failing(Outcome::kReset) : CallResult{}; });
  fleet.StartAll();
  calls.RunUntil(120);
  CHECK(fleet.changes.empty());
}

}  // namespace
}  // namespace opalroute
