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
      order.push_back(event.sequence);
    }
  }
  while (!queue.empty()) order.push_back(queue.Pop().sequence);
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
  RouteSettings s;
  s.rate_limit = 10;
  s.retry_after_share = 1;
  s.retry_after = 0.3;
  s.rejected_calls_count = false;
  RouteModel rate(s, {}, 1);
  int served = 0;
  for (int i = 0; i < 3000; ++i)
    served += rate.HandleCall(100 + i * 0.01).status == RouteModel::CallStatus::kServed;
  CHECK(served >= 300);  // 30 s at 10 a second, and the half second that may come at once
  CHECK(served <= 306);
  s.window = 1;
  RouteModel window(s, {}, 1);
  served = 0;
  for (int i = 0; i < 100; ++i)
    served += window.HandleCall(200.2 + i * 0.001).status == RouteModel::CallStatus::kServed;
  CHECK(served == 10);
  const auto full = window.HandleCall(200.4);
  CHECK(full.status == RouteModel::CallStatus::kRejected);
  CHECK(full.retry_after == doctest::Approx(0.6));  // to the end of the span
  CHECK(window.HandleCall(201).status == RouteModel::CallStatus::kServed);
}

TEST_CASE("lab: cold return, and the fall of one that is sent too much") {
  RouteSettings s;
  s.capacity = 50;
  s.retry_after_share = 1;
  RouteModel lane(s, {{RouteFaultKind::kRejectAll, 10, 20}}, 1);
  CHECK(lane.CapacityAt(9) == 50);
  CHECK(lane.CapacityAt(15) == 0);
  CHECK(lane.InOutage(15));
  CHECK(lane.HandleCall(15).retry_after == doctest::Approx(5));
  CHECK(lane.CapacityAt(20) == doctest::Approx(11));  // 22%
  CHECK(lane.CapacityAt(26.5) == doctest::Approx(30.5));
  CHECK(lane.CapacityAt(33) == doctest::Approx(50));
  CHECK(lane.IsRecovering(32.9));
  CHECK(!lane.IsRecovering(33));
  // At 20 s it stands 2 x 11 x 2 = 44 calls in 2 s, and twice the root of that for chance: the 58th fells it.
  int calls = 0;
  while (!lane.collapsed() && calls < 200) {
    lane.HandleCall(20 + calls * 1e-6);
    ++calls;
  }
  CHECK(calls == 58);
  CHECK(lane.HandleCall(40).status == RouteModel::CallStatus::kRejected);
  RouteModel spared(s, {{RouteFaultKind::kRejectAll, 10, 20}}, 1);
  for (int i = 0; i < 200; ++i) spared.HandleCall(20 + i * 0.05);  // 20 a second
  CHECK(!spared.collapsed());
}

TEST_CASE("lab: a queue of one behind two places, as reckoned by hand") {
  RouteSettings s;
  s.capacity = 10;
  s.mean_latency = 0.2;  // two places
  s.latency_cv = 0;
  s.max_queued_calls = 1;
  s.retry_after_share = 1;
  RouteModel lane(s, {}, 1);
  CHECK(lane.HandleCall(1).duration == doctest::Approx(0.2));
  CHECK(lane.HandleCall(1.1).duration == doctest::Approx(0.2));
  CHECK(lane.HandleCall(1.1).duration == doctest::Approx(0.3));  // begins at 1.2
  const auto full = lane.HandleCall(1.15);
  CHECK(full.status == RouteModel::CallStatus::kRejected);
  CHECK(!full.ran);
  CHECK(full.retry_after == doctest::Approx(0.15));                // until 1.3, when the next place is free
  CHECK(lane.HandleCall(1.25).duration == doctest::Approx(0.25));  // behind one that ends at 1.4, one at 1.3
}

