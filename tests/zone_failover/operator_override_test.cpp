// Tests of operators' overrides on a simulated clock: they reach all relays, take effect, and expire.
#include <doctest/doctest.h>

#include <numeric>

#include "admin/zone_command.h"
#include "config/fields.h"
#include "tests/zone_failover/simulated_calls.h"

namespace opalroute {
namespace {

using zone_failover::EvacuationPhase;
using zone_failover::OverrideKind;

int CountWithOverride(SimulatedFleet& fleet, int zone, OverrideKind kind) {
  int count = 0;
  for (int relay = 0; relay < fleet.size(); ++relay)
    count += fleet.IsUp(relay) && fleet[relay].ActiveOverride(fleet.now, zone) == kind;
  return count;
}

TEST_CASE(
    "zone failover: an evacuation issued at one relay reaches all, and none calls the zone until it "
    "expires") {
  for (const double loss : {0.0, 0.2, 0.6}) {
    CAPTURE(loss);
    lab::LinkSettings links;
    links.loss = loss;
    SimulatedFleet fleet(FailoverOptionsFor(40), links, 3);
    SimulatedCalls calls(fleet, 4, [](int, int, int) { return CallResult{}; });
    fleet.StartAll();
    calls.RunUntil(104);
    fleet.IssueOverride(7, 1, OverrideKind::kEvacuate, 10);
    CHECK(fleet[7].ActiveOverride(fleet.now, 1) == OverrideKind::kEvacuate);
    calls.RunUntil(loss > 0.5 ? 109 : 106);
    CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 40);
    calls.calls_by_zone.clear();
    calls.RunUntil(113.9);
    CHECK(calls.calls_by_zone[1] == 0);
    CHECK(calls.calls_by_zone[0] > 100);
    calls.RunUntil(114.6);  // each hop of gossip adds at most 0.1 s to the remaining time
    CHECK(CountWithOverride(fleet, 1, OverrideKind::kEvacuate) == 0);
    CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 0);
    calls.RunUntil(124);  // health checks have succeeded
    CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 0);
    calls.RunUntil(130);
    CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 40);
  }
}

TEST_CASE(
    "zone failover: keep-in-service keeps a failing zone in service, and lets an evacuated one recover") {
  SimulatedFleet fleet(FailoverOptionsFor(24), {}, 4);
  const Seconds fails_at = 104;
  SimulatedCalls calls(fleet, 4, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= fails_at ? FailedCall(Outcome::kConnectFailed) : CallResult{};
  });
  fleet.StartAll();
  calls.RunUntil(103);
  fleet.IssueOverride(0, 1, OverrideKind::kKeepInService, 7);
  calls.RunUntil(109.9);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 24);
  calls.RunUntil(114);  // the override has expired, and the zone's health decides again
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 24);
  fleet.IssueOverride(23, 1, OverrideKind::kKeepInService, 30);
  calls.RunUntil(120);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 24);
  for (const auto& change : fleet.changes) CHECK(change.zone == 1);
}

TEST_CASE(
    "zone failover: the latest override wins if it is revoked or issued in a partition, or while a relay is "
    "frozen") {
  lab::LinkSettings links;
  lab::LinkCut cut;
  cut.first = 0;
  cut.last = 9;
  cut.from = 106;
  cut.duration = 8;
  links.cuts.push_back(cut);
  SimulatedFleet fleet(FailoverOptionsFor(20), links, 5);
  SimulatedCalls calls(fleet, 4, [](int, int, int) { return CallResult{}; });
  fleet.StartAll();
  calls.RunUntil(103);
  fleet.IssueOverride(3, 0, OverrideKind::kEvacuate, 600);
  calls.RunUntil(105);
  CHECK(CountInPhase(fleet, 0, EvacuationPhase::kEvacuated) == 20);
  fleet.Freeze(12, 118);
  calls.RunUntil(107);
  fleet.IssueOverride(15, 0, OverrideKind::kNone, 0);             // reaches relays 10 to 19
  fleet.IssueOverride(2, 2, OverrideKind::kEvacuate, 600);        // reaches relays 0 to 9
  fleet.IssueOverride(16, 2, OverrideKind::kKeepInService, 600);  // reaches relays 10 to 19
  calls.RunUntil(112);
  CHECK(CountWithOverride(fleet, 0, OverrideKind::kEvacuate) == 11);  // relays 0 to 9 and the frozen one
  CHECK(CountWithOverride(fleet, 2, OverrideKind::kEvacuate) == 10);
  calls.RunUntil(117);
  CHECK(CountWithOverride(fleet, 0, OverrideKind::kEvacuate) == 1);
  calls.RunUntil(121);
  CHECK(CountWithOverride(fleet, 0, OverrideKind::kEvacuate) == 0);
  // Both overrides have the same sequence, so the one of the greater issuer wins.
  CHECK(CountWithOverride(fleet, 2, OverrideKind::kKeepInService) == 20);
  calls.RunUntil(145);
  for (int zone = 0; zone < kZones; ++zone)
    CHECK(CountInPhase(fleet, zone, EvacuationPhase::kInService) == 20);
}

