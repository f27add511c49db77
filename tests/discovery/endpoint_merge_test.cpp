// The merge of the endpoint list and SRV: every row of its table, identity, ratings, and long random
// sequences against a model that knows the guarantees of docs/srv.md and nothing of the code.
#include "discovery/endpoint_merge.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <pcg_random.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "net/address.h"

namespace opalroute {
namespace {

constexpr long long kDestination = 7;
using Status = EndpointRecord::Status;

sockaddr_in AddressOf(char letter) {
  return *net::ParseAddress("127.0.0." + std::to_string(letter - 'a' + 1) + ":80");
}
char LetterOf(const EndpointRecord& record) {
  return static_cast<char>('a' + (ntohl(record.address.sin_addr.s_addr) & 255) - 1);
}

EndpointRecord RecordOf(char letter, Status status = Status::kInService, double weight = 10) {
  return {"e" + std::string(1, letter), "z", "apart", AddressOf(letter), kDestination, status, weight};
}

MergeOptions Options() {
  MergeOptions options;
  options.kinds_with_endpoint_limits = {"apart"};
  options.added_zone = "z";
  options.added_kind = "apart";
  return options;
}

// Plays a row's steps and applies what is published, as a relay does.
class Scenario {
 public:
  Scenario() : merge(Options()) { merge.SetOwner(kDestination, AddressOf('x')); }
  void Play(const std::string& steps) {
    std::istringstream all(steps);
    for (std::string step; std::getline(all, step, ';');) Step(step);
  }
  void Apply(const EndpointListUpdate& update) {
    if (update.complete) published.clear();
    for (const EndpointRecord& record : update.endpoints) {
      published[record.id] = record;
      if (record.status == Status::kRemoved) published.erase(record.id);
    }
  }
  // As in the table, and checked against what was published.
  std::string Result() const {
    std::string text;
    const std::vector<MergedEndpoint> rows = merge.Endpoints();
    CHECK(rows.size() == published.size());
    for (const MergedEndpoint& row : rows) {
      REQUIRE(published.count(row.endpoint.id) == 1);
      CHECK(published.at(row.endpoint.id).status == row.endpoint.status);
      const char letter = LetterOf(row.endpoint);
      text += std::string(text.empty() ? "" : ", ") +
              (row.endpoint.status == Status::kInService ? "+" : "-") + letter + " " + NameOf(row.verdict);
    }
    return text;
  }
  EndpointMerge merge;
  std::map<std::string, EndpointRecord> published;
  double now = 100;
  std::string target = "host";