TEST_CASE("lab: one that has vanished runs nothing; one that spoils its answers has run") {
  RouteModel lane(
      {}, {{RouteFaultKind::kUnreachable, 10, 20}, {RouteFaultKind::kInvalidResponses, 30, 40, 0.4}}, 1);
  CHECK(lane.IsUnreachable(15));
  CHECK(lane.InOutage(15));
  CHECK(!lane.RefusesConnections(15));
  const auto silent = lane.HandleCall(15);
  CHECK(silent.status == RouteModel::CallStatus::kNoResponse);
  CHECK(!silent.ran);
  CHECK(lane.IsRecovering(21));
  CHECK(!lane.InOutage(35));  // most of its calls are well
  int spoilt = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto verdict = lane.HandleCall(36 + i * 0.001);
    CHECK(verdict.ran);
    spoilt += verdict.status == RouteModel::CallStatus::kInvalidResponse;
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
    auditor->OnEndpointListed(1, 7, 1);
    auditor->OnEndpointListed(2, 7, 1);
    auditor->OnEndpointListed(3, 8, 3);
  }
  void Take(std::uint64_t id, int message_class, Seconds now = 0) {
    auditor->OnAccepted(now, 0, id, 100 + id, message_class, 7, now + 8);
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
    a.auditor->OnSent(1, 0, static_cast<std::uint64_t>(c), 1);
    a.auditor->OnAttemptEnded(static_cast<std::uint64_t>(c), 0, false);
    a.auditor->OnSent(2, 0, static_cast<std::uint64_t>(c), 2);
    a.auditor->OnRan(2.1, static_cast<std::uint64_t>(c));
    a.auditor->OnAttemptEnded(static_cast<std::uint64_t>(c), 1, true);
    a.auditor->OnEnded(2.2, static_cast<std::uint64_t>(c), Auditor::End::kDelivered);
  }
  a.auditor->CheckDeadlines(100);
  CHECK(a.auditor->breaches().empty());
  CHECK(a.auditor->open_messages() == 0);
}

