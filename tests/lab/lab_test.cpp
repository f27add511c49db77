// The laboratory: scenarios, models against hand-reckoned figures, the auditor's catches, determinism.
#include <doctest/doctest.h>

#include <cmath>
#include <filesystem>

#include "config/fields.h"
#include "lab/auditor.h"
#include "lab/evenness.h"
#include "lab/event_queue.h"
#include "lab/script.h"
#include "lab/simulation.h"
#include "lab/statistics.h"

namespace opalroute::lab {
namespace {

using nlohmann::json;

// ---- the queues ----------------------------------------------------------------------------------------

template <typename Queue>
std::vector<std::uint64_t> Drain(std::uint64_t seed) {
  Queue queue;
  pcg32 random(seed);
  std::vector<std::uint64_t> order;
  Micros now = 0;
  for (int i = 0; i < 20000; ++i) {
    if (queue.empty() || random(3) != 0) {
      queue.Push(now + random(random(2) == 0 ? 10 : 1'000'000), random());
    } else {
      const auto event = queue.Pop();
      CHECK(event.at >= now);
      now = event.at;
      order.push_back(event.number);
    }
  }
  while (!queue.empty()) order.push_back(queue.Pop().number);
  return order;
}

TEST_CASE("lab: both event queues give the same order, first in first out at one time") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    CHECK(Drain<HeapQueue<std::uint32_t>>(seed) == Drain<CalendarQueue<std::uint32_t>>(seed));
}

// ---- scenarios -------------------------------------------------------------------------------------------

std::string FaultOf(const json& file) {
  try {
    ReadScenario(file);
  } catch (const config::FieldError& fault) {
    return fault.what();
  }
  return {};
}

TEST_CASE("lab: every fault of a scenario is told with the path of its key") {
  CHECK(FaultOf(json::object()).empty());
  CHECK(FaultOf({{"relays", 0}}) == "'relays' must be a whole number from 1 to 1000");
  CHECK(FaultOf({{"load", {{"rate", "fast"}}}}) == "'load.rate' must be a number from 0.01 to 1000000.0");
  CHECK(FaultOf({{"load", {{"burst", 1}}}}) == "'load.burst' is not known");
  CHECK(FaultOf({{"troubles", {{{"kind", "flood"}, {"share", 0.1}}}}}) ==
        "'troubles[0].kind' must be one of shut, refuse, hang, reset, errors, slow, spoilt, vanish");
  CHECK(FaultOf({{"troubles", {{{"kind", "shut"}, {"partner", 10}}}}}).find("'troubles[0].partner'") == 0);
  CHECK(FaultOf({{"relay_faults", {{{"kind", "kill"}, {"relay", 2}}}}}) ==
        "'relay_faults[0].relay' must be a whole number from 0 to 1");
  CHECK(FaultOf({{"partners", {{"endpoints", {4, 1}}}}}).find("'partners.endpoints' must be two numbers") ==
        0);
  CHECK(FaultOf({{"relays", 0}, {"zap", 1}}).find("; ") != std::string::npos);  // all at once
  json file = json::object();
  SetByPath(file, "load.rate=30");
  SetByPath(file, "name=x");
  CHECK(file == json{{"load", {{"rate", 30}}}, {"name", "x"}});
  CHECK_THROWS_AS(SetByPath(file, "load"), config::FieldError);
}

TEST_CASE("lab: the scenarios that come with it are sound") {
  int count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIOS)) {
    CAPTURE(entry.path().string());
    CHECK_NOTHROW(LoadScenario(entry.path().string()));
    ++count;
  }
  CHECK(count >= 10);
}

// ---- the model of a lane
// -----------------------------------------------------------------------------------

TEST_CASE("lab: a plain rate and a count in a window, as reckoned by hand") {
  LaneSettings s;
  s.limit = 10;
  s.tells_wait = 1;
  s.wait = 0.3;
  s.refused_count = false;
  LaneModel rate(s, {}, 1);
  int served = 0;
  for (int i = 0; i < 3000; ++i) served += rate.Take(100 + i * 0.01).fate == LaneModel::Fate::kServed;
  CHECK(served >= 300);  // 30 s at 10 a second, and the half second that may come at once
  CHECK(served <= 306);
  s.window = 1;
  LaneModel window(s, {}, 1);
  served = 0;
  for (int i = 0; i < 100; ++i) served += window.Take(200.2 + i * 0.001).fate == LaneModel::Fate::kServed;
  CHECK(served == 10);
  const auto full = window.Take(200.4);
  CHECK(full.fate == LaneModel::Fate::kFull);
  CHECK(full.wait == doctest::Approx(0.6));  // to the end of the span
  CHECK(window.Take(201).fate == LaneModel::Fate::kServed);
}

