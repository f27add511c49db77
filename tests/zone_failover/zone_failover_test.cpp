// Zones that are left and returned to by a whole tier, on a fake clock. What the relays' calls see is drawn
// from a truth that each test states; verdicts are counts and order.
#include <doctest/doctest.h>

#include <numeric>
#include <set>

#include "tests/zone_failover/simulated_calls.h"

namespace opalroute {
namespace {

using zone_failover::EvacuationPhase;
using zone_failover::FaultKind;

TEST_CASE("zone failover: a zone that fails in any way is left by all within seconds, and no other is") {
  for (const Outcome how :
       {Outcome::kConnectFailed, Outcome::kRejected, Outcome::kReset, Outcome::kError, Outcome::kTimeout})
    for (const int size : {3, 12, 60}) {
      CAPTURE(size);
      CAPTURE(static_cast<int>(how));
      SimulatedFleet s(OptionsFor(size), {}, 5);
      const Seconds fails = 105, back = 115;
      SimulatedCalls calls(s, std::max(4.0, 60.0 / size), [&](int, int, int zone) {
        return zone == 1 && s.now >= fails && s.now < back ? Failing(how) : CallResult{};
      });
      s.StartAll();
      calls.RunUntil(fails);
      CHECK(s.changes.empty());
      calls.RunUntil(fails + (how == Outcome::kTimeout ? 2.6 : 2.2));
      CHECK(CountInPhase(s, 1, EvacuationPhase::kEvacuated) == size);
      calls.calls_by_zone.clear();
      calls.RunUntil(back);
      CHECK(calls.calls_by_zone[1] * 10 <=
            (calls.calls_by_zone[0] + calls.calls_by_zone[2]) * 3);  // of a small tier all are scouts
      if (size == 60) CHECK(calls.calls_by_zone[1] * 12 < calls.calls_by_zone[0]);
      calls.RunUntil(back + 8);
      CHECK(CountInPhase(s, 1, EvacuationPhase::kEvacuated) == 0);
      calls.RunUntil(back + 14);
      CHECK(CountInPhase(s, 1, EvacuationPhase::kInService) == size);
      for (const auto& change : s.changes) {
        CHECK(change.zone == 1);
        CHECK(change.now.round == (change.now.phase == EvacuationPhase::kEvacuating ? 1 : 2));
      }
    }
}

TEST_CASE("zone failover: with 20% and 60% of the notes lost all leave, a little later") {
  for (const double loss : {0.2, 0.6}) {
    lab::LinkPlan links;
    links.loss = loss;
    links.duplicate = links.reorder = 0.1;
    SimulatedFleet s(OptionsFor(40), links, 6);
    SimulatedCalls calls(s, 4, [&](int, int, int zone) {
      return zone == 0 && s.now >= 105 ? Failing(Outcome::kReset) : CallResult{};
    });
    s.StartAll();
    calls.RunUntil(105);
    calls.RunUntil(108);
    CHECK(CountInPhase(s, 0, EvacuationPhase::kEvacuated) == 40);
  }
}

TEST_CASE("zone failover: the scouts are the same three to all, and others are drawn in the next round") {
  SimulatedFleet s(OptionsFor(30), {}, 7);
  SimulatedCalls calls(s, 4, [&](int, int, int zone) {
    return zone == 2 && s.now >= 105 ? Failing(Outcome::kReset) : CallResult{};
  });
  s.StartAll();
  calls.RunUntil(110);
  std::set<int> scouts;
  for (int relay = 0; relay < 30; ++relay)
    if (s.TrafficShareOf(relay, 2).is_health_check_relay) scouts.insert(relay);
  CHECK(scouts.size() >= 3);
  CHECK(scouts.size() <= 6);  // by what each has heard of others
  std::vector<int> live(30);
  std::iota(live.begin(), live.end(), 0);
  const auto first = zone_failover::HealthCheckRelaysOf(live, 2, 2, 3);
  CHECK(first != zone_failover::HealthCheckRelaysOf(live, 2, 3, 3));
  CHECK(first != zone_failover::HealthCheckRelaysOf(live, 1, 2, 3));
  for (const int scout : first) CHECK(scouts.count(scout) == 1);
  // One that goes leaves the others in their places.
  live.erase(std::find(live.begin(), live.end(), first[0]));
  const auto without = zone_failover::HealthCheckRelaysOf(live, 2, 2, 3);
  CHECK(without[0] == first[1]);
  CHECK(without[1] == first[2]);
}

TEST_CASE("zone failover: back for 300 ms each 3 s is not back") {
  SimulatedFleet s(OptionsFor(12), {}, 8);
  SimulatedCalls calls(s, 8, [&](int, int, int zone) {
    const bool flash = std::fmod(s.now - 105, 3) >= 2.7;
    return zone == 1 && s.now >= 105 && !flash ? Failing(Outcome::kConnectFailed)
                                               : CallResult{Outcome::kServed, 0.05};
  });
  s.StartAll();
  calls.RunUntil(108);
  const std::size_t left = s.changes.size();
  calls.RunUntil(150);
  CHECK(s.changes.size() == left);
  CHECK(CountInPhase(s, 1, EvacuationPhase::kEvacuated) == 12);
}

TEST_CASE("zone failover: a relapse closes it anew, each time for longer up to a bound") {
  SimulatedFleet s(OptionsFor(12), {}, 9);
  SimulatedCalls calls(s, 8, [&](int, int, int zone) {
    // Served for as long as scouts try it, failing under everybody.
    const bool out = CountInPhase(s, 1, EvacuationPhase::kEvacuated) > 6;
    return zone == 1 && s.now >= 105 && (!out || s.now < 107) ? Failing(Outcome::kReset)
                                                              : CallResult{Outcome::kServed, 0.05};
  });
  s.StartAll();
  calls.RunUntil(200);
  std::map<std::uint64_t, std::pair<Seconds, Seconds>> rounds;  // out since, returning since
  for (const auto& change : s.changes) {
    if (change.now.phase == EvacuationPhase::kEvacuated) rounds[change.now.round].first = change.now.since;
    if (change.now.phase == EvacuationPhase::kRecovering) rounds[change.now.round].second = change.now.since;
  }
  REQUIRE(rounds.size() >= 4);
  for (std::uint64_t round = 3; round + 1 <= rounds.rbegin()->first && rounds[round + 1].second > 0;
       ++round) {
    CAPTURE(round);
    const double lasted = rounds[round].second - rounds[round].first;
    CHECK(lasted >= std::min(16.0, std::exp2(static_cast<double>(round - 2))) - 0.5);
    CHECK(lasted < 20);
  }
}

TEST_CASE(
    "zone failover: who starts, restarts or wakes in the middle learns the stage before its first send "
    "there") {
  SimulatedFleet s(OptionsFor(12), {}, 10);
  SimulatedCalls calls(s, 8, [&](int, int, int zone) {
    return zone == 1 && s.now >= 105 ? Failing(Outcome::kReset) : CallResult{};
  });
  s.StartAll();
  s.RunUntil(104);
  s.Kill(11);
  calls.RunUntil(106.9);
  s.Freeze(5, 120);  // it holds what it held
  s.Kill(3);         // with its folder
  s.Kill(4, true);   // and without
  calls.RunUntil(112);
  for (const int relay : {3, 4, 11}) s.Start(relay);
  CHECK(s[3].StateOf(1).phase == EvacuationPhase::kEvacuated);  // from the folder, before any word
  CHECK(!s[4].HasJoined(s.now));
  s.RunUntil(s.now + 0.15);
  for (const int relay : {3, 4, 11}) {
    CHECK(s[relay].HasJoined(s.now));
    CHECK(s[relay].StateOf(1).phase == EvacuationPhase::kEvacuated);
    CHECK(s.TrafficShareOf(relay, 1).traffic_share == 0);
  }
  calls.RunUntil(125);
  CHECK(CountInPhase(s, 1, EvacuationPhase::kEvacuated) == 12);
}

TEST_CASE("zone failover: a verdict that a frozen relay wakes with counts for nothing") {
  SimulatedFleet s(OptionsFor(12), {}, 11);
  SimulatedCalls calls(s, 8, [&](int, int, int zone) {
    return zone == 1 && s.now >= 105 && s.now < 108 ? Failing(Outcome::kReset)
                                                    : CallResult{Outcome::kServed, 0.05};
  });
  s.StartAll();
  calls.RunUntil(107);
  CHECK(CountInPhase(s, 1, EvacuationPhase::kEvacuated) == 12);
  s.Freeze(2, 125);
  calls.RunUntil(124);
  CHECK(CountInPhase(s, 1, EvacuationPhase::kInService) == 11);
  const std::size_t before = s.changes.size();
  calls.RunUntil(130);
  CHECK(CountInPhase(s, 1, EvacuationPhase::kInService) == 12);
  CHECK(s.changes.size() <= before + 2);  // its own alone
}

TEST_CASE(
    "zone failover: who was frozen while others agreed on a zone, and missed their notes, does not call it "
    "in") {
  SimulatedFleet s(OptionsFor(12), {}, 17);
  SimulatedCalls calls(s, 8, [&](int, int, int zone) {
    return zone == 1 && s.now >= 105 ? Failing(Outcome::kConnectFailed) : CallResult{Outcome::kServed, 0.05};
  });
  s.StartAll();
  while (s.now < 110 && s[2].StateOf(1).phase != EvacuationPhase::kEvacuating) calls.RunUntil(s.now + 0.01);
  REQUIRE(s[2].StateOf(1).phase == EvacuationPhase::kEvacuating);
  const Seconds back = s.now + 4;
  s.Freeze(2, back);
  s.cut = [&](int, int to) { return s.now < back + 0.1 && to == 2; };
  calls.RunUntil(s.now + 2);
  CHECK(CountInPhase(s, 1, EvacuationPhase::kEvacuated) == 11);
  calls.RunUntil(s.now + 6);
  CHECK(CountInPhase(s, 1, EvacuationPhase::kEvacuated) == 12);
  int withdrawn = 0;
  for (const auto& change : s.changes) {
    CHECK(change.now.round < 3);
    withdrawn += change.now.phase == EvacuationPhase::kInService;
  }
  CHECK(withdrawn == 1);  // its own, and it moves nobody
}

TEST_CASE("zone failover: two halves of a cut tier judge alike, and agree once they hear each other") {
  SimulatedFleet s(OptionsFor(16), {}, 12);
  SimulatedCalls calls(s, 8, [&](int, int, int zone) {
    return zone == 1 && s.now >= 105 && s.now < 112 ? Failing(Outcome::kTimeout)
                                                    : CallResult{Outcome::kServed, 0.05};
  });
  s.StartAll();
  s.cut = [&](int from, int to) { return s.now >= 104 && s.now < 110 && (from < 8) != (to < 8); };
  calls.RunUntil(108);
  CHECK(CountInPhase(s, 1, EvacuationPhase::kEvacuated) == 16);
  calls.RunUntil(116);
  CHECK(CountInPhase(s, 1, EvacuationPhase::kEvacuated) == 0);
  CHECK(s[0].StateOf(1).round == s[15].StateOf(1).round);
  calls.RunUntil(124);
  CHECK(CountInPhase(s, 1, EvacuationPhase::kInService) == 16);
}

TEST_CASE("zone failover: seven in ten relays are killed during the outage; the rest returns without them") {
  SimulatedFleet s(OptionsFor(20), {}, 13);
  SimulatedCalls calls(s, 8, [&](int, int, int zone) {
    return zone == 1 && s.now >= 105 && s.now < 114 ? Failing(Outcome::kReset)
                                                    : CallResult{Outcome::kServed, 0.05};
  });
  s.StartAll();
  calls.RunUntil(108);
  for (int relay = 6; relay < 20; ++relay) s.Kill(relay, relay % 2 == 0);
  calls.RunUntil(130);
  CHECK(CountInPhase(s, 1, EvacuationPhase::kInService) == 6);
  for (int relay = 6; relay < 20; ++relay) s.Start(relay);
  calls.RunUntil(s.now + 2);
  CHECK(CountInPhase(s, 1, EvacuationPhase::kInService) == 20);
}

// SIGKILL at every moment of leaving and returning, with the folder and without: it never sends where all
// others have left, and ends where they are.
TEST_CASE("zone failover: one that is killed at any moment comes back to the stage of the others") {
  for (int moment = 0; moment < 60; ++moment) {
    CAPTURE(moment);
    SimulatedFleet s(OptionsFor(8), {}, 16);
    SimulatedCalls calls(s, 8, [&](int, int, int zone) {
      return zone == 1 && s.now >= 105 && s.now < 110 ? Failing(Outcome::kReset)
                                                      : CallResult{Outcome::kServed, 0.05};
    });
    s.StartAll();
    const Seconds kill = 104.9 + 0.2 * moment;
    calls.RunUntil(kill);
    s.Kill(3, moment % 2 == 0);
    calls.RunUntil(kill + 0.6);
    const bool all_out = CountInPhase(s, 1, EvacuationPhase::kEvacuated) >= 7;
    s.Start(3);
    s.RunUntil(s.now + 0.15);
    CHECK(s[3].HasJoined(s.now));
    if (all_out) CHECK(s.TrafficShareOf(3, 1).traffic_share == 0);
    calls.RunUntil(125);
    CHECK(CountInPhase(s, 1, EvacuationPhase::kInService) == 8);
  }
}

// What is no zone's failure. Whatever the draw, nobody leaves.
TEST_CASE("zone failover: none is left over 1,000 scripts of what is no zone's failure") {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    pcg32 draw(seed, 31);
    const int size = 2 + static_cast<int>(draw(11));
    const int kind = static_cast<int>(seed % 8), bad = static_cast<int>(draw(kDestinations));
    const int some = 1 + static_cast<int>(draw(static_cast<std::uint32_t>(std::max(1, size / 5))));
    const Outcome how = std::vector<Outcome>{Outcome::kConnectFailed, Outcome::kReset, Outcome::kTimeout,
                                             Outcome::kError}[draw(4)];
    lab::LinkPlan links;
    links.loss = draw(3) * 0.3;
    SimulatedFleet s(OptionsFor(size), links, seed);
    pcg32 chance(seed, 33);
    const auto one_in = [&](std::uint32_t n) { return chance(n) == 0; };
    SimulatedCalls calls(s, 2 + draw(8), [&](int relay, int destination, int zone) -> CallResult {
      if (s.now < 102) return {};
      switch (kind) {
        case 0:  // one destination, however much it is called, in one zone
          return zone == 1 && destination == bad ? Failing(how) : CallResult{};
        case 1:  // three partners everywhere, and one a little
          return (destination + 12 - bad) % 12 < 3 || (zone == 1 && destination == 5 && one_in(3))
                     ? Failing(how)
                     : CallResult{};
        case 2:  // a few relays have lost their own way to it; of four or fewer one is a quarter
          return zone == 1 && relay < some && size > 4 * some ? Failing(how) : CallResult{};
        case 3:  // all at once
          return Failing(how);
        case 4:  // everything is slow at once
          return {Outcome::kServed, 0.2 + 0.25 * std::min(8.0, s.now - 102)};
        case 5:  // discovery is wrong about a third of a zone's endpoints
          return zone == 2 && destination % 3 == 0 ? Failing(Outcome::kConnectFailed) : CallResult{};
        case 6:  // half of the partners of a zone are above their limits: two calls in three are turned away
          return zone == 1 && destination % 2 == 0 && !one_in(3) ? Failing(Outcome::kRejected)
                                                                 : CallResult{Outcome::kServed, 0.05};
        default:  // one call in four fails by chance, everywhere
          return one_in(4) ? Failing(how) : CallResult{};
      }
    });
    s.StartAll();
    calls.RunUntil(110);
    for (int zone = 0; zone < kZones; ++zone)
      REQUIRE_MESSAGE(CountInPhase(s, zone, EvacuationPhase::kEvacuated) == 0, "seed ", seed, ", kind ", kind,
                      ", zone ", zone);
    for (const auto& change : s.changes)
      REQUIRE_MESSAGE(change.now.phase != EvacuationPhase::kEvacuated, "seed ", seed, ", kind ", kind);
  }
}

TEST_CASE("zone failover: where half of the tier is served the other half leaves nobody's zone") {
  SimulatedFleet s(OptionsFor(20), {}, 14);
  SimulatedCalls calls(s, 8, [&](int relay, int, int zone) {
    return zone == 1 && relay < 10 && s.now >= 103 ? Failing(Outcome::kReset)
                                                   : CallResult{Outcome::kServed, 0.05};
  });
  s.StartAll();
  calls.RunUntil(125);
  for (const auto& change : s.changes) CHECK(change.now.phase != EvacuationPhase::kEvacuated);
}

TEST_CASE("zone failover: one relay that accuses falsely moves nobody") {
  SimulatedFleet s(OptionsFor(8), {}, 15);
  SimulatedCalls calls(
      s, 6, [&](int relay, int, int) { return relay == 3 ? Failing(Outcome::kReset) : CallResult{}; });
  s.StartAll();
  calls.RunUntil(120);
  CHECK(s.changes.empty());
}

// Three relays, two zones: whatever order reports come in, doubled or lost, the latest of each that came
// counts.
TEST_CASE("zone failover: reports merge alike in every order, with every loss, over a restart") {
  struct Sent {
    int from;
    std::uint64_t life, number;
    zone_failover::Report report;
  };
  const auto report = [](std::uint32_t good, std::uint32_t bad) {
    zone_failover::ZoneReport z, other;
    z.succeeded = good;
    z.failed = bad;
    z.success_age = good != 0 ? 0.2 : 3;
    z.failure_age = bad != 0 ? 0.1 : 3;
    other.succeeded = 1;
    other.success_age = 0.1;
    return zone_failover::Report{z, other};
  };
  const std::vector<Sent> sent = {{0, 1, 5, report(0, 3)}, {0, 1, 6, report(3, 0)},
                                  {1, 4, 9, report(4, 0)}, {1, 5, 1, report(0, 6)},  // it has started anew
                                  {2, 2, 1, report(0, 5)}, {2, 2, 7, report(0, 9)}};
  std::vector<int> order(sent.size());
  std::iota(order.begin(), order.end(), 0);
  int checked = 0;
  for (unsigned came = 0; came < 64; ++came) {
    std::optional<std::tuple<int, int, int, int, bool>> expected;
    do {
      zone_failover::ZoneConsensus a({}, 2);
      for (const int i : order)
        for (int twice = 0; twice < 2; ++twice)
          if ((came >> i & 1U) != 0) {
            const Sent& n = sent[static_cast<std::size_t>(i)];
            a.Add(10, n.from, n.life, n.number, n.report);
          }
      const zone_failover::ZoneView v = a.ViewOf(10.1, 0);
      const std::tuple now(v.failure_reporters, v.success_reporters, v.failed_destinations,
                           v.succeeded_destinations, a.IsFailing(10.1, 0, v, 3));
      if (!expected) expected = now;
      REQUIRE(now == *expected);
      ++checked;
    } while (std::next_permutation(order.begin(), order.end()));
  }
  CHECK(checked == 64 * 720);
}

// Two zones that may fail at once beside a third: three relays, whose second words may be lost or come first.
TEST_CASE("zone failover: verdicts on two zones at once are the same in every order and with every loss") {
  const auto report = [](int state, int relay) {  // bits: zone 0 fails, zone 1 fails
    zone_failover::Report all(3);
    for (int zone = 0; zone < 3; ++zone) {
      zone_failover::ZoneReport& r = all[static_cast<std::size_t>(zone)];
      const bool bad = zone < 2 && (state >> zone & 1) != 0;
      (bad ? r.failed : r.succeeded) = 3U << relay;
      (bad ? r.failure_age : r.success_age) = 0.1;
      r.observed = 15;
    }
    return all;
  };
  int left[2] = {0, 0};
  for (int states = 0; states < 64; states += 9) {  // two bits a relay
    for (unsigned came = 0; came < 64; ++came) {
      std::vector<int> order = {0, 1, 2, 3, 4, 5};
      std::optional<std::pair<bool, bool>> expected;
      do {
        zone_failover::ZoneConsensus a({}, 3);
        for (const int i : order)
          if ((came >> i & 1U) != 0)
            a.Add(10, i / 2, 1, static_cast<std::uint64_t>(i % 2) + 1,
                  report(i % 2 == 0 ? 0 : states >> (i / 2 * 2) & 3, i / 2));
        const std::pair now(a.IsFailing(10.1, 0, a.ViewOf(10.1, 0), 3),
                            a.IsFailing(10.1, 1, a.ViewOf(10.1, 1), 3));
        if (!expected) expected = now;
        REQUIRE(now == *expected);
      } while (std::next_permutation(order.begin(), order.end()));
      left[0] += expected->first;
      left[1] += expected->second;
    }
  }
  CHECK(left[0] > 0);  // the words suffice in some of them
  CHECK(left[1] > 0);
}

// An accusation lasts for longer than what was served since the question, so fewer of the control are heard.
TEST_CASE("zone failover: the control is held against those who have spoken since the zone is being left") {
  zone_failover::ZoneConsensus a({}, 2);
  const auto add = [&](Seconds seen, int relay, std::uint64_t number, Seconds served) {
    zone_failover::ZoneReport zone, control;
    zone.failed = 1U << relay % 3;
    zone.observed = 7;
    zone.failure_age = 0.1;
    control.succeeded = 1;
    control.success_age = served;
    a.Add(seen, relay, 1, number, {zone, control});
  };
  const Seconds since = 10.3, now = 10.7;
  for (int relay = 0; relay < 50; ++relay) add(10, relay, 1, 0.1);
  CHECK(!a.IsFailing(now, 0, a.ViewOf(now, 0), 100, since));  // nobody has been served since
  for (int relay = 0; relay < 4; ++relay) add(10.6, relay, 2, 0.1);
  CHECK(!a.IsFailing(now, 0, a.ViewOf(now, 0), 100, since));  // too few: a quarter of a quorum is five
  for (int relay = 4; relay < 12; ++relay) add(10.6, relay, 2, 0.1);
  CHECK(a.ViewOf(now, 0).failure_reporters == 50);
  CHECK(a.IsFailing(now, 0, a.ViewOf(now, 0), 100, since));
  CHECK(!a.IsFailing(now, 0, a.ViewOf(now, 0), 100, 10.55));  // those calls were sent before
}

TEST_CASE("zone failover: stages merge alike in every order and with every loss") {
  const std::vector<zone_failover::EvacuationState> sent = {
      {1, EvacuationPhase::kEvacuating, 0, 3},  {1, EvacuationPhase::kEvacuated, 0, 4},
      {1, EvacuationPhase::kRecovering, 0, 5},  {2, EvacuationPhase::kEvacuated, 1, 6},
      {1, EvacuationPhase::kInService, 0, 5.5}, {2, EvacuationPhase::kEvacuated, 1, 6.1}};
  std::vector<int> order(sent.size());
  std::iota(order.begin(), order.end(), 0);
  for (unsigned came = 1; came < 64; ++came) {
    std::optional<zone_failover::EvacuationState> expected;
    do {
      zone_failover::ZoneEvacuation stages({}, 1, 0);
      for (const int i : order)
        if ((came >> i & 1U) != 0) stages.Merge(10, 0, sent[static_cast<std::size_t>(i)]);
      const zone_failover::EvacuationState& now = stages.Of(0);
      if (!expected) expected = now;
      REQUIRE(now.round == expected->round);
      REQUIRE(now.phase == expected->phase);
      REQUIRE(now.since == expected->since);
    } while (std::next_permutation(order.begin(), order.end()));
  }
}

TEST_CASE("zone failover: what a note says of them is read as it was written; cut anywhere it is refused") {
  zone_failover::ZoneGossip said;
  said.stages = {{300, EvacuationPhase::kRecovering, 3, 12.34}, {0, EvacuationPhase::kInService, 0, 1e9}};
  said.report = zone_failover::Report(2);
  (*said.report)[0].succeeded = 0x80000001;
  (*said.report)[1].failed = 7;
  (*said.report)[1].failure_age = 0.37;
  (*said.report)[1].fault = FaultKind::kTimeout;
  const std::string bytes = zone_failover::EncodeZoneGossip(said);
  const auto read = zone_failover::DecodeZoneGossip(bytes);
  REQUIRE(read);
  CHECK(read->stages[0].round == 300);
  CHECK(read->stages[0].phase == EvacuationPhase::kRecovering);
  CHECK(read->stages[0].relapses == 3);
  CHECK(read->stages[0].since == doctest::Approx(12.3));  // never older than it is
  CHECK((*read->report)[0].succeeded == 0x80000001);
  CHECK((*read->report)[1].failure_age == doctest::Approx(0.3));
  CHECK((*read->report)[1].fault == FaultKind::kTimeout);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK(!zone_failover::DecodeZoneGossip(bytes.substr(0, size)));
  CHECK(!zone_failover::DecodeZoneGossip(bytes + "x"));
}

}  // namespace
}  // namespace opalroute