TEST_CASE("lab: the auditor catches each breach") {
  SUBCASE("two answers") {
    Audit a;
    a.Take(1, 0);
    a.auditor->OnEnded(1, 1, Auditor::End::kFailed);
    a.auditor->OnEnded(2, 1, Auditor::End::kRejected);
    a.Only(BreachKind::kTwoAnswers);
  }
  SUBCASE("no answer in time") {
    Audit a;
    a.Take(1, 0);
    a.auditor->CheckDeadlines(8.06);
    CHECK(a.auditor->breaches().empty());
    a.auditor->CheckDeadlines(8.08);
    a.Only(BreachKind::kNoAnswer);
  }
  SUBCASE("none after a death either, once its time is past") {
    Audit a;
    a.Take(1, 0);
    a.auditor->OnRelayStopped(0, 10);
    a.auditor->CheckDeadlines(9.9);
    CHECK(a.auditor->breaches().empty());
    a.auditor->CheckDeadlines(10.1);
    a.Only(BreachKind::kNoAnswer);
  }
  SUBCASE("sent after its end") {
    Audit a;
    a.Take(1, 0);
    a.auditor->OnEnded(1, 1, Auditor::End::kFailed);
    a.auditor->OnSent(2, 0, 1, 1);
    a.Only(BreachKind::kSentAfterEnd);
  }
  SUBCASE("a payment sent again while the first is out, and after it may have run") {
    Audit a;
    a.Take(1, 2);
    a.auditor->OnSent(1, 0, 1, 1);
    a.auditor->OnSent(1.1, 0, 1, 2);
    a.Only(BreachKind::kNonIdempotentRepeat);
    a.auditor->OnAttemptEnded(1, 0, true);
    a.auditor->OnAttemptEnded(1, 1, false);
    a.auditor->OnSent(2, 0, 1, 2);
    a.Only(BreachKind::kNonIdempotentRepeat, 2);
  }
  SUBCASE("a payment that took effect twice, also by two handings-in") {
    Audit a;
    a.auditor->OnAccepted(0, 0, 1, 50, 2, 7, 8);
    a.auditor->OnAccepted(0, 1, 2, 50, 2, 7, 8);
    a.auditor->OnRan(1, 1);
    a.auditor->OnRan(2, 2);
    a.Only(BreachKind::kNonIdempotentRanTwice);
  }
  SUBCASE("a keyed one repeated after its window, and taking effect there") {
    Audit a;
    a.auditor->OnAccepted(0, 0, 1, 50, 1, 7, 30);
    a.auditor->OnSent(1, 0, 1, 1);
    a.auditor->OnRan(1.1, 1);
    a.auditor->OnAttemptEnded(1, 0, true);
    a.auditor->OnSent(12.9, 0, 1, 1);
    a.auditor->OnAttemptEnded(1, 1, true);
    CHECK(a.auditor->breaches().empty());
    a.auditor->OnSent(13.1, 0, 1, 1);
    a.Only(BreachKind::kDeduplicatedRepeat);
    a.auditor->OnRan(13.2, 1);
    CHECK(a.auditor->Count(BreachKind::kDeduplicatedRanTwice) == 1);
  }
  SUBCASE("a payment handed back that may have run") {
    Audit a;
    a.Take(1, 2);
    a.auditor->OnSent(1, 0, 1, 1);
    a.auditor->OnAttemptEnded(1, 0, true);
    a.auditor->OnEnded(2, 1, Auditor::End::kRejected);
    a.Only(BreachKind::kUnsafeRejection);
  }
  SUBCASE("sent in a told wait; another relay, and after a restart, may") {
    Audit a;
    a.Take(1, 0);
    a.auditor->OnAccepted(0, 1, 2, 2, 0, 7, 8);
    a.auditor->OnRetryAfterReceived(1, 0, 1, 3);
    a.auditor->OnRetryAfterReceived(1.5, 0, 1, 0.1);  // a shorter one ends nothing
    a.auditor->OnSent(2, 1, 2, 1);
    CHECK(a.auditor->breaches().empty());
    a.auditor->OnSent(3.9, 0, 1, 2);
    a.Only(BreachKind::kSentDuringRetryAfter);
    a.auditor->OnRelayStopped(0, 4);
    a.auditor->OnSent(3.95, 0, 1, 2);
    a.Only(BreachKind::kSentDuringRetryAfter);
  }
  SUBCASE("sent to a drained endpoint after the grace") {
    Audit a;
    a.Take(1, 0);
    a.auditor->OnDrainReceived(1, 0, 1);
    a.auditor->OnSent(2.9, 0, 1, 1);
    CHECK(a.auditor->breaches().empty());
    a.auditor->OnSent(3.1, 0, 1, 1);
    a.Only(BreachKind::kSentToDrained);
  }
  SUBCASE("sent to another destination's endpoint, or to one never listed") {
    Audit a;
    a.Take(1, 0);
    a.auditor->OnSent(1, 0, 1, 3);
    a.auditor->OnSent(1, 0, 1, 99);
    a.Only(BreachKind::kForeignEndpoint, 2);
  }
  SUBCASE("a returning lane pushed over by those who knew") {
    for (const bool knew : {false, true}) {
      Audit a;
      if (knew) a.auditor->OnOutageObserved(0, 1);
      for (int i = 0; i < 30; ++i) a.auditor->OnCallDuringRecovery(20 + i * 0.01, 0, 1, i == 29);
      a.Only(BreachKind::kRecoveryOverload, knew ? 1 : 0);
    }
  }
  SUBCASE("relays that take the parts of others who run still") {
    for (const double parts : {4.0, 3.0, 2.0}) {
      Audit a;
      a.auditor->SetFleetSize(4);
      for (int relay = 0; relay < 3; ++relay) a.auditor->OnShareCount(1, relay, 3);
      a.auditor->OnShareCount(2, 3, parts);
      a.Only(BreachKind::kQuotaExceeded, parts < 4 ? 1 : 0);
      if (parts > 3) continue;
      a.auditor->OnShareReleased(3, 0);
      a.auditor->OnShareCount(3, 3, parts);
      a.Only(BreachKind::kQuotaExceeded, 1);
    }
  }
}