TEST_CASE("lab: cold return, and the fall of one that is sent too much") {
  LaneSettings s;
  s.capacity = 50;
  s.tells_wait = 1;
  LaneModel lane(s, {{TroubleKind::kShut, 10, 20}}, 1);
  CHECK(lane.CapacityAt(9) == 50);
  CHECK(lane.CapacityAt(15) == 0);
  CHECK(lane.OutAt(15));
  CHECK(lane.Take(15).wait == doctest::Approx(5));
  CHECK(lane.CapacityAt(20) == doctest::Approx(11));  // 22%
  CHECK(lane.CapacityAt(26.5) == doctest::Approx(30.5));
  CHECK(lane.CapacityAt(33) == doctest::Approx(50));
  CHECK(lane.ColdAt(32.9));
  CHECK(!lane.ColdAt(33));
  // At 20 s it stands 2 x 11 x 2 = 44 calls in 2 s, and twice the root of that for chance: the 58th fells it.
  int calls = 0;
  while (!lane.collapsed() && calls < 200) {
    lane.Take(20 + calls * 1e-6);
    ++calls;
  }
  CHECK(calls == 58);
  CHECK(lane.Take(40).fate == LaneModel::Fate::kFull);
  LaneModel spared(s, {{TroubleKind::kShut, 10, 20}}, 1);
  for (int i = 0; i < 200; ++i) spared.Take(20 + i * 0.05);  // 20 a second
  CHECK(!spared.collapsed());
}

TEST_CASE("lab: a queue of one behind two places, as reckoned by hand") {
  LaneSettings s;
  s.capacity = 10;
  s.latency = 0.2;  // two places
  s.latency_cv = 0;
  s.queue = 1;
  s.tells_wait = 1;
  LaneModel lane(s, {}, 1);
  CHECK(lane.Take(1).takes == doctest::Approx(0.2));
  CHECK(lane.Take(1.1).takes == doctest::Approx(0.2));
  CHECK(lane.Take(1.1).takes == doctest::Approx(0.3));  // begins at 1.2
  const auto full = lane.Take(1.15);
  CHECK(full.fate == LaneModel::Fate::kFull);
  CHECK(!full.ran);
  CHECK(full.wait == doctest::Approx(0.15));              // until 1.3, when the next place is free
  CHECK(lane.Take(1.25).takes == doctest::Approx(0.25));  // behind one that ends at 1.4, one at 1.3
}

TEST_CASE("lab: one that has vanished runs nothing; one that spoils its answers has run") {
  LaneModel lane({}, {{TroubleKind::kVanish, 10, 20}, {TroubleKind::kSpoilt, 30, 40, 0.4}}, 1);
  CHECK(lane.VanishedAt(15));
  CHECK(lane.OutAt(15));
  CHECK(!lane.RefusesConnections(15));
  const auto silent = lane.Take(15);
  CHECK(silent.fate == LaneModel::Fate::kHangs);
  CHECK(!silent.ran);
  CHECK(lane.ColdAt(21));
  CHECK(!lane.OutAt(35));  // most of its calls are well
  int spoilt = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto verdict = lane.Take(36 + i * 0.001);
    CHECK(verdict.ran);
    spoilt += verdict.fate == LaneModel::Fate::kSpoilt;
  }
  CHECK(spoilt > 340);
  CHECK(spoilt < 460);
}

// ---- the auditor: each breach, committed and caught
// -----------------------------------------------------------

