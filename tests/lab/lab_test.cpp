// Tests the laboratory: scenario files, the models against values computed by hand, the auditor,
// deterministic runs.
#include <doctest/doctest.h>

#include <cmath>
#include <filesystem>

#include "config/fields.h"
#include "lab/auditor.h"
#include "lab/evenness.h"
#include "lab/event_queue.h"
#include "lab/fault_script.h"
#include "lab/simulation.h"
#include "lab/statistics.h"

namespace opalroute::lab {
namespace {

using nlohmann::json;

// ---- event queues --------------------------------------------------------------------------------------

template <typename Queue>
std::vector<std::uint64_t> PopOrder(std::uint64_t seed) {
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

TEST_CASE("lab: both event queues pop in the same order, events of one time first in, first out") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    CHECK(PopOrder<HeapQueue<std::uint32_t>>(seed) == PopOrder<CalendarQueue<std::uint32_t>>(seed));
}

// ---- scenarios -------------------------------------------------------------------------------------------

std::string ErrorOf(const json& file) {
  try {
    ReadScenario(file);
  } catch (const config::FieldError& error) {
    return error.what();
  }
  return {};
}

TEST_CASE("lab: every error in a scenario is reported with the path of its key") {
  CHECK(ErrorOf(json::object()).empty());
  CHECK(ErrorOf({{"relays", 0}}) == "'relays' must be a whole number from 1 to 1000");
  CHECK(ErrorOf({{"load", {{"rate", "fast"}}}}) == "'load.rate' must be a number from 0.01 to 1000000.0");
  CHECK(ErrorOf({{"load", {{"burst", 1}}}}) == "'load.burst' is not known");
  CHECK(ErrorOf({{"troubles", {{{"kind", "flood"}, {"share", 0.1}}}}}) ==
        "'troubles[0].kind' must be one of shut, refuse, hang, reset, errors, slow, spoilt, vanish");
  CHECK(ErrorOf({{"troubles", {{{"kind", "shut"}, {"partner", 10}}}}}).find("'troubles[0].partner'") == 0);
  CHECK(ErrorOf({{"relay_faults", {{{"kind", "kill"}, {"relay", 2}}}}}) ==
        "'relay_faults[0].relay' must be a whole number from 0 to 1");
  CHECK(ErrorOf({{"partners", {{"endpoints", {4, 1}}}}}).find("'partners.endpoints' must be two numbers") ==
        0);
  CHECK(ErrorOf({{"relays", 0}, {"zap", 1}}).find("; ") != std::string::npos);  // all errors together
  json file = json::object();
  SetByPath(file, "load.rate=30");
  SetByPath(file, "name=x");
  CHECK(file == json{{"load", {{"rate", 30}}}, {"name", "x"}});
  CHECK_THROWS_AS(SetByPath(file, "load"), config::FieldError);
}

TEST_CASE("lab: the included scenarios are valid") {
  int count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIOS)) {
    CAPTURE(entry.path().string());
    CHECK_NOTHROW(LoadScenario(entry.path().string()));
    ++count;
  }
  CHECK(count >= 10);
}

// ---- route model -----------------------------------------------------------------------------------------

TEST_CASE("lab: a token bucket and a limit per window accept as many calls as computed by hand") {
  RouteSettings s;
  s.rate_limit = 10;
  s.retry_after_share = 1;
  s.retry_after = 0.3;
  s.rejected_calls_count = false;
  RouteModel rate(s, {}, 1);
  int served = 0;
  for (int i = 0; i < 3000; ++i)
    served += rate.HandleCall(100 + i * 0.01).status == RouteModel::CallStatus::kServed;
  CHECK(served >= 300);  // 30 s at 10 a second, and a burst of half a second
  CHECK(served <= 306);
  s.window = 1;
  RouteModel window(s, {}, 1);
  served = 0;
  for (int i = 0; i < 100; ++i)
    served += window.HandleCall(200.2 + i * 0.001).status == RouteModel::CallStatus::kServed;
  CHECK(served == 10);
  const auto rejected = window.HandleCall(200.4);
  CHECK(rejected.status == RouteModel::CallStatus::kRejected);
  CHECK(rejected.retry_after == doctest::Approx(0.6));  // to the end of the window
  CHECK(window.HandleCall(201).status == RouteModel::CallStatus::kServed);
}

