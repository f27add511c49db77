// Operators' orders of zones, on a fake clock: they reach all, hold while they last, and end by themselves.
#include <doctest/doctest.h>

#include <numeric>

#include "config/fields.h"
#include "relay/zone_orders.h"
#include "zone_calls.h"

namespace opalroute {
namespace {

using zones::ByHand;
using zones::Step;

int CountObeying(TierStage& s, int zone, ByHand what) {
  int count = 0;
  for (int relay = 0; relay < s.size(); ++relay)
    count += s.IsUp(relay) && s[relay].InForce(s.now, zone) == what;
  return count;
}

TEST_CASE("zones: an order to leave is told to one and reaches all; none tries the zone until it ends") {
  for (const double loss : {0.0, 0.2, 0.6}) {
    CAPTURE(loss);
    lab::LinkPlan links;
    links.loss = loss;
    TierStage s(RulesFor(40), links, 3);
    Calls calls(s, 4, [](int, int, int) { return Met{}; });
    s.StartAll();
    calls.PlayTo(104);
    s.Order(7, 1, ByHand::kLeave, 10);
    CHECK(s[7].InForce(s.now, 1) == ByHand::kLeave);
    calls.PlayTo(loss > 0.5 ? 109 : 106);
    CHECK(CountIn(s, 1, Step::kOut) == 40);
    calls.into.clear();
    calls.PlayTo(113.9);
    CHECK(calls.into[1] == 0);
    CHECK(calls.into[0] > 100);
    calls.PlayTo(114.6);  // each hop adds a tenth of a second at most
    CHECK(CountObeying(s, 1, ByHand::kLeave) == 0);
    CHECK(CountIn(s, 1, Step::kIn) == 0);
    calls.PlayTo(124);  // its endpoints are tried again, and serve
    CHECK(CountIn(s, 1, Step::kOut) == 0);
    calls.PlayTo(130);
    CHECK(CountIn(s, 1, Step::kIn) == 40);
  }
}

TEST_CASE("zones: an order to keep holds a zone that fails, and lets one return that was left") {
  TierStage s(RulesFor(24), {}, 4);
  const Seconds fails = 104;
  Calls calls(s, 4, [&](int, int, int zone) {
    return zone == 1 && s.now >= fails ? Bad(Outcome::kConnectFailed) : Met{};
  });
  s.StartAll();
  calls.PlayTo(103);
  s.Order(0, 1, ByHand::kKeep, 7);
  calls.PlayTo(109.9);
  CHECK(CountIn(s, 1, Step::kIn) == 24);
  calls.PlayTo(114);  // it ends, and what calls say counts again
  CHECK(CountIn(s, 1, Step::kOut) == 24);
  s.Order(23, 1, ByHand::kKeep, 30);
  calls.PlayTo(120);
  CHECK(CountIn(s, 1, Step::kIn) == 24);
  for (const auto& change : s.changes) CHECK(change.zone == 1);
}

TEST_CASE("zones: the later order stands: revoked behind a cut, given in both halves, asleep meanwhile") {
  lab::LinkPlan links;
  lab::Cut cut;
  cut.first = 0;
  cut.last = 9;
  cut.from = 106;
  cut.lasts = 8;
  links.cuts.push_back(cut);
  TierStage s(RulesFor(20), links, 5);
  Calls calls(s, 4, [](int, int, int) { return Met{}; });
  s.StartAll();
  calls.PlayTo(103);
  s.Order(3, 0, ByHand::kLeave, 600);
  calls.PlayTo(105);
  CHECK(CountIn(s, 0, Step::kOut) == 20);
  s.Freeze(12, 118);
  calls.PlayTo(107);
  s.Order(15, 0, ByHand::kNone, 0);    // one half hears that it is over
  s.Order(2, 2, ByHand::kLeave, 600);  // and both are told of another zone,
  s.Order(16, 2, ByHand::kKeep, 600);  // otherwise
  calls.PlayTo(112);
  CHECK(CountObeying(s, 0, ByHand::kLeave) == 11);  // the other half, and who is asleep
  CHECK(CountObeying(s, 2, ByHand::kLeave) == 10);
  calls.PlayTo(117);
  CHECK(CountObeying(s, 0, ByHand::kLeave) == 1);
  calls.PlayTo(121);
  CHECK(CountObeying(s, 0, ByHand::kLeave) == 0);
  CHECK(CountObeying(s, 2, ByHand::kKeep) == 20);  // of the same number that of the greater relay
  calls.PlayTo(145);
  for (int zone = 0; zone < kZones; ++zone) CHECK(CountIn(s, zone, Step::kIn) == 20);
}

TEST_CASE("zones: an order outlives its relays, with their folders or with one that has heard it") {
  TierStage s(RulesFor(9), {}, 6);
  s.StartAll();
  s.PlayTo(103);
  s.Order(1, 1, ByHand::kLeave, 30);
  s.PlayTo(105);
  for (int relay = 0; relay < 9; ++relay) s.Kill(relay, relay != 4);  // one folder is left of nine
  s.StartAll();
  s.PlayTo(109);
  CHECK(CountObeying(s, 1, ByHand::kLeave) == 9);
  CHECK(CountIn(s, 1, Step::kOut) == 9);
  s.PlayTo(133.6);
  CHECK(CountObeying(s, 1, ByHand::kLeave) == 0);
}

TEST_CASE("zones: what is left of an order neither grows nor shrinks by being told on") {
  zones::Orders first(1), second(1);
  const Seconds ends = first.Give(100, 0, ByHand::kLeave, 60, 2).until;
  for (Seconds now = 100; now < 159; now += 0.037) {
    for (auto [from, to] : {std::pair(&first, &second), std::pair(&second, &first)}) {
      zones::Said said;
      said.stages.resize(1);
      said.orders = from->Tell(now);
      const auto read = zones::ReadSaid(zones::WriteSaid(said));
      REQUIRE(read);
      zones::HandOrder order = read->orders.at(0);
      order.until += now + 0.011;
      to->Hear(now + 0.011, 0, order);
    }
  }
  CHECK(first.Of(0).until == ends);
  CHECK(second.Of(0).until >= ends);
  CHECK(second.Of(0).until < ends + 0.12);
}

TEST_CASE("zones: orders merge alike in every order and with every loss; nonsense is passed over") {
  const std::vector<zones::HandOrder> sent = {
      {1, 3, ByHand::kLeave, 50},         {1, 4, ByHand::kKeep, 60},  {2, 0, ByHand::kNone, 40},
      {1, 3, ByHand::kLeave, 49.9},       {2, 1, ByHand::kLeave, 55}, {3, 0, ByHand::kKeep, 1e9},
      {1ULL << 60, 0, ByHand::kLeave, 50}};
  std::vector<int> order(sent.size());
  std::iota(order.begin(), order.end(), 0);
  for (unsigned came = 1; came < 128; ++came) {
    std::optional<zones::HandOrder> expected;
    do {
      zones::Orders orders(1);
      for (const int i : order)
        if ((came >> i & 1U) != 0) orders.Hear(10, 0, sent[static_cast<std::size_t>(i)]);
      const zones::HandOrder& now = orders.Of(0);
      if (!expected) expected = now;
      REQUIRE(now.number == expected->number);
      REQUIRE(now.by == expected->by);
      REQUIRE(now.until == expected->until);
      REQUIRE(now.number < 3);
    } while (std::next_permutation(order.begin(), order.end()));
  }
}

TEST_CASE("zones: orders in a note are read as they were written; cut anywhere it is refused") {
  zones::Said said;
  said.stages.resize(2);
  said.orders = {{}, {300, 299, ByHand::kKeep, 12.34}};
  for (const bool reports : {false, true}) {
    if (reports) said.report = zones::Report(2);
    const std::string bytes = zones::WriteSaid(said);
    const auto read = zones::ReadSaid(bytes);
    REQUIRE(read);
    CHECK(read->report.has_value() == reports);
    REQUIRE(read->orders.size() == 2);
    CHECK(read->orders[0].number == 0);
    CHECK(read->orders[1].number == 300);
    CHECK(read->orders[1].by == 299);
    CHECK(read->orders[1].what == ByHand::kKeep);
    CHECK(read->orders[1].until == doctest::Approx(12.4));  // never less than it is
    for (std::size_t size = 0; size < bytes.size(); ++size) CHECK(!zones::ReadSaid(bytes.substr(0, size)));
    CHECK(!zones::ReadSaid(bytes + "x"));
  }
}

// As a later build may say it: a part that this one does not know, told with its length.
std::string WithLaterPart(std::string bytes, const zones::Said& said) {
  zones::Said stages;
  stages.stages = said.stages;
  const std::size_t flags = zones::WriteSaid(stages).size() - 1;  // they stand behind the stages
  bytes[flags] = static_cast<char>(bytes[flags] | 16);
  return bytes + '\x03' + "new";
}

TEST_CASE("zones: what a later build adds to a note is passed over, and the rest is read") {
  zones::Said said;
  said.stages = {{7, Step::kOut, 1, 2}, {}};
  said.report = zones::Report(2);
  (*said.report)[1].bad = 9;
  said.orders = {{}, {3, 1, ByHand::kLeave, 5}};
  const std::string bytes = WithLaterPart(zones::WriteSaid(said), said);
  const auto read = zones::ReadSaid(bytes);
  REQUIRE(read);
  CHECK(read->stages[0].round == 7);
  CHECK((*read->report)[1].bad == 9);
  CHECK(read->orders[1].what == ByHand::kLeave);
  for (std::size_t size = 0; size < bytes.size(); ++size) CHECK(!zones::ReadSaid(bytes.substr(0, size)));
}

// Relays 0 to 3 run an earlier build, which knows no orders; 4 to 7 a later one.
TEST_CASE("zones: three builds in one tier leave a zone together, and return") {
  TierStage s(RulesFor(12), {}, 23);
  s.rewrite = [](int from, const std::string& bytes) {
    auto note = tier::ReadNote(bytes);
    const auto said = note ? zones::ReadSaid(note->zones) : std::nullopt;
    if (!said || from > 7) return bytes;
    zones::Said earlier = *said;
    earlier.orders.clear();
    note->zones = from < 4 ? zones::WriteSaid(earlier) : WithLaterPart(note->zones, *said);
    return tier::WriteNote(*note, 256);
  };
  Calls calls(s, 8, [&](int, int, int zone) {
    return zone == 1 && s.now >= 105 && s.now < 112 ? Bad(Outcome::kReset) : Met{};
  });
  s.StartAll();
  calls.PlayTo(108);
  CHECK(CountIn(s, 1, Step::kOut) == 12);
  calls.PlayTo(125);
  CHECK(CountIn(s, 1, Step::kIn) == 12);
  for (const auto& change : s.changes) CHECK(change.zone == 1);
}

TEST_CASE("zones: an operator's words are read whole or refused by the name of what is wrong") {
  const ZoneOrder order = ReadZoneOrder(R"({"zone":"first","order":"leave","for_s":600})");
  CHECK(order.zone == "first");
  CHECK(order.what == ByHand::kLeave);
  CHECK(order.lasts == 600);
  CHECK(ReadZoneOrder(R"({"zone":"first","order":"none"})").what == ByHand::kNone);
  const std::pair<const char*, const char*> faults[] = {
      {"", "no JSON"},
      {"[]", "zone"},
      {R"({"order":"leave","for_s":1})", "zone"},
      {R"({"zone":7,"order":"leave","for_s":1})", "zone"},
      {R"({"zone":"a","order":"drain","for_s":1})", "order"},
      {R"({"zone":"a","order":"leave"})", "for_s"},
      {R"({"zone":"a","order":"keep","for_s":0})", "for_s"},
      {R"({"zone":"a","order":"keep","for_s":86401})", "for_s"},
      {R"({"zone":"a","order":"keep","for_s":"1"})", "for_s"},
      {R"({"zone":"a","order":"leave","for_s":1,"until":2})", "until"}};
  for (const auto& [body, names] : faults) {
    CAPTURE(body);
    const net::HttpAnswer answer = TakeZoneOrder(body, [](const ZoneOrder&) { return true; });
    CHECK(answer.status == 400);
    CHECK(answer.body.find(names) != std::string::npos);
  }
  const auto body = R"({"zone":"nowhere","order":"leave","for_s":1})";
  CHECK(TakeZoneOrder(body, [](const ZoneOrder&) { return false; }).status == 404);
  CHECK(TakeZoneOrder(body, [](const ZoneOrder&) { return true; }).status == 200);
}

}  // namespace
}  // namespace opalroute
