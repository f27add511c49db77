// Tests the merge of the endpoint list with SRV: every row of merge_table.txt, endpoint ids, ratings, and
// long random sequences that are checked against a model of the guarantees in docs/srv.md. The model is
// independent of the implementation.
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
constexpr long long kOtherDestination = 8;
using Status = EndpointRecord::Status;

sockaddr_in AddressOf(char letter) {
  return *net::ParseAddress("127.0.0." + std::to_string(letter - 'a' + 1) + ":80");
}
char LetterOf(const EndpointRecord& record) {
  return static_cast<char>('a' + (ntohl(record.address.sin_addr.s_addr) & 255) - 1);
}

EndpointRecord MakeRecord(char letter, Status status = Status::kInService, double weight = 10) {
  return {"e" + std::string(1, letter), "z", "apart", AddressOf(letter), kDestination, status, weight};
}

// An endpoint of kOtherDestination at the letter's address.
EndpointRecord MakeOtherRecord(char letter, Status status) {
  EndpointRecord record = MakeRecord(letter, status);
  record.id = "other-" + record.id;
  record.destination = kOtherDestination;
  return record;
}

EndpointMergeOptions Options() {
  EndpointMergeOptions options;
  options.kinds_with_endpoint_limits = {"apart"};
  return options;
}

// Runs the steps of a table row and applies the published updates, as a relay does.
class Scenario {
 public:
  Scenario() : merge(Options()) { merge.AddOwnAddress(kDestination, AddressOf('x')); }
  void Run(const std::string& steps) {
    std::istringstream all(steps);
    for (std::string step; std::getline(all, step, ';');) RunStep(step);
  }
  void Apply(const EndpointListUpdate& update) {
    if (update.complete) published.clear();
    for (const EndpointRecord& record : update.endpoints) {
      published[record.id] = record;
      if (record.status == Status::kRemoved) published.erase(record.id);
    }
  }
  // The endpoints of kDestination in the notation of the table. Also checks
  // them against the published updates.
  std::string Result() const {
    std::string text;
    const std::vector<MergedEndpoint> rows = merge.Endpoints();
    CHECK(rows.size() == published.size());
    for (const MergedEndpoint& row : rows) {
      REQUIRE(published.count(row.endpoint.id) == 1);
      CHECK(published.at(row.endpoint.id).status == row.endpoint.status);
      if (row.endpoint.destination != kDestination) continue;
      const char letter = LetterOf(row.endpoint);
      text += std::string(text.empty() ? "" : ", ") +
              (row.endpoint.status == Status::kInService ? "+" : "-") + letter + " " + NameOf(row.reason);
    }
    return text;
  }
  EndpointMerge merge;
  std::map<std::string, EndpointRecord> published;
  double now = 100;
  std::string target = "host";