TEST_CASE("lab: a route recovers gradually after an outage, and collapses under too much load meanwhile") {
  RouteSettings s;
  s.capacity = 50;
  s.retry_after_share = 1;
  RouteModel route(s, {{RouteFaultKind::kRejectAll, 10, 20}}, 1);
  CHECK(route.CapacityAt(9) == 50);
  CHECK(route.CapacityAt(15) == 0);
  CHECK(route.InOutage(15));
  CHECK(route.HandleCall(15).retry_after == doctest::Approx(5));
  CHECK(route.CapacityAt(20) == doctest::Approx(11));  // 22%
  CHECK(route.CapacityAt(26.5) == doctest::Approx(30.5));
  CHECK(route.CapacityAt(33) == doctest::Approx(50));
  CHECK(route.IsRecovering(32.9));
  CHECK(!route.IsRecovering(33));
  // At 20 s it tolerates 2 x 11 x 2 = 44 calls in 2 s, and two standard deviations of sqrt(44) more: it
  // collapses at the 58th.
  int calls = 0;
  while (!route.collapsed() && calls < 200) {
    route.HandleCall(20 + calls * 1e-6);
    ++calls;
  }
  CHECK(calls == 58);
  CHECK(route.HandleCall(40).status == RouteModel::CallStatus::kRejected);
  RouteModel moderate(s, {{RouteFaultKind::kRejectAll, 10, 20}}, 1);
  for (int i = 0; i < 200; ++i) moderate.HandleCall(20 + i * 0.05);  // 20 a second
  CHECK(!moderate.collapsed());
}

TEST_CASE("lab: a recovering route bears the calls that the standing test allows, and not one more") {
  struct Allowance {
    double allowed;
    int most;  // by the rule's formula, rounded down
  };
  for (const auto& [allowed, most] : {Allowance{1, 7}, {4.4, 12}, {29, 45}, {30, 41}, {88, 106}}) {
    CAPTURE(allowed);
    RouteSettings s;
    s.overload_factor = 1;
    s.overload_window = 1;
    s.initial_capacity_share = 1;
    s.capacity = allowed;
    RouteModel route(s, {{RouteFaultKind::kRejectAll, 10, 20}}, 1);
    for (int i = 0; i < most; ++i) CHECK(!route.HandleCall(20 + i * 0.001).caused_collapse);
    CHECK(route.HandleCall(20.9).caused_collapse);
  }
}

TEST_CASE("lab: two workers with a queue of one call take the times computed by hand") {
  RouteSettings s;
  s.capacity = 10;
  s.mean_latency = 0.2;  // two workers
  s.latency_cv = 0;
  s.max_queued_calls = 1;
  s.retry_after_share = 1;
  RouteModel route(s, {}, 1);
  CHECK(route.HandleCall(1).duration == doctest::Approx(0.2));
  CHECK(route.HandleCall(1.1).duration == doctest::Approx(0.2));
  CHECK(route.HandleCall(1.1).duration == doctest::Approx(0.3));  // starts at 1.2
  const auto rejected = route.HandleCall(1.15);
  CHECK(rejected.status == RouteModel::CallStatus::kRejected);
  CHECK(!rejected.ran);
  CHECK(rejected.retry_after == doctest::Approx(0.15));             // until 1.3, when the next worker is free
  CHECK(route.HandleCall(1.25).duration == doctest::Approx(0.25));  // the workers are busy until 1.3 and 1.4
}

