// Who is there: parts of limits under cuts, kills and freezes. Counts and order alone, on a fake clock.
#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "relay/membership_file.h"
#include "tests/membership/membership_fixture.h"

namespace opalroute {
namespace {

using membership::MemberState;

zone_failover::FailoverOptions RulesFor(int size) {
  zone_failover::FailoverOptions rules;
  rules.membership.fleet_size = size;
  rules.zones = 2;
  rules.evacuate_zones = false;
  return rules;
}

TEST_CASE("tier: a note is read as it was written, cut anywhere it is refused") {
  membership::Message note;
  note.kind = membership::MessageKind::kAck;
  note.incarnation = 1'764'000'000'000'000;
  note.sequence = 300;
  note.acked_sequence = 77;
  note.first_peer = 5;
  note.zone_payload = "zones";
  for (int i = 0; i < 200; ++i)
    note.peer_reports.push_back(
        {static_cast<membership::PeerReport::Kind>(i % 3), i % 3 == 0 ? 0 : 0.7 + i % 7});
  const std::string bytes = EncodeMessage(note, 256);
  CHECK(bytes.size() <= 256);
  const auto read = membership::DecodeMessage(bytes);
  REQUIRE(read);
  CHECK(read->incarnation == note.incarnation);
  CHECK(read->sequence == 300);
  CHECK(read->acked_sequence == 77);
  CHECK(read->first_peer == 5);
  CHECK(read->zone_payload == "zones");
  REQUIRE(read->peer_reports.size() == 200);
  for (std::size_t i = 0; i < 200; ++i) {
    CHECK(read->peer_reports[i].kind == note.peer_reports[i].kind);
    CHECK(read->peer_reports[i].age >= note.peer_reports[i].age);  // never younger than it is
    CHECK(read->peer_reports[i].age <= note.peer_reports[i].age + 12.0 / 7);
  }
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK(!membership::DecodeMessage(bytes.substr(0, size)));
  CHECK(!membership::DecodeMessage(bytes + "x"));
  CHECK(!membership::DecodeMessage("Lr\x01"));
  std::string newer = bytes;
  newer[1] = 2;
  CHECK(!membership::DecodeMessage(newer));  // of another version
  CHECK(EncodeMessage(note, 60).size() <= 60);
}

TEST_CASE("tier: those whose machines refuse are gone within seconds, and their parts go to the rest") {
  for (const int size : {3, 12, 60, 300}) {
    CAPTURE(size);
    TierStage s(RulesFor(size), {}, 1);
    s.StartAll();
    s.PlayTo(s.now + 2);
    CHECK(s.Parts() == doctest::Approx(1));
    const int left = std::max(2, size * 3 / 10);
    for (int relay = left; relay < size; ++relay) s.Kill(relay);
    s.PlayTo(s.now + 25);
    CHECK(s[0].membership().StateOf(s.now, size - 1) == MemberState::kDead);
    CHECK(s.Parts() > 0.9);
    CHECK(s.most_parts < 1 + 1e-9);
    // They come back at once: what was theirs is let go before it is taken.
    for (int relay = left; relay < size; ++relay) s.Start(relay);
    s.PlayTo(s.now + 3);
    CHECK(s.Parts() == doctest::Approx(1));
    CHECK(s.most_parts < 1 + 1.0 / size + 1e-9);
  }
}

TEST_CASE("tier: unheard is not dead, whoever is cut off and for however long") {
  TierStage s(RulesFor(10), {}, 2);
  s.StartAll();
  s.PlayTo(s.now + 2);
  s.cut = [](int from, int to) { return (from < 4) != (to < 4); };
  s.PlayTo(s.now + 120);
  for (int relay = 0; relay < 10; ++relay) CHECK(s[relay].membership().ShareCount(s.now) == 10);
  CHECK(s[0].membership().StateOf(s.now, 9) == MemberState::kUnknown);
  CHECK(s[0].membership().AliveMembers(s.now).size() == 4);
}

TEST_CASE(
    "tier: what was proved before a cut is let go in it, before one that is back behind it takes its part") {
  TierStage s(RulesFor(10), {}, 3);
  s.StartAll();
  s.PlayTo(s.now + 2);
  for (int relay = 5; relay < 10; ++relay) s.Kill(relay);
  s.PlayTo(s.now + 20);
  CHECK(s[0].membership().ShareCount(s.now) == 5);
  s.cut = [](int from, int to) { return (from < 5) != (to < 5); };
  for (int relay = 5; relay < 10; ++relay) s.Start(relay);
  s.PlayTo(s.now + 1);
  CHECK(s[0].membership().ShareCount(s.now) == 5);    // it can't know
  CHECK(s[9].membership().ShareCount(s.now) == 100);  // so they hold back
  s.PlayTo(s.now + 20);
  CHECK(s[0].membership().ShareCount(s.now) == 10);
  CHECK(s[9].membership().ShareCount(s.now) == 10);
  CHECK(s.most_parts < 1.1 + 1e-9);
}

TEST_CASE("tier: a cut one way, a frozen relay, its own word of leaving") {
  TierStage s(RulesFor(8), {}, 4);
  s.StartAll();
  s.PlayTo(s.now + 2);
  s.cut = [](int from, int) { return from == 7; };  // it hears, and is not heard
  s.PlayTo(s.now + 30);
  CHECK(s[0].membership().ShareCount(s.now) == 8);
  CHECK(s[7].membership().ShareCount(s.now) == 8);
  s.cut = nullptr;
  s.Freeze(3, s.now + 10);
  s.PlayTo(s.now + 9);
  CHECK(s[0].membership().ShareCount(s.now) == 8);  // silent is not gone
  s.PlayTo(s.now + 5);
  s.Leave(2);
  s.PlayTo(s.now + 10);
  CHECK(s[0].membership().StateOf(s.now, 2) == MemberState::kDead);
  CHECK(s.most_parts < 1 + 1e-9);
}

TEST_CASE("tier: a refusal of one that is heard proves nothing, and replays and strangers are passed over") {
  membership::Options rules;
  rules.fleet_size = 4;
  membership::Membership t(rules, 10, 1, 0);
  std::vector<membership::Membership::OutgoingMessage> out;
  for (double now = 0; now < 0.5; now += 0.05) t.Tick(now, out);
  REQUIRE(!out.empty());
  CHECK(!t.HandleMessage(0.5, 9, {membership::MessageKind::kGossip, 1, 1, 0, 0, {}, {}}, out));
  CHECK(!t.HandleMessage(0.5, 0, {membership::MessageKind::kGossip, 1, 1, 0, 0, {}, {}},
                         out));  // its own number
  CHECK(t.HandleMessage(0.5, 1, {membership::MessageKind::kGossip, 5, 3, 0, 0, {}, {}}, out));
  CHECK(!t.HandleMessage(0.5, 1, {membership::MessageKind::kGossip, 5, 3, 0, 0, {}, {}}, out));
  CHECK(!t.HandleMessage(0.5, 1, {membership::MessageKind::kGossip, 4, 9, 0, 0, {}, {}}, out));
  CHECK(t.HandleMessage(0.5, 1, {membership::MessageKind::kGossip, 6, 1, 0, 0, {}, {}}, out));
  CHECK(t.restarts() == 1);
  CHECK(t.HandleMessage(0.5, 3, {membership::MessageKind::kGossip, 6, 1, 0, 0, {}, {}}, out));
  t.OnUnreachable(0.6, 3);  // by the path, it seems: it was heard a moment ago
  CHECK(t.StateOf(0.7, 3) != MemberState::kDead);
  t.OnUnreachable(0.5, 7);  // nobody
  CHECK(t.ShareCount(20) == 4);
}

TEST_CASE(
    "tier: what was kept is read as it was written; torn at any byte, or another's, it is passed over") {
  namespace fs = std::filesystem;
  const fs::path folder = fs::temp_directory_path() / ("opalroute-tier-state-" + std::to_string(getpid()));
  fs::create_directories(folder);
  const MembershipFile state(folder.string());
  const std::vector<std::string> names = {"ground", "first"};
  constexpr std::int64_t kNow = 1'764'000'000'000'000;
  CHECK(state.Load("n1", names, kNow, 120).load_result == "none");
  const std::vector<zone_failover::EvacuationState> stages = {
      {3, zone_failover::EvacuationPhase::kEvacuated, 2, 4.5},
      {1, zone_failover::EvacuationPhase::kInService, 0, 100}};
  REQUIRE(
      state.Save("n1", names, kNow, 77, {stages, {{5, 2, zone_failover::OverrideKind::kEvacuate, 300}, {}}}));
  const auto kept = state.Load("n1", {"first", "new", "ground"}, kNow + 2'000'000, 120);
  CHECK(kept.load_result == "whole");
  CHECK(kept.incarnation == 77);
  REQUIRE(kept.zones.states.size() == 3);
  CHECK(kept.zones.states[2].phase == zone_failover::EvacuationPhase::kEvacuated);
  CHECK(kept.zones.states[2].round == 3);
  CHECK(kept.zones.states[2].relapses == 2);
  CHECK(kept.zones.states[2].since == doctest::Approx(6.5));
  CHECK(kept.zones.states[1].phase == zone_failover::EvacuationPhase::kInService);
  REQUIRE(kept.zones.overrides.size() == 3);
  CHECK(kept.zones.overrides[0].sequence == 0);
  CHECK(kept.zones.overrides[2].sequence == 5);
  CHECK(kept.zones.overrides[2].kind == zone_failover::OverrideKind::kEvacuate);
  CHECK(kept.zones.overrides[2].expires_at == doctest::Approx(298));
  CHECK(state.Load("n2", names, kNow, 120).load_result == "other relay");
  CHECK(state.Load("n2", names, kNow, 120).zones.states.empty());
  for (const std::int64_t now : {kNow + 121'000'000, kNow - 1'000'000}) {  // old, or the clock was set back
    CHECK(state.Load("n1", names, now, 120).load_result == "too old");
    CHECK(state.Load("n1", names, now, 120).incarnation == 77);  // its notes must still be newer
    CHECK(state.Load("n1", names, now, 120).zones.states.empty());
    // An order has an end of its own: no folder grows too old for it before that.
    CHECK(state.Load("n1", names, now, 120).zones.overrides.at(0).expires_at <= 300);
    CHECK(state.Load("n1", names, now, 120).zones.overrides.at(0).expires_at > 178);
  }
  std::stringstream whole;
  whole << std::ifstream(state.path(), std::ios::binary).rdbuf();
  const std::string bytes = whole.str();
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    std::ofstream(state.path(), std::ios::binary | std::ios::trunc) << bytes.substr(0, size);
    CHECK(state.Load("n1", names, kNow, 120).load_result == "broken");
    std::string wrong = bytes;
    wrong[size] = static_cast<char>(wrong[size] ^ 1);
    std::ofstream(state.path(), std::ios::binary | std::ios::trunc) << wrong;
    CHECK(state.Load("n1", names, kNow, 120).zones.states.empty());
  }
  fs::permissions(folder, fs::perms::owner_read | fs::perms::owner_exec);
  if (geteuid() != 0) CHECK(!state.Save("n1", names, kNow, 78, {}));
  fs::permissions(folder, fs::perms::owner_all);
  fs::remove_all(folder);
  CHECK(!state.Save("n1", names, kNow, 78, {}));  // no folder at all
}

// Kills, starts, freezes and cuts of every kind at once: never are more parts held than a whole and one.
TEST_CASE("tier: parts stay under a whole and one over 1,000 scripts of cuts and kills") {
  int grown = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    pcg32 draw(seed, 5);
    const int size = 3 + static_cast<int>(draw(8));
    lab::LinkPlan links;
    links.loss = draw(3) == 0 ? 0.6 : draw(2) == 0 ? 0.2 : 0;
    links.delay = {0, draw(4) == 0 ? 0.8 : 0.02};
    links.duplicate = links.reorder = 0.1;
    for (int i = 0; i < 3; ++i) {
      lab::Cut cut;
      cut.way = static_cast<lab::Cut::Way>(draw(3));
      cut.first = static_cast<int>(draw(static_cast<std::uint32_t>(size)));
      cut.last = std::min(size - 1, cut.first + static_cast<int>(draw(4)));
      cut.from = 100 + draw(30);
      cut.lasts = 2 + draw(20);
      if (draw(3) == 0) cut.on = 0.5 + draw(3), cut.off = 0.5 + draw(3);
      links.cuts.push_back(cut);
    }
    TierStage s(RulesFor(size), links, seed);
    s.StartAll();
    s.PlayTo(s.now + 40, [&] {
      if (s.Below(20) != 0) return;
      const int relay = s.Below(size);
      if (!s.IsUp(relay)) return s.Start(relay);
      const int what = s.Below(6);
      if (what == 0) s.Freeze(relay, s.now + 1 + s.Below(10));
      if (what == 1) s.Leave(relay);
      if (what >= 2) s.Kill(relay, s.Below(2) == 0);
    });
    for (int relay = 0; relay < size; ++relay)
      grown += s.IsUp(relay) && s[relay].membership().IsSettled(s.now) &&
               s[relay].membership().ShareCount(s.now) < size;
    REQUIRE_MESSAGE(s.most_parts < 1 + 1.0 / size + 1e-9, "seed ", seed, " holds ", s.most_parts);
  }
  CHECK(grown > 300);  // and it is not that none ever grows
}

TEST_CASE("tier: notes a second and bytes a note stay within what is stated, at 3, 30 and 300 relays") {
  for (const int size : {3, 30, 300}) {
    TierStage s(RulesFor(size), {}, 6);
    s.StartAll();
    s.PlayTo(s.now + 3);
    const long notes = s.notes, bytes = s.bytes;
    s.PlayTo(s.now + 10);
    const double each = static_cast<double>(s.notes - notes) / 10 / size;
    MESSAGE(size << " relays: " << each << " notes a second and relay, "
                 << static_cast<double>(s.bytes - bytes) / static_cast<double>(s.notes - notes)
                 << " bytes each, the longest " << s.longest);
    CHECK(each < 4.5);
    CHECK(s.longest <= 256);
  }
}

}  // namespace
}  // namespace opalroute