TEST_CASE(
    "zone failover: an override survives the restart of all relays if one of them keeps its state folder") {
  SimulatedFleet fleet(FailoverOptionsFor(9), {}, 6);
  fleet.StartAll();
  fleet.RunUntil(103);
  fleet.IssueOverride(1, 1, OverrideKind::kEvacuate, 30);
  fleet.RunUntil(105);
  // Only relay 4 keeps its state folder.
  for (int relay = 0; relay < 9; ++relay) fleet.Kill(relay, relay != 4);
  fleet.StartAll();
  fleet.RunUntil(109);
  CHECK(CountWithOverride(fleet, 1, OverrideKind::kEvacuate) == 9);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 9);
  fleet.RunUntil(133.6);
  CHECK(CountWithOverride(fleet, 1, OverrideKind::kEvacuate) == 0);
}

TEST_CASE(
    "zone failover: the remaining time of an override neither grows nor shrinks as relays exchange it") {
  zone_failover::OperatorOverrides first(1), second(1);
  const Seconds expires_at = first.Issue(100, 0, OverrideKind::kEvacuate, 60, 2).expires_at;
  for (Seconds now = 100; now < 159; now += 0.037) {
    for (auto [from, to] : {std::pair(&first, &second), std::pair(&second, &first)}) {
      zone_failover::ZoneGossip gossip;
      gossip.states.resize(1);
      gossip.overrides = from->ForGossip(now);
      const auto decoded = zone_failover::DecodeZoneGossip(zone_failover::EncodeZoneGossip(gossip));
      REQUIRE(decoded);
      zone_failover::OperatorOverride received = decoded->overrides.at(0);
      received.expires_at += now + 0.011;
      to->Merge(now + 0.011, 0, received);
    }
  }
  CHECK(first.Get(0).expires_at == expires_at);
  CHECK(second.Get(0).expires_at >= expires_at);
  CHECK(second.Get(0).expires_at < expires_at + 0.12);
}

TEST_CASE(
    "zone failover: overrides merge to the same result in every order and with every loss; invalid ones are "
    "ignored") {
  const std::vector<zone_failover::OperatorOverride> sent = {{1, 3, OverrideKind::kEvacuate, 50},
                                                             {1, 4, OverrideKind::kKeepInService, 60},
                                                             {2, 0, OverrideKind::kNone, 40},
                                                             {1, 3, OverrideKind::kEvacuate, 49.9},
                                                             {2, 1, OverrideKind::kEvacuate, 55},
                                                             {3, 0, OverrideKind::kKeepInService, 1e9},
                                                             {1ULL << 60, 0, OverrideKind::kEvacuate, 50}};
  std::vector<int> order(sent.size());
  std::iota(order.begin(), order.end(), 0);
  for (unsigned received_bits = 1; received_bits < 128; ++received_bits) {
    std::optional<zone_failover::OperatorOverride> expected;
    do {
      zone_failover::OperatorOverrides overrides(1);
      for (const int i : order)
        if ((received_bits >> i & 1U) != 0) overrides.Merge(10, 0, sent[static_cast<std::size_t>(i)]);
      const zone_failover::OperatorOverride& merged = overrides.Get(0);
      if (!expected) expected = merged;
      REQUIRE(merged.sequence == expected->sequence);
      REQUIRE(merged.issued_by == expected->issued_by);
      REQUIRE(merged.expires_at == expected->expires_at);
      REQUIRE(merged.sequence < 3);  // the last two of `sent` are invalid
    } while (std::next_permutation(order.begin(), order.end()));
  }
}

TEST_CASE("zone failover: overrides in gossip decode to what was encoded, and truncated gossip is rejected") {
  zone_failover::ZoneGossip gossip;
  gossip.states.resize(2);
  gossip.overrides = {{}, {300, 299, OverrideKind::kKeepInService, 12.34}};
  for (const bool has_report : {false, true}) {
    if (has_report) gossip.report = zone_failover::Report(2);
    const std::string bytes = zone_failover::EncodeZoneGossip(gossip);
    const auto decoded = zone_failover::DecodeZoneGossip(bytes);
    REQUIRE(decoded);
    CHECK(decoded->report.has_value() == has_report);
    REQUIRE(decoded->overrides.size() == 2);
    CHECK(decoded->overrides[0].sequence == 0);
    CHECK(decoded->overrides[1].sequence == 300);
    CHECK(decoded->overrides[1].issued_by == 299);
    CHECK(decoded->overrides[1].kind == OverrideKind::kKeepInService);
    CHECK(decoded->overrides[1].expires_at == doctest::Approx(12.4));  // rounded up
    for (std::size_t size = 0; size < bytes.size(); ++size)
      CHECK(!zone_failover::DecodeZoneGossip(bytes.substr(0, size)));
    CHECK(!zone_failover::DecodeZoneGossip(bytes + "x"));
  }
}