TEST_CASE("lab: an unreachable route runs no call, and one with invalid responses runs all") {
  RouteModel route(
      {}, {{RouteFaultKind::kUnreachable, 10, 20}, {RouteFaultKind::kInvalidResponses, 30, 40, 0.4}}, 1);
  CHECK(route.IsUnreachable(15));
  CHECK(route.InOutage(15));
  CHECK(!route.RefusesConnections(15));
  const auto silent = route.HandleCall(15);
  CHECK(silent.status == RouteModel::CallStatus::kNoResponse);
  CHECK(!silent.ran);
  CHECK(route.IsRecovering(21));
  CHECK(!route.InOutage(35));  // most calls get valid responses
  int invalid = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto result = route.HandleCall(36 + i * 0.001);
    CHECK(result.ran);
    invalid += result.status == RouteModel::CallStatus::kInvalidResponse;
  }
  CHECK(invalid > 340);
  CHECK(invalid < 460);
}

// ---- auditor ---------------------------------------------------------------------------------------------

class AuditorFixture {
 public:
  AuditorFixture() {
    RequestClass idempotent, deduplicated, non_idempotent;
    deduplicated.idempotency = Idempotency::kIdempotencyKey;
    deduplicated.deduplication_window = 12;
    non_idempotent.idempotency = Idempotency::kNonIdempotent;
    auditor = std::make_unique<Auditor>(Auditor::Rules{},
                                        std::vector<RequestClass>{idempotent, deduplicated, non_idempotent});
    auditor->OnEndpointListed(1, 7, 1);
    auditor->OnEndpointListed(2, 7, 1);
    auditor->OnEndpointListed(3, 8, 3);
  }
  void Accept(std::uint64_t id, int message_class, Seconds now = 0) {
    auditor->OnAccepted(now, 0, id, 100 + id, message_class, 7, now + 8);
  }
  void CheckOnly(BreachKind kind, int count = 1) {
    CHECK(auditor->breaches().size() == static_cast<std::size_t>(count));
    CHECK(auditor->Count(kind) == count);
  }
  std::unique_ptr<Auditor> auditor;
};

