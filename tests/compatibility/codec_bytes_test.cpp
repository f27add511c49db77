// The bytes that relays exchange, against those that an earlier build wrote: codec_bytes.txt holds on each
// line a name, what the bytes mean, and the bytes in hexadecimal. The writers have to give these bytes for
// these values, and the readers this meaning for these bytes.
//   opalroute_codec_bytes FILE compares; without FILE it prints what this build writes.
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "lane_note.h"
#include "learning/codec.h"
#include "net/framing.h"
#include "tier/note.h"
#include "zones/codec.h"

namespace {

using namespace opalroute;
using Meaning = std::string (*)(std::string_view bytes);

struct Case {
  std::string name, bytes;
  Meaning meaning;
};

std::string Hex(std::string_view bytes) {
  std::string text;
  char pair[3];
  for (const char c : bytes) {
    std::snprintf(pair, sizeof(pair), "%02x", static_cast<unsigned char>(c));
    text += pair;
  }
  return text;
}

std::string Unhex(const std::string& text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2)
    bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  return bytes;
}

const char* const kUnreadable = "unreadable";

// ---- the tier's notes ------------------------------------------------------------------------------------

std::string TierMeaning(std::string_view bytes) {
  const auto note = tier::ReadNote(bytes);
  if (!note) return kUnreadable;
  std::ostringstream text;
  text << "kind " << static_cast<char>(note->kind) << " incarnation " << note->life << " number "
       << note->number << " echo " << note->echo << " from peer " << note->first << ":";
  for (const tier::Told& told : note->told) text << ' ' << "-hr"[static_cast<int>(told.of)] << told.age;
  text << " zones " << Hex(note->zones);
  return text.str();
}