// Adds a section that this version does not know, as a later version may write it.
std::string WithUnknownSection(std::string bytes, const zone_failover::ZoneGossip& gossip) {
  zone_failover::ZoneGossip states_only;
  states_only.states = gossip.states;
  // The bits of the sections are the byte after the states.
  const std::size_t sections = zone_failover::EncodeZoneGossip(states_only).size() - 1;
  bytes[sections] = static_cast<char>(bytes[sections] | 16);
  return bytes + '\x03' + "new";
}

TEST_CASE(
    "zone failover: sections that a later version adds to gossip are skipped, and the others are decoded") {
  zone_failover::ZoneGossip gossip;
  gossip.states = {{7, EvacuationPhase::kEvacuated, 1, 2}, {}};
  gossip.report = zone_failover::Report(2);
  (*gossip.report)[1].failed = 9;
  gossip.overrides = {{}, {3, 1, OverrideKind::kEvacuate, 5}};
  const std::string bytes = WithUnknownSection(zone_failover::EncodeZoneGossip(gossip), gossip);
  const auto decoded = zone_failover::DecodeZoneGossip(bytes);
  REQUIRE(decoded);
  CHECK(decoded->states[0].round == 7);
  CHECK((*decoded->report)[1].failed == 9);
  CHECK(decoded->overrides[1].kind == OverrideKind::kEvacuate);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK(!zone_failover::DecodeZoneGossip(bytes.substr(0, size)));
}

// Relays 0 to 3 run an earlier version without overrides, and 4 to 7 a later one with an unknown section.
TEST_CASE("zone failover: a fleet of three versions evacuates a zone together, and the zone recovers") {
  SimulatedFleet fleet(FailoverOptionsFor(12), {}, 23);
  fleet.rewrite = [](int from, const std::string& bytes) {
    auto message = membership::DecodeMessage(bytes);
    const auto gossip = message ? zone_failover::DecodeZoneGossip(message->zone_payload) : std::nullopt;
    if (!gossip || from > 7) return bytes;
    zone_failover::ZoneGossip without_overrides = *gossip;
    without_overrides.overrides.clear();
    message->zone_payload = from < 4 ? zone_failover::EncodeZoneGossip(without_overrides)
                                     : WithUnknownSection(message->zone_payload, *gossip);
    return membership::EncodeMessage(*message, 256);
  };
  SimulatedCalls calls(fleet, 8, [&](int, int, int zone) {
    return zone == 1 && fleet.now >= 105 && fleet.now < 112 ? FailedCall(Outcome::kReset) : CallResult{};
  });
  fleet.StartAll();
  calls.RunUntil(108);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kEvacuated) == 12);
  calls.RunUntil(125);
  CHECK(CountInPhase(fleet, 1, EvacuationPhase::kInService) == 12);
  for (const auto& change : fleet.changes) CHECK(change.zone == 1);
}

TEST_CASE(
    "zone failover: an operator's command is parsed completely, or rejected with the name of the wrong key") {
  const ZoneCommand command = ParseZoneCommand(R"({"zone":"first","order":"leave","for_s":600})");
  CHECK(command.zone == "first");
  CHECK(command.override_kind == OverrideKind::kEvacuate);
  CHECK(command.duration == 600);
  CHECK(ParseZoneCommand(R"({"zone":"first","order":"none"})").override_kind == OverrideKind::kNone);
  const std::pair<const char*, const char*> invalid_bodies[] = {
      {"", "not valid JSON"},
      {"[]", "zone"},
      {R"({"order":"leave","for_s":1})", "zone"},
      {R"({"zone":7,"order":"leave","for_s":1})", "zone"},
      {R"({"zone":"a","order":"drain","for_s":1})", "order"},
      {R"({"zone":"a","order":"leave"})", "for_s"},
      {R"({"zone":"a","order":"keep","for_s":0})", "for_s"},
      {R"({"zone":"a","order":"keep","for_s":86401})", "for_s"},
      {R"({"zone":"a","order":"keep","for_s":"1"})", "for_s"},
      {R"({"zone":"a","order":"leave","for_s":1,"until":2})", "until"}};
  for (const auto& [body, expected_text] : invalid_bodies) {
    CAPTURE(body);
    const net::HttpResponse answer = HandleZoneCommand(body, [](const ZoneCommand&) { return true; });
    CHECK(answer.status == 400);
    CHECK(answer.body.find(expected_text) != std::string::npos);
  }
  const auto body = R"({"zone":"nowhere","order":"leave","for_s":1})";
  CHECK(HandleZoneCommand(body, [](const ZoneCommand&) { return false; }).status == 404);
  CHECK(HandleZoneCommand(body, [](const ZoneCommand&) { return true; }).status == 200);
}

}  // namespace
}  // namespace opalroute