class Audit {
 public:
  Audit() {
    RequestClass safe, keyed, unsafe;
    keyed.idempotency = Idempotency::kIdempotencyKey;
    keyed.deduplication_window = 12;
    unsafe.idempotency = Idempotency::kNonIdempotent;
    auditor = std::make_unique<Auditor>(Auditor::Rules{}, std::vector<RequestClass>{safe, keyed, unsafe});
    auditor->Listed(1, 7, 1);
    auditor->Listed(2, 7, 1);
    auditor->Listed(3, 8, 3);
  }
  void Take(std::uint64_t id, int message_class, Seconds now = 0) {
    auditor->Taken(now, 0, id, 100 + id, message_class, 7, now + 8);
  }
  void Only(BreachKind kind, int count = 1) {
    CHECK(auditor->breaches().size() == static_cast<std::size_t>(count));
    CHECK(auditor->Count(kind) == count);
  }
  std::unique_ptr<Auditor> auditor;
};

TEST_CASE("lab: the auditor lets a sound life pass") {
  Audit a;
  for (int c = 0; c < 3; ++c) {
    a.Take(static_cast<std::uint64_t>(c), c);
    a.auditor->Sent(1, 0, static_cast<std::uint64_t>(c), 1);
    a.auditor->Over(static_cast<std::uint64_t>(c), 0, false);
    a.auditor->Sent(2, 0, static_cast<std::uint64_t>(c), 2);
    a.auditor->Ran(2.1, static_cast<std::uint64_t>(c));
    a.auditor->Over(static_cast<std::uint64_t>(c), 1, true);
    a.auditor->Ended(2.2, static_cast<std::uint64_t>(c), Auditor::End::kDelivered);
  }
  a.auditor->Until(100);
  CHECK(a.auditor->breaches().empty());
  CHECK(a.auditor->open() == 0);
}