 private:
  void Step(const std::string& step) {
    std::istringstream words(step);
    std::string verb, word;
    words >> verb;
    if (verb == "at") {
      double at = 0;
      words >> at;
      now = 100 + at;
    } else if (verb == "as") {
      words >> target;
    } else if (verb == "list" || verb == "drain" || verb == "gone") {
      EndpointListUpdate update;
      update.complete = verb == "list";
      while (words >> word)
        update.endpoints.push_back(RecordOf(word[0], verb == "list"    ? Status::kInService
                                                     : verb == "drain" ? Status::kDraining
                                                                       : Status::kRemoved));
      Apply(merge.OnList(now, update));
    } else if (verb == "srv" || verb == "part") {
      std::vector<SrvTarget> targets;
      while (words >> word) {
        SrvTarget parsed{target + word.substr(0, 1), AddressOf(word[0]), 1, 1};
        if (word.size() > 2) (word[1] == '/' ? parsed.priority : parsed.weight) = std::stoi(word.substr(2));
        targets.push_back(parsed);
      }
      Apply(merge.OnTargets(now, kDestination, targets, verb == "srv"));
    } else if (verb == "dot") {
      Apply(merge.OnNotOffered(now, kDestination));
    } else {
      REQUIRE((verb == "silent" || verb == "expired"));
      Apply(merge.OnNoAnswer(now, kDestination, verb == "expired"));
    }
  }
};

TEST_CASE("merge: every row of the table") {
  std::ifstream file(MERGE_TABLE);
  REQUIRE(file);
  int rows = 0;
  for (std::string line; std::getline(file, line);) {
    if (line.empty() || line[0] == '#') continue;
    const std::size_t arrow = line.find("=>");
    REQUIRE(arrow != std::string::npos);
    CAPTURE(line);
    Scenario scenario;
    scenario.Play(line.substr(0, arrow));
    std::string expected = line.substr(arrow + 2);
    expected.erase(0, expected.find_first_not_of(' ') == std::string::npos ? expected.size()
                                                                           : expected.find_first_not_of(' '));
    CHECK(scenario.Result() == expected);
    ++rows;
  }
  CHECK(rows >= 60);
}

TEST_CASE(
    "merge: a machine keeps its name when the list names it too, and another at its address gets another") {
  Scenario scenario;
  scenario.Play("list; srv x");
  REQUIRE(scenario.published.size() == 1);
  const std::string first = scenario.published.begin()->first;
  scenario.Play("list x");
  CHECK(scenario.published.begin()->first == first);  // what the relay knows of it stays valid
  EndpointRecord moved = RecordOf('x');
  moved.address = AddressOf('b');
  EndpointListUpdate update;
  update.endpoints = {moved};
  scenario.Apply(scenario.merge.OnList(scenario.now, update));
  REQUIRE(scenario.published.size() == 1);
  CHECK(scenario.published.begin()->first == "ex");
  Scenario other;
  other.Play("list; srv x");
  const std::string before = other.published.begin()->first;
  other.Play("as another; srv x");
  REQUIRE(other.published.size() == 1);
  CHECK(other.published.begin()->first != before);
}

TEST_CASE("merge: weights part the list's ratings among routes apart") {
  Scenario scenario;
  scenario.Play("list a b c; srv a*6 b*3 c*0");
  CHECK(scenario.published.at("ea").weight == doctest::Approx(30 * 6 / 9.1));
  CHECK(scenario.published.at("eb").weight == doctest::Approx(30 * 3 / 9.1));
  CHECK(scenario.published.at("ec").weight == doctest::Approx(30 * 0.1 / 9.1));
  scenario.Play("srv a*0 b*0 c*0");
  for (const char* id : {"ea", "eb", "ec"}) CHECK(scenario.published.at(id).weight == doctest::Approx(10));
  scenario.Play("expired");
  CHECK(scenario.published.at("ea").weight == 10);
}

TEST_CASE("merge: an id that moves to another destination leaves the first") {
  Scenario scenario;
  scenario.Play("list a b");
  EndpointRecord moved = RecordOf('a');
  moved.destination = 8;
  EndpointListUpdate update;
  update.endpoints = {moved};
  const EndpointListUpdate changes = scenario.merge.OnList(scenario.now, update);
  REQUIRE(changes.endpoints.size() == 2);
  CHECK(changes.endpoints[0].destination == kDestination);
  CHECK(changes.endpoints[0].status == Status::kRemoved);
  CHECK(changes.endpoints[1].destination == 8);
}

// ---- random sequences
// --------------------------------------------------------------------------------------

// Records what the sources have said, to check what is published against the guarantees of docs/srv.md.
class Model {
 public:
  std::map<char, Status> list;
  struct Answer {
    double at = 0;
    bool names = false;  // the endpoint
  };
  std::map<char, std::vector<Answer>> answers;  // the complete ones, by endpoint
  bool not_offered = false;