 private:
  void RunStep(const std::string& step) {
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
        update.endpoints.push_back(MakeRecord(word[0], verb == "list"    ? Status::kInService
                                                       : verb == "drain" ? Status::kDraining
                                                                         : Status::kRemoved));
      Apply(merge.OnList(now, update));
    } else if (verb == "other" || verb == "other-drain" || verb == "other-gone") {
      EndpointListUpdate update;
      while (words >> word)
        update.endpoints.push_back(MakeOtherRecord(word[0], verb == "other"         ? Status::kInService
                                                            : verb == "other-drain" ? Status::kDraining
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
    scenario.Run(line.substr(0, arrow));
    std::string expected = line.substr(arrow + 2);
    expected.erase(0, expected.find_first_not_of(' ') == std::string::npos ? expected.size()
                                                                           : expected.find_first_not_of(' '));
    CHECK(scenario.Result() == expected);
    ++rows;
  }
  CHECK(rows >= 60);
}

TEST_CASE("merge: a machine keeps its id once the list names it; another at its address gets a new one") {
  Scenario scenario;
  scenario.Run("list; srv x");
  REQUIRE(scenario.published.size() == 1);
  const std::string first = scenario.published.begin()->first;
  scenario.Run("list x");
  CHECK(scenario.published.begin()->first == first);  // the relay's state for it stays valid
  EndpointRecord moved = MakeRecord('x');
  moved.address = AddressOf('b');
  EndpointListUpdate update;
  update.endpoints = {moved};
  scenario.Apply(scenario.merge.OnList(scenario.now, update));
  REQUIRE(scenario.published.size() == 1);
  CHECK(scenario.published.begin()->first == "ex");
  Scenario other;
  other.Run("list; srv x");
  const std::string before = other.published.begin()->first;
  other.Run("as another; srv x");
  REQUIRE(other.published.size() == 1);
  CHECK(other.published.begin()->first != before);
}

TEST_CASE("merge: SRV weights divide the listed ratings among endpoints with limits of their own") {
  Scenario scenario;
  scenario.Run("list a b c; srv a*6 b*3 c*0");
  CHECK(scenario.published.at("ea").weight == doctest::Approx(30 * 6 / 9.1));
  CHECK(scenario.published.at("eb").weight == doctest::Approx(30 * 3 / 9.1));
  CHECK(scenario.published.at("ec").weight == doctest::Approx(30 * 0.1 / 9.1));
  scenario.Run("srv a*0 b*0 c*0");
  for (const char* id : {"ea", "eb", "ec"}) CHECK(scenario.published.at(id).weight == doctest::Approx(10));
  scenario.Run("expired");
  CHECK(scenario.published.at("ea").weight == 10);
}

// Guards against a drain by the list that SRV outlives: the endpoint that SRV
// had added stayed beside a listed one that had moved to its address.
TEST_CASE("merge: a listed endpoint that moves to an added one's address takes its place") {
  Scenario scenario;
  scenario.Run("list a; srv a x");
  REQUIRE(scenario.published.size() == 2);
  EndpointRecord moved = MakeRecord('a');
  moved.address = AddressOf('x');
  EndpointListUpdate update;
  update.endpoints = {moved};
  scenario.Apply(scenario.merge.OnList(scenario.now, update));
  REQUIRE(scenario.published.size() == 1);
  CHECK(scenario.published.begin()->first == "ea");
  scenario.Run("srv a x; gone a; srv x");
  CHECK(scenario.published.empty());
}

TEST_CASE("merge: an id that moves to another destination is removed from the first") {
  Scenario scenario;
  scenario.Run("list a b");
  EndpointRecord moved = MakeRecord('a');
  moved.destination = 8;
  EndpointListUpdate update;
  update.endpoints = {moved};
  const EndpointListUpdate changes = scenario.merge.OnList(scenario.now, update);
  REQUIRE(changes.endpoints.size() == 2);
  CHECK(changes.endpoints[0].destination == kDestination);
  CHECK(changes.endpoints[0].status == Status::kRemoved);
  CHECK(changes.endpoints[1].destination == 8);
}

// Guards against an endpoint that no destination has until the next complete list: the removal from the
// former destination came after the update that named it in the new one.
TEST_CASE("merge: an id that moves to a destination with a lower number is removed from the first before") {
  Scenario scenario;
  scenario.Run("list a; other b");
  EndpointRecord moved = MakeRecord('b');
  moved.id = "other-eb";
  EndpointListUpdate update;
  update.endpoints = {moved};
  scenario.Apply(scenario.merge.OnList(scenario.now, update));
  REQUIRE(scenario.published.count("other-eb") == 1);
  CHECK(scenario.published.at("other-eb").destination == kDestination);
}

// ---- random sequences ------------------------------------------------------------------------------------

// Records the input of both sources, to check the published updates against the guarantees of docs/srv.md.
class ReferenceModel {
 public:
  std::map<char, Status> list;
  struct Answer {
    double at = 0;
    bool includes = false;  // the endpoint
  };
  std::map<char, std::vector<Answer>> answers;  // complete answers, by endpoint
  bool not_offered = false;

  // Whether an exclusion is confirmed: an answer repeats it after the confirmation delay, and no answer in
  // between contradicts it.
  bool Confirmed(char letter, double now) const {
    const auto it = answers.find(letter);
    if (it == answers.end()) return false;
    double since = -1;
    for (const Answer& answer : it->second) since = answer.includes ? -1 : since < 0 ? answer.at : since;
    return since >= 0 && now - since >= 2;
  }
};

void CheckGuarantees(const Scenario& scenario, const ReferenceModel& model,
                     const std::map<char, bool>& before, const std::string& step,
                     std::vector<double>& unconfirmed) {
  CAPTURE(step);
  int listed_in_service = 0, in_service = 0, eligible = 0;
  std::map<char, bool> after;
  for (const auto& [id, record] : scenario.published) {
    const char letter = LetterOf(record);
    // Only listed endpoints and the own address are published.
    CHECK((model.list.count(letter) > 0 || letter == 'x'));
    after[letter] = record.status == Status::kInService;
    in_service += record.status == Status::kInService;
  }
  for (const auto& [letter, status] : model.list) {
    listed_in_service += status == Status::kInService;
    // A drain by the list takes effect at once, whatever SRV says.
    REQUIRE(after.count(letter) == 1);
    if (status == Status::kDraining) CHECK(!after[letter]);
  }
  // At least one endpoint stays in service, unless SRV says that the service is not offered.
  if (listed_in_service > 0 && !model.not_offered) CHECK(in_service > 0);
  eligible = listed_in_service + static_cast<int>(before.count('x'));
  for (const auto& [letter, served] : before) {
    if (!served || after.count(letter) == 0 || after[letter]) continue;
    const auto listed = model.list.find(letter);
    if (listed != model.list.end() && listed->second != Status::kInService) continue;
    // SRV drains only by a complete answer, and without confirmation only up to the permitted share.
    CHECK((step.rfind("srv", 0) == 0 || step == "dot"));
    if (model.Confirmed(letter, scenario.now)) continue;
    unconfirmed.push_back(scenario.now);
    const auto recent = std::count_if(unconfirmed.begin(), unconfirmed.end(),
                                      [&](double at) { return scenario.now - at < 30; });
    CHECK(recent <= eligible / 2);
  }
}

// Letters of the endpoints that the list may name.
const std::string kListLetters = "abcdef";

bool Names(const std::string& step, char letter) {
  return step.find(std::string(" ") + letter) != std::string::npos;
}

// A random selection of all letters, each left out with probability 1 / `one_in`, some with a worse priority.
std::string RandomTargets(pcg32& random, std::uint32_t one_in) {
  std::string chosen;
  for (const char letter : kListLetters + "xyz") {
    if (random(one_in) != 0) chosen += std::string(" ") + letter + (random(4) == 0 ? "/2" : "");
  }
  return chosen;
}

// A complete list of random letters. An id that the list adds or drops stands for a different machine from
// then on, so its earlier answers no longer count.
std::string RandomList(pcg32& random, ReferenceModel& model) {
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

// A drain or removal of one endpoint. Empty for a drain of an endpoint that is not listed.
std::string RandomChange(pcg32& random, ReferenceModel& model) {
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

// Returns the next step, or an empty string for none. Records list changes in the model.
std::string RandomStep(pcg32& random, ReferenceModel& model, bool first) {
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

// Records for each endpoint whether a complete answer includes it: names it with the best priority of those
// in service.
void RecordAnswer(ReferenceModel& model, const std::string& step, double now) {
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

// Records the SRV input of a step.
void RecordSrvStep(ReferenceModel& model, const std::string& step, double now,
                   std::vector<double>& unconfirmed) {
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
  if (not_offered || (complete && names_one)) RecordAnswer(model, step, now);
}

std::map<char, bool> InServiceByLetter(const Scenario& scenario) {
  std::map<char, bool> in_service;
  for (const auto& [id, record] : scenario.published) {
    in_service[LetterOf(record)] = record.status == Status::kInService;
  }
  return in_service;
}

void RunRandomSequence(std::uint64_t seed) {
  CAPTURE(seed);
  pcg32 random(seed, 9);
  Scenario scenario;
  ReferenceModel model;
  std::vector<double> unconfirmed;
  double clock = 0;
  for (int i = 0; i < 60; ++i) {
    clock += random(3) == 0 ? random(20) : random(20) * 0.1;
    scenario.Run("at " + std::to_string(clock));
    const std::map<char, bool> before = InServiceByLetter(scenario);
    const std::string step = RandomStep(random, model, i == 0);
    if (step.empty()) continue;
    RecordSrvStep(model, step, scenario.now, unconfirmed);
    scenario.Run(step);
    CheckGuarantees(scenario, model, before, step, unconfirmed);
  }
}

TEST_CASE("merge: every step of 1,000 random sequences with faults keeps the guarantees") {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) RunRandomSequence(seed);
}

// ---- addresses that the list gives from one destination to another ---------------------------------------

// The list as its updates tell it, one change at a time: the entry that was given an address last has it.
class AddressModel {
 public:
  struct Entry {
    long long destination = 0;
    char letter = 0;  // its address
    int given_in = 0;
    Status status = Status::kInService;
  };

  void Name(const std::string& id, const Entry& entry) {
    const auto known = entries.find(id);
    const bool same_place = known != entries.end() && known->second.letter == entry.letter &&
                            known->second.destination == entry.destination;
    const int given_in = same_place ? known->second.given_in : entry.given_in;
    entries[id] = entry;
    entries[id].given_in = given_in;
  }
  void RecordWithdrawals(double now) {
    for (const char letter : kLetters) {
      const bool named = Owner(letter) != nullptr;
      if (!named && named_before_.count(letter) > 0) withdrawn_at_[letter] = now;
      named_before_.erase(letter);
      if (named) named_before_.insert(letter);
    }
  }
  // The entry that has the address; null if the list does not name it.
  const Entry* Owner(char letter) const {
    const Entry* owner = nullptr;
    for (const auto& [id, entry] : entries) {
      const bool newer = owner == nullptr || entry.given_in > owner->given_in;
      if (entry.letter == letter && newer) owner = &entry;
    }
    return owner;
  }
  bool SrvMayAdd(char letter, long long destination, double now) const {
    const auto withdrawn = withdrawn_at_.find(letter);
    return letter == OwnLetter(destination) &&
           (withdrawn == withdrawn_at_.end() || now - withdrawn->second >= 600);
  }
  static char OwnLetter(long long destination) { return destination == kDestination ? 'c' : 'd'; }

  static inline const std::string kLetters = "abcd";
  std::map<std::string, Entry> entries;  // by id

 private:
  std::set<char> named_before_;
  std::map<char, double> withdrawn_at_;
};

void CheckAddresses(const Scenario& scenario, const AddressModel& model) {
  std::map<long long, int> in_service, listed_in_service;
  for (const auto& [id, record] : scenario.published) {
    const char letter = LetterOf(record);
    CAPTURE(letter);
    const AddressModel::Entry* owner = model.Owner(letter);
    if (owner != nullptr) {
      CHECK(record.destination == owner->destination);
      if (owner->status == Status::kDraining) CHECK(record.status == Status::kDraining);
    } else {
      CHECK(model.SrvMayAdd(letter, record.destination, scenario.now));
    }
    in_service[record.destination] += record.status == Status::kInService;
  }
  for (const char letter : AddressModel::kLetters) {
    const AddressModel::Entry* owner = model.Owner(letter);
    if (owner != nullptr) listed_in_service[owner->destination] += owner->status == Status::kInService;
  }
  for (const auto& [destination, listed] : listed_in_service) {
    if (listed > 0) CHECK(in_service[destination] > 0);
  }
}

// One change of the list: an endpoint comes, moves, drains or goes, or the complete list is repeated.
EndpointListUpdate RandomListUpdate(pcg32& random, AddressModel& model, int step) {
  EndpointListUpdate update;
  const std::string id = "m" + std::to_string(random(6));
  AddressModel::Entry entry{random(2) == 0 ? kDestination : kOtherDestination,
                            AddressModel::kLetters[random(4)], step, Status::kInService};
  const auto known = model.entries.find(id);
  const std::uint32_t kind = random(5);
  if (kind <= 1 && known != model.entries.end()) {
    entry = known->second;
    entry.status = kind == 0 ? Status::kRemoved : Status::kDraining;
  }
  if (entry.status == Status::kRemoved) {
    model.entries.erase(id);
  } else {
    model.Name(id, entry);
  }
  const auto add = [&](const std::string& name, const AddressModel::Entry& named) {
    update.endpoints.push_back(MakeRecord(named.letter, named.status));
    update.endpoints.back().id = name;
    update.endpoints.back().destination = named.destination;
  };
  update.complete = kind == 2;
  if (!update.complete) add(id, entry);
  for (const auto& [name, named] : model.entries) {
    if (update.complete) add(name, named);
  }
  return update;
}

// Guards against messages that are sent to an endpoint of another destination: SRV named an address for a
// destination after the list had given it to another one.
TEST_CASE(
    "merge: in 2,000 random sequences an address is published for the destination that the list gave it "
    "last") {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    CAPTURE(seed);
    pcg32 random(seed, 11);
    Scenario scenario;
    AddressModel model;
    for (const long long destination : {kDestination, kOtherDestination})
      scenario.merge.AddOwnAddress(destination, AddressOf(AddressModel::OwnLetter(destination)));
    for (int step = 1; step <= 60; ++step) {
      scenario.now += random(20) == 0 ? 700 : random(30) * 0.1;
      const long long destination = random(2) == 0 ? kDestination : kOtherDestination;
      switch (random(5)) {
        case 0:
        case 1:
          scenario.Apply(scenario.merge.OnList(scenario.now, RandomListUpdate(random, model, step)));
          model.RecordWithdrawals(scenario.now);
          break;
        case 2:
          scenario.Apply(scenario.merge.OnNoAnswer(scenario.now, destination, random(2) == 0));
          break;
        default: {
          std::vector<SrvTarget> targets;
          for (const char letter : AddressModel::kLetters) {
            const int priority = random(4) == 0 ? 2 : 1;
            const std::string host = std::string("h") + letter;
            if (random(3) != 0) targets.push_back({host, AddressOf(letter), priority, 1});
          }
          const bool complete = random(4) != 0;
          scenario.Apply(scenario.merge.OnTargets(scenario.now, destination, targets, complete));
        }
      }
      CAPTURE(step);
      CheckAddresses(scenario, model);
    }
  }
}

}  // namespace
}  // namespace opalroute