TEST_CASE("lab: the auditor catches each breach") {
  SUBCASE("two answers") {
    Audit a;
    a.Take(1, 0);
    a.auditor->Ended(1, 1, Auditor::End::kFailed);
    a.auditor->Ended(2, 1, Auditor::End::kRefused);
    a.Only(BreachKind::kTwoAnswers);
  }
  SUBCASE("no answer in time") {
    Audit a;
    a.Take(1, 0);
    a.auditor->Until(8.06);
    CHECK(a.auditor->breaches().empty());
    a.auditor->Until(8.08);
    a.Only(BreachKind::kNoAnswer);
  }
  SUBCASE("none after a death either, once its time is past") {
    Audit a;
    a.Take(1, 0);
    a.auditor->RelayDied(0, 10);
    a.auditor->Until(9.9);
    CHECK(a.auditor->breaches().empty());
    a.auditor->Until(10.1);
    a.Only(BreachKind::kNoAnswer);
  }
  SUBCASE("sent after its end") {
    Audit a;
    a.Take(1, 0);
    a.auditor->Ended(1, 1, Auditor::End::kFailed);
    a.auditor->Sent(2, 0, 1, 1);
    a.Only(BreachKind::kAfterEnd);
  }
  SUBCASE("a payment sent again while the first is out, and after it may have run") {
    Audit a;
    a.Take(1, 2);
    a.auditor->Sent(1, 0, 1, 1);
    a.auditor->Sent(1.1, 0, 1, 2);
    a.Only(BreachKind::kUnsafeRepeat);
    a.auditor->Over(1, 0, true);
    a.auditor->Over(1, 1, false);
    a.auditor->Sent(2, 0, 1, 2);
    a.Only(BreachKind::kUnsafeRepeat, 2);
  }
  SUBCASE("a payment that took effect twice, also by two handings-in") {
    Audit a;
    a.auditor->Taken(0, 0, 1, 50, 2, 7, 8);
    a.auditor->Taken(0, 1, 2, 50, 2, 7, 8);
    a.auditor->Ran(1, 1);
    a.auditor->Ran(2, 2);
    a.Only(BreachKind::kRanTwice);
  }
  SUBCASE("a keyed one repeated after its window, and taking effect there") {
    Audit a;
    a.auditor->Taken(0, 0, 1, 50, 1, 7, 30);
    a.auditor->Sent(1, 0, 1, 1);
    a.auditor->Ran(1.1, 1);
    a.auditor->Over(1, 0, true);
    a.auditor->Sent(12.9, 0, 1, 1);
    a.auditor->Over(1, 1, true);
    CHECK(a.auditor->breaches().empty());
    a.auditor->Sent(13.1, 0, 1, 1);
    a.Only(BreachKind::kKeyedRepeat);
    a.auditor->Ran(13.2, 1);
    CHECK(a.auditor->Count(BreachKind::kKeyRanTwice) == 1);
  }
  SUBCASE("a payment handed back that may have run") {
    Audit a;
    a.Take(1, 2);
    a.auditor->Sent(1, 0, 1, 1);
    a.auditor->Over(1, 0, true);
    a.auditor->Ended(2, 1, Auditor::End::kRefused);
    a.Only(BreachKind::kUnsafeRefused);
  }
  SUBCASE("sent in a told wait; another relay, and after a restart, may") {
    Audit a;
    a.Take(1, 0);
    a.auditor->Taken(0, 1, 2, 2, 0, 7, 8);
    a.auditor->ToldWait(1, 0, 1, 3);
    a.auditor->ToldWait(1.5, 0, 1, 0.1);  // a shorter one ends nothing
    a.auditor->Sent(2, 1, 2, 1);
    CHECK(a.auditor->breaches().empty());
    a.auditor->Sent(3.9, 0, 1, 2);
    a.Only(BreachKind::kInWait);
    a.auditor->RelayDied(0, 4);
    a.auditor->Sent(3.95, 0, 1, 2);
    a.Only(BreachKind::kInWait);
  }
  SUBCASE("sent to a drained endpoint after the grace") {
    Audit a;
    a.Take(1, 0);
    a.auditor->ToldDrain(1, 0, 1);
    a.auditor->Sent(2.9, 0, 1, 1);
    CHECK(a.auditor->breaches().empty());
    a.auditor->Sent(3.1, 0, 1, 1);
    a.Only(BreachKind::kDrained);
  }
  SUBCASE("sent to another destination's endpoint, or to one never listed") {
    Audit a;
    a.Take(1, 0);
    a.auditor->Sent(1, 0, 1, 3);
    a.auditor->Sent(1, 0, 1, 99);
    a.Only(BreachKind::kForeign, 2);
  }
  SUBCASE("a returning lane pushed over by those who knew") {
    for (const bool knew : {false, true}) {
      Audit a;
      if (knew) a.auditor->SawOutage(0, 1);
      for (int i = 0; i < 30; ++i) a.auditor->ReachedCold(20 + i * 0.01, 0, 1, i == 29);
      a.Only(BreachKind::kPushedOver, knew ? 1 : 0);
    }
  }
  SUBCASE("relays that take the parts of others who run still") {
    for (const double parts : {4.0, 3.0, 2.0}) {
      Audit a;
      a.auditor->Tier(4);
      for (int relay = 0; relay < 3; ++relay) a.auditor->ToldParts(1, relay, 3);
      a.auditor->ToldParts(2, 3, parts);
      a.Only(BreachKind::kOverParts, parts < 4 ? 1 : 0);
      if (parts > 3) continue;
      a.auditor->LostParts(3, 0);
      a.auditor->ToldParts(3, 3, parts);
      a.Only(BreachKind::kOverParts, 1);
    }
  }
}

TEST_CASE("lab: the auditor catches what goes out of turn, or while its key rests") {
  RequestClass keyed;
  keyed.idempotency = Idempotency::kIdempotencyKey;
  keyed.deduplication_window = 12;
  Auditor::Rules rules;
  rules.key_rest = 1;
  Auditor a(rules, {keyed});
  a.Listed(1, 7, 1);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    a.Taken(0, 0, id, id, 0, 7, 20);
    a.InOrder(id, 5);
  }
  a.Sent(1, 0, 1, 1);
  a.Over(1, 0, true);
  a.MayStillRun(2, 1);
  a.Sent(2.1, 0, 1, 1);  // the one that has the turn need not rest
  a.Ended(2.5, 1, Auditor::End::kDelivered);
  CHECK(a.breaches().empty());
  a.Sent(2.9, 0, 2, 1);  // the first is over, and still out
  CHECK(a.Count(BreachKind::kOutOfTurn) == 1);
  a.Over(1, 1, true);
  a.MayStillRun(3, 2);
  a.Over(2, 0, false);
  a.Ended(3.1, 2, Auditor::End::kFailed);
  a.Sent(3.9, 0, 3, 1);  // the second is over, and may still run
  CHECK(a.Count(BreachKind::kOutOfTurn) == 2);
  a.Over(3, 0, false);
  a.Sent(4.1, 0, 3, 1);
  CHECK(a.breaches().size() == 2);
}