  // Whether a later answer repeats an exclusion after the confirmation delay, and none between contradicts
  // it.
  bool Confirmed(char letter, double now) const {
    const auto it = answers.find(letter);
    if (it == answers.end()) return false;
    double since = -1;
    for (const Answer& answer : it->second) since = answer.names ? -1 : since < 0 ? answer.at : since;
    return since >= 0 && now - since >= 2;
  }
};

void Check(const Scenario& scenario, const Model& model, const std::map<char, bool>& before,
           const std::string& step, std::vector<double>& unconfirmed) {
  CAPTURE(step);
  int in_list = 0, serving = 0, ready = 0;
  std::map<char, bool> after;
  for (const auto& [id, record] : scenario.published) {
    const char letter = LetterOf(record);
    // Only the destination's own endpoints.
    CHECK((model.list.count(letter) > 0 || letter == 'x'));
    after[letter] = record.status == Status::kInService;
    serving += record.status == Status::kInService;
  }
  for (const auto& [letter, status] : model.list) {
    in_list += status == Status::kInService;
    // A drain by the list holds at once, whatever SRV says.
    REQUIRE(after.count(letter) == 1);
    if (status == Status::kDraining) CHECK(!after[letter]);
  }
  // Somebody stays in service, unless the service is decidedly not offered.
  if (in_list > 0 && !model.not_offered) CHECK(serving > 0);
  ready = in_list + static_cast<int>(before.count('x'));
  for (const auto& [letter, served] : before) {
    if (!served || after.count(letter) == 0 || after[letter]) continue;
    const auto listed = model.list.find(letter);
    if (listed != model.list.end() && listed->second != Status::kInService) continue;
    // Drained by SRV: only by an answer, and unconfirmed only up to the stated share.
    CHECK((step.rfind("srv", 0) == 0 || step == "dot"));
    if (model.Confirmed(letter, scenario.now)) continue;
    unconfirmed.push_back(scenario.now);
    const auto recent = std::count_if(unconfirmed.begin(), unconfirmed.end(),
                                      [&](double at) { return scenario.now - at < 30; });
    CHECK(recent <= ready / 2);
  }
}

// Letters of the endpoints that the list may name.
const std::string kListLetters = "abcdef";

bool Names(const std::string& step, char letter) {
  return step.find(std::string(" ") + letter) != std::string::npos;
}

// Some of all letters, each left out with a chance of one in `one_in`, some with a worse priority.
std::string RandomTargets(pcg32& random, std::uint32_t one_in) {
  std::string chosen;
  for (const char letter : kListLetters + "xyz") {
    if (random(one_in) != 0) chosen += std::string(" ") + letter + (random(4) == 0 ? "/2" : "");
  }
  return chosen;
}

// A whole list of some letters; an id that the list has dropped or taken up is another machine.
std::string RandomList(pcg32& random, Model& model) {
  std::string step = "list";
  const auto old = std::exchange(model.list, {});
  for (const char letter : kListLetters) {
    if (random(3) != 0) {
      step += std::string(" ") + letter;
      model.list[letter] = Status::kInService;
    }
    if (model.list.count(letter) != old.count(letter)) model.answers.erase(letter);
  }
  return step;
}

// A change of one endpoint; empty where the list can't drain what it does not name.
std::string RandomChange(pcg32& random, Model& model) {
  const char letter = kListLetters[random(6)];
  const bool drain = random(2) == 0;
  if (drain && model.list.count(letter) == 0) return "";
  if (drain) {
    model.list[letter] = Status::kDraining;
  } else {
    model.list.erase(letter);
    model.answers.erase(letter);
  }
  return std::string(drain ? "drain " : "gone ") + letter;
}

// The next step; empty: none this time. What the list says is noted in the model.
std::string RandomStep(pcg32& random, Model& model, bool first) {
  switch (first ? 0 : random(9)) {
    case 0:
      return RandomList(random, model);
    case 1:
    case 2:
      return RandomChange(random, model);
    case 3:
      return "dot";
    case 4:
      return random(4) == 0 ? "expired" : "silent";
    case 5:
      return "part" + RandomTargets(random, 2);
    default:
      return "srv" + RandomTargets(random, 2 + random(4));
  }
}

// Notes whether a complete answer includes each: named, with the best priority of those in service.
void NoteAnswer(Model& model, const std::string& step, double now) {
  const auto priority = [&](char letter) {
    const std::size_t at = step.find(std::string(" ") + letter);
    return at == std::string::npos ? 9 : step[std::min(at + 2, step.size() - 1)] == '/' ? 2 : 1;
  };
  int best = priority('x');
  for (const auto& [letter, status] : model.list) {
    if (status == Status::kInService) best = std::min(best, priority(letter));
  }
  for (const char letter : kListLetters + "x") {
    model.answers[letter].push_back({now, priority(letter) < 9 && priority(letter) <= best});
  }
}

// Notes what SRV says by a step.
void NoteSrv(Model& model, const std::string& step, double now, std::vector<double>& unconfirmed) {
  const bool complete = step.rfind("srv", 0) == 0;
  const bool not_offered = step == "dot";
  const bool answer = complete || not_offered || step.rfind("part", 0) == 0;
  const bool names_listed =
      answer && std::any_of(model.list.begin(), model.list.end(), [&](const auto& entry) {
        return entry.second == Status::kInService && Names(step, entry.first);
      });
  const bool names_one = names_listed || Names(step, 'x');
  if (not_offered) model.not_offered = true;
  if (step == "expired" || (answer && !not_offered && names_one)) model.not_offered = false;
  if (step == "expired") {
    model.answers.clear();
    unconfirmed.clear();
  }
  if (not_offered || (complete && names_one)) NoteAnswer(model, step, now);
}

std::map<char, bool> InServiceByLetter(const Scenario& scenario) {
  std::map<char, bool> in_service;
  for (const auto& [id, record] : scenario.published) {
    in_service[LetterOf(record)] = record.status == Status::kInService;
  }
  return in_service;
}

void PlayRandomSequence(std::uint64_t seed) {
  CAPTURE(seed);
  pcg32 random(seed, 9);
  Scenario scenario;
  Model model;
  std::vector<double> unconfirmed;
  double clock = 0;
  for (int i = 0; i < 60; ++i) {
    clock += random(3) == 0 ? random(20) : random(20) * 0.1;
    scenario.Play("at " + std::to_string(clock));
    const std::map<char, bool> before = InServiceByLetter(scenario);
    const std::string step = RandomStep(random, model, i == 0);
    if (step.empty()) continue;
    NoteSrv(model, step, scenario.now, unconfirmed);
    scenario.Play(step);
    Check(scenario, model, before, step, unconfirmed);
  }
}

TEST_CASE("merge: 1,000 random sequences with faults keep every guarantee, step by step") {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) PlayRandomSequence(seed);
}

}  // namespace
}  // namespace opalroute