TEST_CASE("lab: the auditor catches what goes out of turn, or while its key rests") {
  RequestClass keyed;
  keyed.idempotency = Idempotency::kIdempotencyKey;
  keyed.deduplication_window = 12;
  Auditor::Rules rules;
  rules.ordered_key_pause = 1;
  Auditor a(rules, {keyed});
  a.OnEndpointListed(1, 7, 1);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    a.OnAccepted(0, 0, id, id, 0, 7, 20);
    a.SetOrderingKey(id, 5);
  }
  a.OnSent(1, 0, 1, 1);
  a.OnAttemptEnded(1, 0, true);
  a.OnMayStillBeRunning(2, 1);
  a.OnSent(2.1, 0, 1, 1);  // the one that has the turn need not rest
  a.OnEnded(2.5, 1, Auditor::End::kDelivered);
  CHECK(a.breaches().empty());
  a.OnSent(2.9, 0, 2, 1);  // the first is over, and still out
  CHECK(a.Count(BreachKind::kOutOfOrder) == 1);
  a.OnAttemptEnded(1, 1, true);
  a.OnMayStillBeRunning(3, 2);
  a.OnAttemptEnded(2, 0, false);
  a.OnEnded(3.1, 2, Auditor::End::kFailed);
  a.OnSent(3.9, 0, 3, 1);  // the second is over, and may still run
  CHECK(a.Count(BreachKind::kOutOfOrder) == 2);
  a.OnAttemptEnded(3, 0, false);
  a.OnSent(4.1, 0, 3, 1);
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
      asked += c.asked;
      delivered += c.delivered;
      CHECK(c.latency.count() == c.delivered);
    }
    for (const Second& second : result.seconds) offered += second.offered;
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
      unconnected += result.unconnected;
      for (const Breach& breach : result.breaches)
        FAIL_CHECK(NameOf(breach.kind), " ", breach.at, " ", breach.trace);
    }
    if (scenario.partners.connections.most > 0) CHECK(unconnected > 0);
  }
}