TEST_CASE("lab: the auditor reports nothing if the rules are kept") {
  AuditorFixture a;
  for (int c = 0; c < 3; ++c) {
    a.Accept(static_cast<std::uint64_t>(c), c);
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

TEST_CASE("lab: the auditor reports breaches") {
  SUBCASE("a message that ends twice") {
    AuditorFixture a;
    a.Accept(1, 0);
    a.auditor->OnEnded(1, 1, Auditor::End::kFailed);
    a.auditor->OnEnded(2, 1, Auditor::End::kRejected);
    a.CheckOnly(BreachKind::kTwoAnswers);
  }
  SUBCASE("a message that has not ended in time") {
    AuditorFixture a;
    a.Accept(1, 0);
    a.auditor->CheckDeadlines(8.06);
    CHECK(a.auditor->breaches().empty());
    a.auditor->CheckDeadlines(8.08);
    a.CheckOnly(BreachKind::kNoAnswer);
  }
  SUBCASE("a message of a stopped relay that has not ended by the extended deadline") {
    AuditorFixture a;
    a.Accept(1, 0);
    a.auditor->OnRelayStopped(0, 10);
    a.auditor->CheckDeadlines(9.9);
    CHECK(a.auditor->breaches().empty());
    a.auditor->CheckDeadlines(10.1);
    a.CheckOnly(BreachKind::kNoAnswer);
  }
  SUBCASE("a message sent after its end") {
    AuditorFixture a;
    a.Accept(1, 0);
    a.auditor->OnEnded(1, 1, Auditor::End::kFailed);
    a.auditor->OnSent(2, 0, 1, 1);
    a.CheckOnly(BreachKind::kSentAfterEnd);
  }
  SUBCASE(
      "a non-idempotent message sent again while an attempt is in flight, and after one that may have run") {
    AuditorFixture a;
    a.Accept(1, 2);
    a.auditor->OnSent(1, 0, 1, 1);
    a.auditor->OnSent(1.1, 0, 1, 2);
    a.CheckOnly(BreachKind::kNonIdempotentRepeat);
    a.auditor->OnAttemptEnded(1, 0, true);
    a.auditor->OnAttemptEnded(1, 1, false);
    a.auditor->OnSent(2, 0, 1, 2);
    a.CheckOnly(BreachKind::kNonIdempotentRepeat, 2);
  }
  SUBCASE("a non-idempotent message that ran twice, under the ids of two submissions") {
    AuditorFixture a;
    a.auditor->OnAccepted(0, 0, 1, 50, 2, 7, 8);
    a.auditor->OnAccepted(0, 1, 2, 50, 2, 7, 8);
    a.auditor->OnRan(1, 1);
    a.auditor->OnRan(2, 2);
    a.CheckOnly(BreachKind::kNonIdempotentRanTwice);
  }
  SUBCASE("a deduplicated message sent again after its window, and run again") {
    AuditorFixture a;
    a.auditor->OnAccepted(0, 0, 1, 50, 1, 7, 30);
    a.auditor->OnSent(1, 0, 1, 1);
    a.auditor->OnRan(1.1, 1);
    a.auditor->OnAttemptEnded(1, 0, true);
    a.auditor->OnSent(12.9, 0, 1, 1);
    a.auditor->OnAttemptEnded(1, 1, true);
    CHECK(a.auditor->breaches().empty());
    a.auditor->OnSent(13.1, 0, 1, 1);
    a.CheckOnly(BreachKind::kDeduplicatedRepeat);
    a.auditor->OnRan(13.2, 1);
    CHECK(a.auditor->Count(BreachKind::kDeduplicatedRanTwice) == 1);
  }
  SUBCASE("a non-idempotent message rejected though it may have run") {
    AuditorFixture a;
    a.Accept(1, 2);
    a.auditor->OnSent(1, 0, 1, 1);
    a.auditor->OnAttemptEnded(1, 0, true);
    a.auditor->OnEnded(2, 1, Auditor::End::kRejected);
    a.CheckOnly(BreachKind::kUnsafeRejection);
  }
  SUBCASE("a message sent during a Retry-After, which binds no other relay, nor the next process") {
    AuditorFixture a;
    a.Accept(1, 0);
    a.auditor->OnAccepted(0, 1, 2, 2, 0, 7, 8);
    a.auditor->OnRetryAfterReceived(1, 0, 1, 3);
    a.auditor->OnRetryAfterReceived(1.5, 0, 1, 0.1);  // a shorter one doesn't replace the longer
    a.auditor->OnSent(2, 1, 2, 1);
    CHECK(a.auditor->breaches().empty());
    a.auditor->OnSent(3.9, 0, 1, 2);
    a.CheckOnly(BreachKind::kSentDuringRetryAfter);
    a.auditor->OnRelayStopped(0, 4);
    a.auditor->OnSent(3.95, 0, 1, 2);
    a.CheckOnly(BreachKind::kSentDuringRetryAfter);
  }
  SUBCASE("a message sent to a draining endpoint after the grace period") {
    AuditorFixture a;
    a.Accept(1, 0);
    a.auditor->OnDrainReceived(1, 0, 1);
    a.auditor->OnSent(2.9, 0, 1, 1);
    CHECK(a.auditor->breaches().empty());
    a.auditor->OnSent(3.1, 0, 1, 1);
    a.CheckOnly(BreachKind::kSentToDrained);
  }
  SUBCASE("a message sent to an endpoint of another destination, or to one never listed") {
    AuditorFixture a;
    a.Accept(1, 0);
    a.auditor->OnSent(1, 0, 1, 3);
    a.auditor->OnSent(1, 0, 1, 99);
    a.CheckOnly(BreachKind::kForeignEndpoint, 2);
  }
  SUBCASE("a recovering route that collapses under calls from relays that knew of the outage") {
    for (const bool informed : {false, true}) {
      AuditorFixture a;
      if (informed) a.auditor->OnOutageObserved(0, 0, 1);
      for (int i = 0; i < 30; ++i) a.auditor->OnCallDuringRecovery(20 + i * 0.01, 0, 1, 0, i == 29);
      a.CheckOnly(BreachKind::kRecoveryOverload, informed ? 1 : 0);
    }
  }
  SUBCASE("a recovering route that collapses under a relay that forgets the outage at its restart") {
    AuditorFixture a;
    a.auditor->OnOutageObserved(12, 0, 1);
    a.auditor->OnRelayStopped(0, 14);
    for (int i = 0; i < 30; ++i) a.auditor->OnCallDuringRecovery(20 + i * 0.01, 0, 1, 0, i == 29);
    a.CheckOnly(BreachKind::kRecoveryOverload);
    CHECK(a.auditor->breaches().front().trace.find("0:30 (informed at 12.0") != std::string::npos);
  }
  SUBCASE("a recovering route that collapses under the calls of relays of which a third knew nothing") {
    for (const int uninformed : {10, 11}) {
      AuditorFixture a;
      a.auditor->OnOutageObserved(12, 0, 1);
      for (int i = 0; i < 30; ++i)
        a.auditor->OnCallDuringRecovery(20 + i * 0.01, i < uninformed ? 1 : 0, 1, 0, i == 29);
      a.CheckOnly(BreachKind::kRecoveryOverload, uninformed == 10 ? 1 : 0);
    }
  }
  SUBCASE("a recovering route that collapses under relays that knew of an earlier outage alone") {
    for (const Seconds outage_start : {12.0, 12.1}) {
      AuditorFixture a;
      a.auditor->OnOutageObserved(12, 0, 1);
      for (int i = 0; i < 30; ++i)
        a.auditor->OnCallDuringRecovery(20 + i * 0.01, 0, 1, outage_start, i == 29);
      a.CheckOnly(BreachKind::kRecoveryOverload, outage_start <= 12 ? 1 : 0);
    }
  }
  SUBCASE("relays that use the shares of others that still run") {
    for (const double share_count : {4.0, 3.0, 2.0}) {
      AuditorFixture a;
      a.auditor->SetFleetSize(4);
      for (int relay = 0; relay < 3; ++relay) a.auditor->OnShareCount(1, relay, 3);
      a.auditor->OnShareCount(2, 3, share_count);
      a.CheckOnly(BreachKind::kQuotaExceeded, share_count < 4 ? 1 : 0);
      if (share_count > 3) continue;
      a.auditor->OnShareReleased(3, 0);
      a.auditor->OnShareCount(3, 3, share_count);
      a.CheckOnly(BreachKind::kQuotaExceeded, 1);
    }
  }
}

TEST_CASE("lab: the auditor reports messages sent out of order, or while their key is paused") {
  RequestClass deduplicated;
  deduplicated.idempotency = Idempotency::kIdempotencyKey;
  deduplicated.deduplication_window = 12;
  Auditor::Rules rules;
  rules.ordered_key_pause = 1;
  Auditor a(rules, {deduplicated});
  a.OnEndpointListed(1, 7, 1);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    a.OnAccepted(0, 0, id, id, 0, 7, 20);
    a.SetOrderingKey(id, 5);
  }
  a.OnSent(1, 0, 1, 1);
  a.OnAttemptEnded(1, 0, true);
  a.OnMayStillBeRunning(2, 1);
  a.OnSent(2.1, 0, 1, 1);  // the pause doesn't apply to the message that caused it
  a.OnEnded(2.5, 1, Auditor::End::kDelivered);
  CHECK(a.breaches().empty());
  a.OnSent(2.9, 0, 2, 1);  // the first has ended, but an attempt is still in flight
  CHECK(a.Count(BreachKind::kOutOfOrder) == 1);
  a.OnAttemptEnded(1, 1, true);
  a.OnMayStillBeRunning(3, 2);
  a.OnAttemptEnded(2, 0, false);
  a.OnEnded(3.1, 2, Auditor::End::kFailed);
  a.OnSent(3.9, 0, 3, 1);  // the second has ended, but may still be running
  CHECK(a.Count(BreachKind::kOutOfOrder) == 2);
  a.OnAttemptEnded(3, 0, false);
  a.OnSent(4.1, 0, 3, 1);
  CHECK(a.breaches().size() == 2);
}

// ---- runs ------------------------------------------------------------------------------------------------

json SmallScenario() {
  return {{"relays", 2},
          {"lasts_s", 20},
          {"load", {{"rate", 30}, {"clump_share", 0.15}}},
          {"partners", {{"count", 8}, {"apart", 0.3}, {"bundle", 5}}},
          {"troubles", {{{"kind", "shut"}, {"share", 0.2}, {"from_s", 5}, {"lasts_s", 6}}}},
          {"pool_changes", {{{"kind", "replace"}, {"at_s", 8}, {"share", 0.3}}}},
          {"relay_faults", {{{"kind", "kill"}, {"relay", 0}, {"at_s", 9}, {"down_s", 1}}}}};
}

TEST_CASE("lab: the same seed gives the same run, byte for byte, and another seed another run") {
  const Scenario scenario = ReadScenario(SmallScenario());
  const std::string first = Simulation(scenario, 1).Run().ToJson().dump();
  CHECK(first == Simulation(scenario, 1).Run().ToJson().dump());
  CHECK(first != Simulation(scenario, 2).Run().ToJson().dump());
}

TEST_CASE("lab: runs count every message and break no rule") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const RunResult result = Simulation(ReadScenario(SmallScenario()), seed).Run();
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

TEST_CASE(
    "lab: scenarios with few connections, unreachable machines, ordering keys or tenants break no rule") {
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

TEST_CASE(
    "lab: two tenants send by their shares, and only messages of an ordered class carry ordering keys") {
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

TEST_CASE("lab: a bootstrap interval shows a difference that exists, and none otherwise") {
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

// ---- links, fleet and zones ------------------------------------------------------------------------------

TEST_CASE(
    "lab: links lose and duplicate datagrams, and cuts are one-way, by group and flapping, as configured") {
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
    const bool is_cut = at == 10.0 || at == 10.9 || at == 13.5;
    CHECK(links.IsPeerLinkCut(at, 2, 0) == is_cut);
    CHECK(!links.IsPeerLinkCut(at, 0, 2));  // one way
    CHECK(!links.IsPeerLinkCut(at, 2, 3));  // within the group
    CHECK(links.IsEndpointLinkCut(at, 3, 1) == (at >= 10 && at < 16));
    CHECK(!links.IsEndpointLinkCut(at, 3, 0));
    CHECK(!links.IsEndpointLinkCut(at, 1, 1));
  }
}

TEST_CASE("lab: a zone outage affects only the machines of that zone where endpoints share a limit") {
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
    CHECK(w.route(e.machine_route).InOutage(6) == (e.zone == 1));
    CHECK(!w.route(e.route).InOutage(6));
    CHECK(w.route(e.machine_route).IsRecovering(11) == (e.zone == 1));
    out += e.zone == 1;
  }
  CHECK(out > 10);
}

// Thirty relays; one zone of three refuses new connections from 8 s to 16 s.
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

// Thirty relays with few calls each: alone, each has to detect the outage by its own failed calls, again and
// again; together they evacuate the zone.
TEST_CASE("lab: thirty relays evacuate a failing zone together, and return without a collapse") {
  nlohmann::json file = RefusingZone(32);
  const auto calls_to_failing_zone = [](const RunResult& r, std::size_t from, std::size_t to) {
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
  CHECK(calls_to_failing_zone(alone, 11, 16) > 2 * calls_to_failing_zone(together, 11, 16));
  CHECK(calls_to_failing_zone(together, 26, 30) > 60);
  int out = 0, in = 0;
  for (const ZonePhaseChange& c : together.zone_phase_changes) {
    out += c.zone == 1 && c.phase == "out" && c.at < 10.5;
    in += c.zone == 1 && c.phase == "in" && c.at > 16;
    CHECK(c.zone == 1);
  }
  CHECK(out >= 29);
  CHECK(in >= 30);
}

// Calls on open connections are still served while new connections are refused, so a zone is back in service
// before its routes have recovered.
TEST_CASE("lab: a zone that returns too early collapses no route, and rate limits evacuate no other zone") {
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

// The first 200 of the scripts that `opalroute-lab scripts` runs by the thousand.
TEST_CASE("lab: random scripts of faults break no rule, and running one again gives the same result") {
  long stage_changes = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    const RunResult r = Simulation(ReadScenario(DrawFaultScript(seed)), seed).Run();
    for (const Breach& b : r.breaches) FAIL_CHECK(NameOf(b.kind), " ", b.at, " ", b.trace);
    stage_changes += static_cast<long>(r.zone_phase_changes.size());
  }
  CHECK(stage_changes > 1000);  // many of the scripts evacuate zones
  const Scenario script = ReadScenario(nlohmann::json::parse(DrawFaultScript(3).dump()));
  CHECK(Simulation(script, 3).Run().ToJson() ==
        Simulation(ReadScenario(DrawFaultScript(3)), 3).Run().ToJson());
}

// All endpoints of a partner have the same capacity, whatever rate is listed. The calls of three relays must
// be spread as evenly as independent random choices would spread them.
TEST_CASE("lab: calls are spread over the endpoints of a partner as evenly as by random choice") {
  Scenario even = ReadScenarioWithOverrides(std::string(SCENARIOS) + "/even.json", {"relays=3"});
  const Evenness seen = Simulation(even, 1).Run().evenness.Compute(10);
  CHECK(seen.spans > 20);
  CHECK(seen.jain > seen.jain_random - 0.01);
  CHECK(seen.idle_spans == 0);
}

TEST_CASE("lab: a relay resumes after a freeze that ends between two microseconds of simulated time") {
  nlohmann::json file = SmallScenario();
  file["relay_faults"] = {{{"kind", "freeze"}, {"relay", 0}, {"at_s", 6.88}, {"down_s", 5.01}}};
  const RunResult r = Simulation(ReadScenario(file), 1).Run();
  CHECK(r.events < 1000000);
  CHECK(r.breaches.empty());
}

TEST_CASE("lab: evenness is reported with the value that random choice alone gives") {
  EvennessCounter even, skewed;
  for (int second = 0; second < 20; ++second)
    for (int call = 0; call < 90; ++call) {
      even.CountCall(second + 0.5, 1, static_cast<EndpointId>(call % 3 + 1), 2);
      skewed.CountCall(second + 0.5, 1, call % 9 < 6 ? 1U : static_cast<EndpointId>(call % 2 + 2), 1);
    }
  even.CountCall(3, 2, 9, 1);  // a destination with one endpoint isn't counted
  const Evenness e = even.Compute(1), s = skewed.Compute(10);
  CHECK(e.spans == 20);
  CHECK(e.jain == doctest::Approx(1));
  CHECK(e.max_over_mean == doctest::Approx(1));
  CHECK(e.jain_random < 0.99);  // of 90 random choices among three
  CHECK(e.jain_random > 0.96);
  CHECK(e.max_over_mean_random > 1.05);
  CHECK(s.spans == 2);
  CHECK(s.jain < 0.8);
  CHECK(s.max_over_mean == doctest::Approx(2));
  CHECK(s.idle_spans == 0);
  // Weighted: twice as many calls to an endpoint of twice the weight are even.
  EvennessCounter weighted;
  for (int call = 0; call < 90; ++call)
    weighted.CountCall(0.5, 1, call % 3 == 0 ? 1U : 2U, call % 3 == 0 ? 1 : 2);
  CHECK(weighted.Compute(1).jain == doctest::Approx(1));
}

}  // namespace
}  // namespace opalroute::lab