// ---- runs
// --------------------------------------------------------------------------------------------------

json Small() {
  return {{"relays", 2},
          {"lasts_s", 20},
          {"load", {{"rate", 30}, {"clump_share", 0.15}}},
          {"partners", {{"count", 8}, {"apart", 0.3}, {"bundle", 5}}},
          {"troubles", {{{"kind", "shut"}, {"share", 0.2}, {"from_s", 5}, {"lasts_s", 6}}}},
          {"pool_changes", {{{"kind", "replace"}, {"at_s", 8}, {"share", 0.3}}}},
          {"relay_faults", {{{"kind", "kill"}, {"relay", 0}, {"at_s", 9}, {"down_s", 1}}}}};
}

TEST_CASE("lab: the same seed gives the same run to the byte, another one another") {
  const Scenario scenario = ReadScenario(Small());
  const std::string first = Simulation(scenario, 1).Run().ToJson().dump();
  CHECK(first == Simulation(scenario, 1).Run().ToJson().dump());
  CHECK(first != Simulation(scenario, 2).Run().ToJson().dump());
}

TEST_CASE("lab: runs account for every message and keep the rules") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const RunResult result = Simulation(ReadScenario(Small()), seed).Run();
    long asked = 0, delivered = 0, offered = 0;
    for (const ClassOutcome& c : result.classes) {
      asked += c.offered;
      delivered += c.delivered;
      CHECK(c.latency.count() == c.delivered);
    }
    for (const SecondCounts& second : result.seconds) offered += second.offered;
    CHECK(asked == offered);
    CHECK(asked > 400);
    CHECK(delivered > asked / 2);
    CHECK(result.calls > 0);
    for (const Breach& breach : result.breaches)
      FAIL_CHECK(NameOf(breach.kind), " ", breach.at, " ", breach.trace);
  }
}

TEST_CASE("lab: endpoints with few connections refuse some, and the rules are kept there too") {
  for (const char* name : {"crowded", "vanished", "ordered", "tenants"}) {
    CAPTURE(name);
    const Scenario scenario = LoadScenario(std::string(SCENARIOS) + "/" + name + ".json");
    long unconnected = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const RunResult result = Simulation(scenario, seed).Run();
      unconnected += result.connect_failures;
      for (const Breach& breach : result.breaches)
        FAIL_CHECK(NameOf(breach.kind), " ", breach.at, " ", breach.trace);
    }
    if (scenario.partners.max_connections.max > 0) CHECK(unconnected > 0);
  }
}

TEST_CASE("lab: what two tenants send is by their shares, and orders go by key") {
  Scenario scenario = LoadScenario(std::string(SCENARIOS) + "/tenants.json");
  scenario.classes[1].rules.ordered_by_key = true;
  scenario.load.ordering_keys = 3;
  const World world(scenario, 1);
  Traffic traffic(world, 1);
  int greedy = 0, all = 0;
  while (const auto arrival = traffic.Next()) {
    ++all;
    greedy += arrival->tenant == 0;
    CHECK((arrival->ordering_key >= 0) == (arrival->message_class == 1));
    CHECK(arrival->ordering_key < 3);
  }
  CHECK(greedy > all * 0.7);
  CHECK(greedy < all * 0.8);
}

TEST_CASE("lab: a bootstrap interval finds a difference that is there, and none where there is none") {
  std::vector<double> apart, same;
  pcg32 random(3);
  for (int i = 0; i < 30; ++i) {
    const double noise = static_cast<double>(random()) * 0x1p-32 - 0.5;
    apart.push_back(0.4 + noise * 0.2);
    same.push_back((i % 2 == 0 ? 1 : -1) * (0.1 + std::abs(noise)));
  }
  CHECK(Bootstrap(apart).ExcludesZero());
  CHECK(Bootstrap(apart).median == doctest::Approx(0.4).epsilon(0.2));
  CHECK(!Bootstrap(same).ExcludesZero());
}

// ---- links, tier and zones -------------------------------------------------------------------------------