TEST_CASE("lab: what two tenants send is by their shares, and orders go by key") {
  Scenario scenario = LoadScenario(std::string(SCENARIOS) + "/tenants.json");
  scenario.classes[1].rules.ordered_by_key = true;
  scenario.load.order_keys = 3;
  const World world(scenario, 1);
  Traffic traffic(world, 1);
  int greedy = 0, all = 0;
  while (const auto arrival = traffic.Next()) {
    ++all;
    greedy += arrival->tenant == 0;
    CHECK((arrival->order_key >= 0) == (arrival->message_class == 1));
    CHECK(arrival->order_key < 3);
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
  CHECK(Bootstrap(apart).differs());
  CHECK(Bootstrap(apart).median == doctest::Approx(0.4).epsilon(0.2));
  CHECK(!Bootstrap(same).differs());
}

// ---- links, tier and zones -------------------------------------------------------------------------------

TEST_CASE("lab: links lose, double and cut as they are told, one way, by group and in flaps") {
  LinkSettings plan;
  plan.loss = 0.3;
  plan.duplicate = 0.2;
  LinkCut cut;
  cut.first = 2;
  cut.last = 3;
  cut.direction = LinkCut::Direction::kOutbound;
  cut.from = 10;
  cut.duration = 6;
  cut.cut_time = 1;
  cut.open_time = 2;
  plan.cuts.push_back(cut);
  cut.target = LinkCut::Target::kEndpoints;
  cut.zone = 1;
  cut.cut_time = 0;
  plan.cuts.push_back(cut);
  LinkModel links(plan, 1);
  std::size_t arrived = 0;
  for (int i = 0; i < 10000; ++i) arrived += links.DrawArrivals(5, 0, 1).size();
  CHECK(arrived > 8000);
  CHECK(arrived < 8800);
  for (const double at : {9.9, 10.0, 10.9, 11.5, 13.5, 16.0}) {
    const bool holds = at == 10.0 || at == 10.9 || at == 13.5;
    CHECK(links.IsPeerLinkCut(at, 2, 0) == holds);
    CHECK(!links.IsPeerLinkCut(at, 0, 2));  // one way
    CHECK(!links.IsPeerLinkCut(at, 2, 3));  // within the group
    CHECK(links.IsEndpointLinkCut(at, 3, 1) == (at >= 10 && at < 16));
    CHECK(!links.IsEndpointLinkCut(at, 3, 0));
    CHECK(!links.IsEndpointLinkCut(at, 1, 1));
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
    CHECK(w.lane(e.machine).InOutage(6) == (e.zone == 1));
    CHECK(!w.lane(e.lane).InOutage(6));
    CHECK(w.lane(e.machine).IsRecovering(11) == (e.zone == 1));
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
  for (const StageChange& c : together.stage_changes) {
    out += c.zone == 1 && c.step == "out" && c.at < 10.5;
    in += c.zone == 1 && c.step == "in" && c.at > 16;
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
    for (const StageChange& c : r.stage_changes) elsewhere += c.zone != 1 && !c.heard && c.step == "leaving";
  }
  CHECK(elsewhere == 0);
}

// The first 200 of what `opalroute-lab scripts` plays by the thousand.
TEST_CASE("lab: drawn scripts of faults break no rule, and each gives the same run again") {
  long stages = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    const RunResult r = Simulation(ReadScenario(DrawScript(seed)), seed).Run();
    for (const Breach& b : r.breaches) FAIL_CHECK(NameOf(b.kind), " ", b.at, " ", b.trace);
    stages += static_cast<long>(r.stage_changes.size());
  }
  CHECK(stages > 1000);  // zones were left in many of them
  const Scenario script = ReadScenario(nlohmann::json::parse(DrawScript(3).dump()));
  CHECK(Simulation(script, 3).Run().ToJson() == Simulation(ReadScenario(DrawScript(3)), 3).Run().ToJson());
}

// Endpoints of one partner can do the same, whatever is listed: three relays' draws fall as chance has them.
TEST_CASE("lab: calls fall on the endpoints of a partner as evenly as chance has it") {
  Scenario even = ReadScenarioWith(std::string(SCENARIOS) + "/even.json", {"relays=3"});
  const Evenness seen = Simulation(even, 1).Run().even.Of(10);
  CHECK(seen.counted > 20);
  CHECK(seen.jain > seen.jain_by_chance - 0.01);
  CHECK(seen.idle == 0);
}

TEST_CASE("lab: a relay that is thawed between two steps of the clock goes on") {
  nlohmann::json day = Small();
  day["relay_faults"] = {{{"kind", "freeze"}, {"relay", 0}, {"at_s", 6.88}, {"down_s", 5.01}}};
  const RunResult r = Simulation(ReadScenario(day), 1).Run();
  CHECK(r.events < 1000000);
  CHECK(r.breaches.empty());
}

TEST_CASE("lab: evenness is told beside what chance alone gives") {
  EvenCount even, skewed;
  for (int second = 0; second < 20; ++second)
    for (int call = 0; call < 90; ++call) {
      even.Call(second + 0.5, 1, static_cast<EndpointId>(call % 3 + 1), 2);
      skewed.Call(second + 0.5, 1, call % 9 < 6 ? 1U : static_cast<EndpointId>(call % 2 + 2), 1);
    }
  even.Call(3, 2, 9, 1);  // an endpoint alone says nothing
  const Evenness e = even.Of(1), s = skewed.Of(10);
  CHECK(e.counted == 20);
  CHECK(e.jain == doctest::Approx(1));
  CHECK(e.most == doctest::Approx(1));
  CHECK(e.jain_by_chance < 0.99);  // of 90 draws among three
  CHECK(e.jain_by_chance > 0.96);
  CHECK(e.most_by_chance > 1.05);
  CHECK(s.counted == 2);
  CHECK(s.jain < 0.8);
  CHECK(s.most == doctest::Approx(2));
  CHECK(s.idle == 0);
  // Parts count: twice as many calls for twice the part are even.
  EvenCount parts;
  for (int call = 0; call < 90; ++call) parts.Call(0.5, 1, call % 3 == 0 ? 1U : 2U, call % 3 == 0 ? 1 : 2);
  CHECK(parts.Of(1).jain == doctest::Approx(1));
}

}  // namespace
}  // namespace opalroute::lab