std::vector<Case> TierCases() {
  using Of = tier::Told::Of;
  tier::Note note{tier::NoteKind::kAsk, 1'700'000'000'123'456, 1, 0, 0, {}, ""};
  std::vector<Case> cases = {{"tier ask, bare", tier::WriteNote(note, 256), TierMeaning}};
  note.first = 299;
  note.number = 128;
  note.echo = 77;
  note.zones = std::string("\x00\x01\xff", 3);
  note.told = {{Of::kNothing, 0},    {Of::kHeard, 0},    {Of::kHeard, 0.1}, {Of::kHeard, 6},
               {Of::kHeard, 12},     {Of::kHeard, 12.1}, {Of::kRefused, 0}, {Of::kRefused, 3},
               {Of::kRefused, 11.9}, {Of::kRefused, 12}, {Of::kRefused, 13}};
  const std::pair<tier::NoteKind, const char*> kinds[] = {{tier::NoteKind::kAsk, "ask"},
                                                          {tier::NoteKind::kHello, "hello"},
                                                          {tier::NoteKind::kAnswer, "answer"},
                                                          {tier::NoteKind::kTold, "told"},
                                                          {tier::NoteKind::kLeaving, "leaving"}};
  for (const auto& [kind, name] : kinds) {
    note.kind = kind;
    cases.push_back({std::string("tier ") + name, tier::WriteNote(note, 256), TierMeaning});
  }
  note.told.assign(500, {Of::kHeard, 2});
  cases.push_back({"tier, a window that is cut", tier::WriteNote(note, 40), TierMeaning});
  cases.push_back({"tier, a byte too many", tier::WriteNote(note, 40) + "x", TierMeaning});
  std::string later = tier::WriteNote(note, 40);
  later[1] = 2;
  cases.push_back({"tier, another version", later, TierMeaning});
  return cases;
}

// ---- zones
// -------------------------------------------------------------------------------------------------

std::string ZonesMeaning(std::string_view bytes) {
  const auto said = zones::ReadSaid(bytes);
  if (!said) return kUnreadable;
  std::ostringstream text;
  for (const zones::Stage& s : said->stages)
    text << "stage " << s.round << '/' << static_cast<int>(s.step) << " relapses " << s.relapses << " age "
         << s.since << "; ";
  if (said->report)
    for (const zones::ZoneReport& r : *said->report)
      text << "report " << r.good << '@' << r.good_age << ' ' << r.bad << '@' << r.bad_age << " of " << r.seen
           << " cause " << static_cast<int>(r.wrong) << "; ";
  for (const zones::HandOrder& o : said->orders)
    text << "order " << o.number << " by " << o.by << " what " << static_cast<int>(o.what) << " left "
         << o.until << "; ";
  return text.str();
}

std::vector<Case> ZonesCases() {
  zones::Said said;
  std::vector<Case> cases = {{"zones, none", zones::WriteSaid(said), ZonesMeaning}};
  said.stages = {{0, zones::Step::kIn, 0, 0},
                 {1, zones::Step::kLeaving, 0, 0.25},
                 {200, zones::Step::kOut, 3, 12.34},
                 {1ULL << 40, zones::Step::kReturning, 40, 1e7}};
  cases.push_back({"zones, stages", zones::WriteSaid(said), ZonesMeaning});
  zones::Said reported = said;
  reported.report = zones::Report{};
  for (std::uint32_t i = 0; i < 4; ++i) {
    zones::ZoneReport r;
    r.good = 0x01020304U * i;
    r.bad = 0x80000000U >> i;
    r.seen = r.good | r.bad;
    r.good_age = 0.4 * i;
    r.bad_age = 1.15 * i;
    r.wrong = static_cast<decltype(r.wrong)>(i + 2);
    reported.report->push_back(r);
  }
  cases.push_back({"zones, a report", zones::WriteSaid(reported), ZonesMeaning});
  said.orders = {{0, 0, zones::ByHand::kNone, 0},
                 {1, 0, zones::ByHand::kLeave, 3600},
                 {300, 299, zones::ByHand::kKeep, 0.01},
                 {zones::Orders::kMostNumber, 4096, zones::ByHand::kNone, 1e9}};
  cases.push_back({"zones, orders", zones::WriteSaid(said), ZonesMeaning});
  reported.orders = said.orders;
  cases.push_back({"zones, all", zones::WriteSaid(reported), ZonesMeaning});
  cases.push_back(
      {"zones, parts of a later build", std::string("\x01\x00\x03\x00\x14\x02zz\x01y", 10), ZonesMeaning});
  cases.push_back({"zones, cut", zones::WriteSaid(said).substr(0, 20), ZonesMeaning});
  return cases;
}

// ---- notes on lanes
// ------------------------------------------------------------------------------------------

std::string LaneMeaning(std::string_view bytes) {
  const auto note = ReadLaneNote(bytes);
  if (!note) return kUnreadable;
  std::ostringstream text;
  text << "kind " << static_cast<char>(note->kind) << " destination " << note->destination << " route "
       << note->route;
  return text.str();
}

std::vector<Case> LaneCases() {
  using Kind = LaneNote::Kind;
  return {{"lane refused", WriteLaneNote({Kind::kRefused, 7, 0}), LaneMeaning},
          {"lane back, a route", WriteLaneNote({Kind::kBack, 70'000, TagOf("s-5be2a07c")}), LaneMeaning},
          {"lane crowded, negative", WriteLaneNote({Kind::kCrowded, -70'000, 0xff}), LaneMeaning},
          {"lane, the greatest", WriteLaneNote({Kind::kBack, INT64_MAX, 0xffffffffU}), LaneMeaning},
          {"lane, the least", WriteLaneNote({Kind::kBack, INT64_MIN, 0}), LaneMeaning},
          {"lane, an unknown kind", "Lx\x02", LaneMeaning},
          {"lane, half a route", "Lr\x02zz", LaneMeaning}};
}

// ---- learning
// ----------------------------------------------------------------------------------------------

std::string LanesMeaning(const std::vector<learning::Heard>& lanes) {
  std::ostringstream text;
  text.precision(15);
  for (const learning::Heard& heard : lanes) {
    const Belief& b = heard.belief;
    const auto age = [&text](const char* name, const std::optional<Seconds>& of) {
      if (of) text << ' ' << name << ' ' << *of;
    };
    text << "; lane " << b.destination << " '" << heard.endpoint << "' wait " << b.wait;
    age("out", b.out);
    age("back", b.back);
    age("served", b.served);
    age("refused", b.refused);
    text << " pace " << b.pace;
    age("measured", b.measured);
    text << " latency " << b.latency;
    age("barred", b.barred);
  }
  return text.str();
}

std::string FrameMeaning(std::string_view bytes) {
  const net::FrameRead read = net::ReadFrame(bytes, learning::kLongestFrame);
  const auto message = learning::Read(read.record);
  if (read.state != net::FrameState::kWhole || read.size != bytes.size() || !message) return kUnreadable;
  std::ostringstream text;
  text.precision(15);
  if (const auto* ask = std::get_if<learning::Ask>(&*message)) {
    text << "ask version " << ask->version << " name " << ask->name;
  } else if (const auto* begin = std::get_if<learning::Begin>(&*message)) {
    text << "begin version " << begin->version << " name " << begin->name << " running " << begin->running
         << " written " << begin->written_at;
  } else if (const auto* chunk = std::get_if<learning::Chunk>(&*message)) {
    text << "chunk since " << chunk->since_begin << " out of range " << chunk->out_of_range
         << LanesMeaning(chunk->lanes);
  } else {
    text << "end lanes " << std::get<learning::End>(*message).lanes;
  }
  return text.str();
}

std::string LearningNoteMeaning(std::string_view bytes) {
  const auto note = learning::ReadNote(bytes);
  if (!note) return kUnreadable;
  std::ostringstream text;
  text << "version " << note->version << " nonce " << note->nonce << " asks " << note->asks
       << " out of range " << note->out_of_range << LanesMeaning(note->lanes);
  return text.str();
}

std::vector<learning::Heard> Lanes() {
  learning::Heard whole, route, odd;
  whole.belief.destination = 7;
  whole.belief.wait = 28.5;
  route.endpoint = "s-5be2a07c";
  route.belief.destination = -70'000;
  route.belief.endpoint = 12;  // a number of this process: it does not travel
  route.belief.out = 0;
  route.belief.back = 1.25;
  route.belief.served = 0.000001;
  route.belief.refused = 3600;
  route.belief.pace = 0.1;
  route.belief.measured = 59.999999;
  route.belief.latency = 0.0421;
  route.belief.barred = 12;
  odd.belief.destination = 1'000'000'007;
  odd.belief.out = 1e6;    // cut to what is allowed
  odd.belief.refused = 2;  // with a pace that no reader takes
  odd.belief.pace = -1;
  odd.belief.latency = 99;  // not measured
  return {whole, route, odd};
}

std::vector<Case> LearningCases() {
  using learning::Write;
  const auto frame = [](const char* name, const learning::Message& message) {
    return Case{std::string("learning ") + name, Write(message), FrameMeaning};
  };
  std::vector<Case> cases = {
      frame("ask", learning::Ask{learning::kVersion, "n0"}),
      frame("begin", learning::Begin{learning::kVersion, "n1", 12.5, 0}),
      frame("begin, saved", learning::Begin{7, std::string(300, 'x'), 0, 1'700'000'000'123'456}),
      frame("chunk, empty", learning::Chunk{}),
      frame("chunk", learning::Chunk{0.125, Lanes(), 0}),
      frame("end", learning::End{50'000})};
  std::string damaged = Write(learning::End{1});
  damaged.back() ^= 1;
  cases.push_back({"learning, damaged", damaged, FrameMeaning});
  cases.push_back({"learning, a field of a later build",
                   net::Frame(std::string("\x22\x04\x08\x05\x10\x01", 6)), FrameMeaning});
  std::size_t written = 0;
  learning::Note note;
  note.nonce = 0xfedcba98;
  note.asks = true;
  cases.push_back({"learning note, asks", learning::WriteNote(note, written), LearningNoteMeaning});
  note.asks = false;
  note.lanes = Lanes();
  cases.push_back({"learning note, answers", learning::WriteNote(note, written), LearningNoteMeaning});
  for (int i = 0; i < 5; ++i) note.lanes.push_back(note.lanes[1]);
  cases.push_back({"learning note, full", learning::WriteNote(note, written), LearningNoteMeaning});
  cases.back().name += " with " + std::to_string(written);
  cases.push_back({"learning note, another mark", "OLN2\x08\x01", LearningNoteMeaning});
  return cases;
}

int Compare(const std::vector<Case>& cases, std::istream& recorded) {
  std::map<std::string, const Case*> unseen;
  for (const Case& c : cases) unseen[c.name] = &c;
  int wrong = 0;
  for (std::string line; std::getline(recorded, line);) {
    const std::size_t first = line.find(" | "), second = line.rfind(" | ");
    const std::string name = line.substr(0, first), hex = line.substr(second + 3);
    const auto it = unseen.find(name);
    if (it == unseen.end()) {
      std::cout << "no such case: " << name << '\n';
      ++wrong;
      continue;
    }
    const std::string written = Hex(it->second->bytes), meaning = it->second->meaning(Unhex(hex));
    if (written != hex)
      std::cout << name << ": writes  " << written << "\n  recorded " << hex << '\n', ++wrong;
    if (first + 3 > second || meaning != line.substr(first + 3, second - first - 3))
      std::cout << name << ": reads " << meaning << "\n  recorded " << line << '\n', ++wrong;
    unseen.erase(it);
  }
  for (const auto& [name, c] : unseen) std::cout << "not recorded: " << name << '\n', ++wrong;
  return wrong == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<Case> cases;
  for (const auto& some : {TierCases(), ZonesCases(), LaneCases(), LearningCases()})
    cases.insert(cases.end(), some.begin(), some.end());
  if (argc > 1) {
    std::ifstream recorded(argv[1]);
    return Compare(cases, recorded);
  }
  for (const Case& c : cases)
    std::cout << c.name << " | " << c.meaning(c.bytes) << " | " << Hex(c.bytes) << '\n';
  return 0;
}