TEST_CASE("lab: links lose, double and cut as they are told, one way, by group and in flaps") {
  LinkPlan plan;
  plan.loss = 0.3;
  plan.duplicate = 0.2;
  Cut cut;
  cut.first = 2;
  cut.last = 3;
  cut.way = Cut::Way::kOut;
  cut.from = 10;
  cut.lasts = 6;
  cut.on = 1;
  cut.off = 2;
  plan.cuts.push_back(cut);
  cut.what = Cut::What::kEndpoints;
  cut.zone = 1;
  cut.on = 0;
  plan.cuts.push_back(cut);
  Links links(plan, 1);
  std::size_t arrived = 0;
  for (int i = 0; i < 10000; ++i) arrived += links.Arrivals(5, 0, 1).size();
  CHECK(arrived > 8000);
  CHECK(arrived < 8800);
  for (const double at : {9.9, 10.0, 10.9, 11.5, 13.5, 16.0}) {
    const bool holds = at == 10.0 || at == 10.9 || at == 13.5;
    CHECK(links.PeersCut(at, 2, 0) == holds);
    CHECK(!links.PeersCut(at, 0, 2));  // one way
    CHECK(!links.PeersCut(at, 2, 3));  // within the group
    CHECK(links.EndpointsCut(at, 3, 1) == (at >= 10 && at < 16));
    CHECK(!links.EndpointsCut(at, 3, 0));
    CHECK(!links.EndpointsCut(at, 1, 1));
  }
}

TEST_CASE("lab: endpoints under one limit go out alone with their zone") {
  const World world(
      ReadScenario(
          {{"zones", 3},
           {"partners", {{"count", 30}, {"endpoints", {3, 4}}, {"apart", 0}}},
           {"troubles", {{{"kind", "shut"}, {"share", 1}, {"zone", 1}, {"from_s", 5}, {"lasts_s", 5}}}}}),
      1);
  World& w = const_cast<World&>(world);
  int out = 0;
  for (EndpointId id = 1; id <= world.endpoint_count(); ++id) {
    const PartnerEndpoint& e = world.endpoint(id);
    CHECK(w.route(e.machine_route).OutAt(6) == (e.zone == 1));
    CHECK(!w.route(e.route).OutAt(6));
    CHECK(w.route(e.machine_route).ColdAt(11) == (e.zone == 1));
    out += e.zone == 1;
  }
  CHECK(out > 10);
}

// Thirty relays; a zone of three refuses new connections from 8 to 16 s.
nlohmann::json RefusingZone(int lasts) {
  return {{"relays", 30},
          {"lasts_s", lasts},
          {"zones", 3},
          {"notes", true},
          {"links", {{"loss", 0.2}}},
          {"load", {{"rate", 150}}},
          {"partners", {{"count", 12}, {"endpoints", {3, 4}}, {"apart", 1}, {"connections", {6, 10}}}},
          {"settings", {{"ramp_s", 5}}},
          {"troubles", {{{"kind", "refuse"}, {"share", 1}, {"zone", 1}, {"from_s", 8}, {"lasts_s", 8}}}}};
}

// Thirty modules, each with few calls: together they leave what each alone finds out again and again.
TEST_CASE("lab: thirty relays leave a failing zone together, and return without felling anything") {
  nlohmann::json file = RefusingZone(32);
  const auto into = [](const RunResult& r, std::size_t from, std::size_t to) {
    long calls = 0;
    for (std::size_t second = from; second < to; ++second)
      if (r.seconds[second].zone_calls.size() > 1) calls += r.seconds[second].zone_calls[1];
    return calls;
  };
  const RunResult alone = Simulation(ReadScenario(file), 3).Run();
  file["tier"] = file["leave"] = true;
  const RunResult together = Simulation(ReadScenario(file), 3).Run();
  CHECK(together.breaches.empty());
  CHECK(together.collapses == 0);
  CHECK(into(alone, 11, 16) > 2 * into(together, 11, 16));
  CHECK(into(together, 26, 30) > 60);
  int out = 0, in = 0;
  for (const ZonePhaseChange& c : together.zone_phase_changes) {
    out += c.zone == 1 && c.phase == "out" && c.at < 10.5;
    in += c.zone == 1 && c.phase == "in" && c.at > 16;
    CHECK(c.zone == 1);
  }
  CHECK(out >= 29);
  CHECK(in >= 30);
}

// Connections that are kept are served on while new ones are refused, so a zone returns before its lanes do.
TEST_CASE(
    "lab: a zone that returns too soon fells no lane, and limits that all reach are no zone's failure") {
  nlohmann::json file = RefusingZone(26);
  file["tier"] = file["leave"] = true;
  int elsewhere = 0;
  for (const std::uint64_t seed : {6, 10, 17, 19, 24}) {
    CAPTURE(seed);
    const RunResult r = Simulation(ReadScenario(file), seed).Run();
    CHECK(r.breaches.empty());
    CHECK(r.collapses == 0);
    for (const ZonePhaseChange& c : r.zone_phase_changes)
      elsewhere += c.zone != 1 && !c.from_peer && c.phase == "leaving";
  }
  CHECK(elsewhere == 0);
}

// The first 200 of what `opalroute-lab scripts` plays by the thousand.
TEST_CASE("lab: drawn scripts of faults break no rule, and each gives the same run again") {
  long stages = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    const RunResult r = Simulation(ReadScenario(DrawFaultScript(seed)), seed).Run();
    for (const Breach& b : r.breaches) FAIL_CHECK(NameOf(b.kind), " ", b.at, " ", b.trace);
    stages += static_cast<long>(r.zone_phase_changes.size());
  }
  CHECK(stages > 1000);  // zones were left in many of them
  const Scenario script = ReadScenario(nlohmann::json::parse(DrawFaultScript(3).dump()));
  CHECK(Simulation(script, 3).Run().ToJson() ==
        Simulation(ReadScenario(DrawFaultScript(3)), 3).Run().ToJson());
}

// Endpoints of one partner can do the same, whatever is listed: three relays' draws fall as chance has them.
TEST_CASE("lab: calls fall on the endpoints of a partner as evenly as chance has it") {
  Scenario even = ReadScenarioWithOverrides(std::string(SCENARIOS) + "/even.json", {"relays=3"});
  const Evenness seen = Simulation(even, 1).Run().evenness.Compute(10);
  CHECK(seen.spans > 20);
  CHECK(seen.jain > seen.jain_random - 0.01);
  CHECK(seen.idle_spans == 0);
}

TEST_CASE("lab: a relay that is thawed between two steps of the clock goes on") {
  nlohmann::json day = Small();
  day["relay_faults"] = {{{"kind", "freeze"}, {"relay", 0}, {"at_s", 6.88}, {"down_s", 5.01}}};
  const RunResult r = Simulation(ReadScenario(day), 1).Run();
  CHECK(r.events < 1000000);
  CHECK(r.breaches.empty());
}

TEST_CASE("lab: evenness is told beside what chance alone gives") {
  EvennessCounter even, skewed;
  for (int second = 0; second < 20; ++second)
    for (int call = 0; call < 90; ++call) {
      even.CountCall(second + 0.5, 1, static_cast<EndpointId>(call % 3 + 1), 2);
      skewed.CountCall(second + 0.5, 1, call % 9 < 6 ? 1U : static_cast<EndpointId>(call % 2 + 2), 1);
    }
  even.CountCall(3, 2, 9, 1);  // an endpoint alone says nothing
  const Evenness e = even.Compute(1), s = skewed.Compute(10);
  CHECK(e.spans == 20);
  CHECK(e.jain == doctest::Approx(1));
  CHECK(e.max_over_mean == doctest::Approx(1));
  CHECK(e.jain_random < 0.99);  // of 90 draws among three
  CHECK(e.jain_random > 0.96);
  CHECK(e.max_over_mean_random > 1.05);
  CHECK(s.spans == 2);
  CHECK(s.jain < 0.8);
  CHECK(s.max_over_mean == doctest::Approx(2));
  CHECK(s.idle_spans == 0);
  // Parts count: twice as many calls for twice the part are even.
  EvennessCounter parts;
  for (int call = 0; call < 90; ++call)
    parts.CountCall(0.5, 1, call % 3 == 0 ? 1U : 2U, call % 3 == 0 ? 1 : 2);
  CHECK(parts.Compute(1).jain == doctest::Approx(1));
}

}  // namespace
}  // namespace opalroute::lab
