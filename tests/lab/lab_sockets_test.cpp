// The laboratory on sockets: real relay processes, and the page on a run.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/socket.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>

#include "config/fields.h"
#include "lab/faults/plan.h"
#include "lab/faults/requests_read.h"
#include "lab/report/report.h"
#include "lab/simulation.h"
#include "lab/soak/soak.h"
#include "lab/sockets/play.h"
#include "lab/sockets/process.h"
#include "lab/sockets/relay_process.h"
#include "net/address.h"
#include "net/http.h"
#include "tests/support/program.h"
#include "tests/support/somebody_listens.h"

namespace opalroute::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

class Folder {
 public:
  Folder() : path_(fs::temp_directory_path() / ("opalroute-lab-test-" + std::to_string(getpid()))) {
    fs::remove_all(path_);
    fs::create_directories(path_);
  }
  ~Folder() { fs::remove_all(path_); }
  std::string operator/(const std::string& name) const { return (path_ / name).string(); }

 private:
  fs::path path_;
};

// Six seconds of a small deployment in which a partner shuts.
json SmallDay() {
  json classes = json::array();
  for (const char* effect : {"idempotent", "deduplicated", "at_most_once"})
    classes.push_back({{"name", effect},
                       {"effect", effect},
                       {"share", effect == std::string("idempotent") ? 0.6 : 0.2},
                       {"aim_s", 1},
                       {"deadline_s", 4},
                       {"worth", 1}});
  return {{"name", "small"},
          {"relays", 2},
          {"classes", classes},
          {"lasts_s", 6},
          {"load", {{"rate", 40}}},
          {"partners", {{"count", 5}, {"apart", 0.4}, {"bundle", 3}, {"latency_s", {0.05, 0.1}}}},
          {"troubles", {{{"kind", "shut"}, {"partner", 1}, {"from_s", 1}, {"lasts_s", 2}}}}};
}

SocketOptions OptionsIn(const std::string& folder) {
  SocketOptions options;
  options.program = RELAY_PROGRAM;
  options.folder = folder;
  return options;
}

// A run on a machine that was busy says nothing, and says so: then once more.
RunResult Played(const Scenario& scenario, const SocketOptions& options) {
  RunResult result = PlayOnSockets(scenario, 1, options);
  for (int i = 0; i < 4 && !result.void_because.empty(); ++i) result = PlayOnSockets(scenario, 1, options);
  REQUIRE(result.void_because.empty());
  return result;
}

// ---- whole runs ----------------------------------------------------------------------------------------

TEST_CASE("lab: sockets and simulated time say the same of a small day") {
  const Folder folder;
  const Scenario scenario = ReadScenario(SmallDay());
  const RunResult simulated = Simulation(scenario, 1).Run();
  const RunResult real = Played(scenario, OptionsIn(folder / "run"));
  for (const RunResult* r : {&simulated, &real}) {
    CHECK(r->breaches.empty());
    CHECK(r->crashes.empty());
  }
  for (std::size_t c = 0; c < 3; ++c) {
    CHECK(real.classes[c].asked == simulated.classes[c].asked);  // the same traffic
    CHECK(real.classes[c].delivered >= simulated.classes[c].delivered * 0.9);
  }
  CHECK(std::abs(real.Worth() - simulated.Worth()) < 0.1);
  CHECK(std::abs(real.classes[0].latency.At(0.5) - simulated.classes[0].latency.At(0.5)) < 0.05);
  CHECK(real.processes[1].size() >= 6);
  CHECK(real.processes[1].back().rss_kb > 1000);
}

TEST_CASE("lab: relays that are killed, stopped, frozen and told to reload break no rule") {
  const Folder folder;
  json day = SmallDay();
  day["relay_faults"] = {{{"kind", "kill"}, {"relay", 0}, {"at_s", 1}, {"down_s", 0.6}},
                         {{"kind", "stop"}, {"relay", 1}, {"at_s", 2.5}, {"down_s", 0.6}},
                         {{"kind", "freeze"}, {"relay", 0}, {"at_s", 4}, {"down_s", 0.5}},
                         {{"kind", "reload"}, {"relay", 0}, {"at_s", 5}}};
  const RunResult r = Played(ReadScenario(day), OptionsIn(folder / "run"));
  CHECK(r.crashes.empty());
  for (const Breach& b : r.breaches) FAIL_CHECK(std::string(NameOf(b.kind)), " at ", b.at, ": ", b.trace);
  CHECK(r.processes[0].back().cpu < r.processes[0].front().cpu + 60);
  std::ifstream log(folder / "run/relay0/log");
  std::string text((std::istreambuf_iterator<char>(log)), std::istreambuf_iterator<char>());
  std::size_t starts = 0;
  for (std::size_t at = text.find("listening"); at != std::string::npos; at = text.find("listening", at + 1))
    ++starts;
  CHECK(starts == 2);
}

TEST_CASE("lab: a frozen relay in simulated time does what it has to do once it may") {
  json day = SmallDay();
  day["relays"] = 1;
  day["troubles"] = json::array();
  const RunResult sound = Simulation(ReadScenario(day), 1).Run();
  day["relay_faults"] = {{{"kind", "freeze"}, {"relay", 0}, {"at_s", 2}, {"down_s", 1}}};
  const RunResult frozen = Simulation(ReadScenario(day), 1).Run();
  CHECK(frozen.breaches.empty());
  CHECK(frozen.seconds[2].calls < sound.seconds[2].calls / 4);
  CHECK(frozen.classes[0].latency.At(0.99) > sound.classes[0].latency.At(0.99) + 0.3);
}

TEST_CASE("lab: a relay that crashes is reported with its log, and the run comes to its end") {
  const Folder folder;
  const std::string program = folder / "relay";
  // The first to start is killed after 2 s by one who is not the laboratory.
  std::ofstream(program) << "#!/bin/sh\nif mkdir '" << (folder / "first")
                         << "' 2>/dev/null; then exec timeout --foreground -s KILL 2 '" << RELAY_PROGRAM
                         << "'; fi\nexec '" << RELAY_PROGRAM << "'\n";
  fs::permissions(program, fs::perms::owner_all);
  SocketOptions options = OptionsIn(folder / "run");
  options.program = program;
  options.most_lateness = options.most_lateness_p99 = 100;  // it is about the crash alone
  const RunResult r = PlayOnSockets(ReadScenario(SmallDay()), 1, options);
  REQUIRE(r.crashes.size() == 1);
  CHECK(r.crashes[0].at < 3);
  CHECK(r.crashes[0].last_log.find("listening") != std::string::npos);
  CHECK(!r.Sound());
}

// Starts no program; says whether a socket that nobody has told of it could take the address of the process.
class AddressTaker : private RelayProcess::Owner {
 public:
  explicit AddressTaker(const std::string& folder) : relay_(loop_, 1, PlanOf(folder), *this) {
    relay_.Start();
  }
  int error() const { return error_; }

 private:
  RelayProcess::Plan PlanOf(const std::string& folder) {
    RelayProcess::Plan plan;
    plan.program = "/bin/true";
    plan.folder = folder;
    plan.config = [this](const std::string& listen) {
      const sockaddr_in address = *net::ParseAddress(listen);
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      error_ = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 ? 0 : errno;
      close(fd);
      return json::object();
    };
    return plan;
  }
  void OnReady(int) override {}
  void OnCrash(int, const std::string&) override {}

  const net::SystemClock clock_;
  net::EventLoop loop_{clock_};
  int error_ = 0;
  RelayProcess relay_;
};

TEST_CASE("lab: nobody else gets a relay's address while its process starts") {
  const Folder folder;
  CHECK(AddressTaker(folder / "relay").error() == EADDRINUSE);
}

// A quiet day whose relays' reads from sockets may fail.
RunResult PlayWithReads(const Folder& folder, int error) {
  SocketOptions options = OptionsIn(folder / "run");
  options.clients_stay = true;
  options.most_lateness = options.most_lateness_p99 = 100;  // it is about connections that end
  options.variables = [error](int, const std::string& state_folder) {
    faults::Plan plan;
    plan.seed = 5;
    plan.folder = state_folder;
    plan.episodes.push_back({faults::Call::kRead, error, 2, 4, 0.5, 0});
    return std::map<std::string, std::string>{{"LD_PRELOAD", FAULTS_LIBRARY},
                                              {faults::kPlanVariable, plan.Write()}};
  };
  json day = SmallDay();
  day.erase("troubles");
  return PlayOnSockets(ReadScenario(day), 1, options);
}

TEST_CASE("lab: a relay that closes a connection with a request read and not answered breaks a rule") {
  const Folder folder;
  // No error of a read that passes: the relay ends the connection, and its client sees that.
  CHECK(!PlayWithReads(folder, EIO).breaches.empty());
  const RunResult short_of_memory = PlayWithReads(folder, ENOMEM);
  for (const Breach& breach : short_of_memory.breaches) MESSAGE(NameOf(breach.kind), " ", breach.trace);
  CHECK(short_of_memory.breaches.empty());
}

constexpr net::Seconds kStopsAt = 1.5;

// A short day on which one of two relays is told to end; what it writes to sockets may fail from about then
// on.
RunResult PlayStop(const Folder& folder, bool writes_fail) {
  SocketOptions options = OptionsIn(folder / "run");
  options.clients_stay = true;
  options.requests_read = "requests_read";
  options.most_lateness = options.most_lateness_p99 = 100;  // it is about connections that end
  options.variables = [writes_fail](int relay, const std::string& state_folder) {
    faults::Plan plan;
    plan.seed = 5;
    plan.folder = state_folder;
    plan.requests_read = fs::path(state_folder).replace_filename("requests_read");
    if (writes_fail && relay == 0)
      plan.episodes.push_back({faults::Call::kWrite, EIO, kStopsAt, kStopsAt + 5, 1, 0});
    return std::map<std::string, std::string>{{"LD_PRELOAD", FAULTS_LIBRARY},
                                              {faults::kPlanVariable, plan.Write()}};
  };
  json day = SmallDay();
  day.erase("troubles");
  day["lasts_s"] = 3;
  day["load"]["rate"] = 200;
  day["relay_faults"] = {{{"kind", "stop"}, {"relay", 0}, {"at_s", kStopsAt}, {"down_s", 0.1}}};
  return PlayOnSockets(ReadScenario(day), 1, options);
}

// Guards against an auditor that looks away once a relay has been told to end.
TEST_CASE("lab: a stopping relay that closes a connection with a request read and not answered is caught") {
  const Folder folder;
  const RunResult result = PlayStop(folder, true);
  // The faults' clock is the process's, which begins a little before the day's: until the signal the relay
  // serves.
  CHECK(std::any_of(result.breaches.begin(), result.breaches.end(), [](const Breach& breach) {
    return breach.kind == BreachKind::kClosedUnanswered && breach.at > kStopsAt + 0.01;
  }));
}

TEST_CASE("lab: a sound relay's stop breaks no rule under clients that stay") {
  const Folder folder;
  const RunResult result = PlayStop(folder, false);
  for (const Breach& breach : result.breaches) MESSAGE(NameOf(breach.kind), " ", breach.trace);
  CHECK(result.breaches.empty());
}

// Guards against a record that names requests too early, or leaves some out where reads are cut short.
TEST_CASE("lab: a request is recorded as read with its last byte, however reads cut it") {
  const Folder folder;
  const std::string path = folder / "requests_read";
  constexpr int kDescriptor = 7;
  faults::RequestsRead requests(path);
  const auto read = [&requests](std::string bytes) {
    const std::size_t half = bytes.size() / 2;
    const iovec parts[] = {{bytes.data(), half}, {bytes.data() + half, bytes.size() - half}};
    requests.Read(kDescriptor, parts, 2, bytes.size());
  };
  const auto recorded = [&path] {
    std::ifstream file(path);
    return std::string(std::istreambuf_iterator<char>(file), {});
  };
  const auto request = [](const std::string& id) {
    return net::FormatRequest("POST", "/api", {{"Host", "lab"}, {"X-Txn", id}}, "hello");
  };
  read(request("m1"));  // of a descriptor that is no client's
  CHECK(recorded().empty());
  requests.Accepted(kDescriptor);
  const std::string second = request("m2");
  for (std::size_t i = 0; i + 1 < second.size(); ++i) read(second.substr(i, 1));
  CHECK(recorded().empty());
  read(second.substr(second.size() - 1));
  CHECK(recorded() == "m2\n");
  read(request("m3") + request("m4") + request("m5").substr(0, 20));
  CHECK(recorded() == "m2\nm3\nm4\n");
  requests.Closed(kDescriptor);
  requests.Accepted(kDescriptor);  // the half request was another connection's
  read(request("m6"));
  CHECK(recorded() == "m2\nm3\nm4\nm6\n");
}

TEST_CASE("lab: a plan of faults is read as it was written, and a seed draws the same one again") {
  for (std::uint64_t seed = 1; seed < 20; ++seed) {
    const std::string text = DrawFaults(seed, 3, 1, "/state").Write();
    CHECK(faults::Plan::Read(text).Write() == text);
    CHECK(DrawFaults(seed, 3, 1, "/state").Write() == text);
    CHECK(DrawFaults(seed, 3, 2, "/state").Write() != text);
    CHECK(DrawSoakScenario(seed) == DrawSoakScenario(seed));
    CHECK_NOTHROW(ReadScenario(DrawSoakScenario(seed)));
  }
  CHECK_THROWS_AS(faults::Plan::Read("5 /state fails 99 1 0 1 1 0"), std::invalid_argument);
  CHECK_THROWS_AS(faults::Plan::Read("5 /state breaks"), std::invalid_argument);
}

TEST_CASE("lab: a relay that does not come up ends the run with its log") {
  const Folder folder;
  SocketOptions options = OptionsIn(folder / "run");
  options.relay_arguments = {"--no-such-flag"};
  std::string why;
  try {
    PlayOnSockets(ReadScenario(SmallDay()), 1, options);
  } catch (const std::runtime_error& error) {
    why = error.what();
  }
  CHECK(why.find("did not come up: exit status") != std::string::npos);
  CHECK(why.find("no-such-flag") != std::string::npos);
}

TEST_CASE("lab: a run whose laboratory was late is void") {
  const Folder folder;
  SocketOptions options = OptionsIn(folder / "run");
  options.most_lateness = 0;
  json day = SmallDay();
  day["lasts_s"] = 0.5;
  const RunResult r = PlayOnSockets(ReadScenario(day), 1, options);
  CHECK(r.void_because.find("late") != std::string::npos);
}

TEST_CASE("lab: an interrupt leaves no process behind, and SIGKILL does not either") {
  const Folder folder;
  std::ofstream(folder / "day.json") << SmallDay().dump();
  for (const int number : {SIGINT, SIGKILL}) {
    const std::string out = folder / ("run" + std::to_string(number));
    Program lab(folder / "none", "",
                {"run", folder / "day.json", "--sockets", "--out", out, "--relay", RELAY_PROGRAM},
                LAB_PROGRAM);
    std::string address;
    for (int i = 0; i < 1000 && address.empty(); ++i) {
      usleep(10000);
      std::ifstream file(out + "/relays/relay1/config.json");
      const json config = json::parse(file, nullptr, false);
      if (config.is_object() && SomebodyListens(config["listen"])) address = config["listen"];
    }
    REQUIRE(!address.empty());
    lab.Signal(number);
    lab.ExitStatus();
    bool gone = false;
    for (int i = 0; i < 500 && !gone; ++i) {
      gone = !SomebodyListens(address);
      if (!gone) usleep(10000);
    }
    CHECK(gone);
  }
}

// ---- comparisons ---------------------------------------------------------------------------------------

// Runs the laboratory with these words. Returns its exit status.
int Lab(const std::vector<std::string>& words, std::string* last_line = nullptr) {
  Program lab("none", "", words, LAB_PROGRAM);
  std::string line, found;
  while (!(line = lab.Line("")).empty()) found = line;
  if (last_line != nullptr) *last_line = found;
  return WEXITSTATUS(lab.ExitStatus());
}

TEST_CASE("lab: two builds are compared, in simulated time and on sockets") {
  const Folder folder;
  json day = SmallDay();
  day["lasts_s"] = 2;
  day["troubles"] = json::array();
  std::ofstream(folder / "day.json") << day.dump();
  const std::string build = fs::path(LAB_PROGRAM).parent_path().string();
  std::string last;
  // The same build against itself: its own process gives what this one gives.
  CHECK(Lab({"compare", folder / "day.json", folder / "day.json", "--build-b", build, "--seeds", "3"},
            &last) == 0);
  CHECK(last.find("breaches") == 0);
  CHECK(last.find("no difference") != std::string::npos);
  const int on_sockets = Lab(
      {"compare", folder / "day.json", folder / "day.json", "--sockets", "--build-b", build, "--seeds", "2"},
      &last);
  CHECK((on_sockets == 0 || on_sockets == 3));  // 3: the machine was busy, and it says so
  CHECK(Lab({"compare", folder / "day.json", folder / "day.json", "--build-a", folder / "none", "--seeds",
             "2"}) == 2);
  CHECK(Lab({"sweep", folder / "day.json", "load.rate", "20", "40", "--seeds", "2"}, &last) == 0);
  CHECK(last.rfind("40 ", 0) == 0);
}

// ---- the report ----------------------------------------------------------------------------------------

int CountOf(const std::string& text, const std::string& part) {
  int count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

TEST_CASE("lab: the report of two runs has its parts in order, and needs no network") {
  const Folder folder;
  json day = SmallDay();
  for (const char* name : {"a", "b"}) {
    RunResult r = Simulation(ReadScenario(day), 1).Run();
    r.breaches.push_back({BreachKind::kSentDuringRetryAfter, 1.5, 0, 7, 2, "sent to <b>2</b> & out"});
    r.crashes.push_back({1, 2, "signal 9", "the last <line>"});
    fs::create_directories(folder / name);
    std::ofstream(folder / (std::string(name) + "/result.json")) << r.ToJson().dump();
    day["load"]["rate"] = 80;
  }
  const std::string page = WriteReport({ReadRun(folder / "a"), ReadRun(folder / "b")});
  std::string sections;
  const std::regex section("<section id=\"([a-z]+)\">");
  for (std::sregex_iterator it(page.begin(), page.end(), section), end; it != end; ++it)
    sections += (*it)[1].str() + " ";
  CHECK(sections == "figures flow zones partner latency classes destinations breaches crashes ");
  CHECK(CountOf(page, "<svg") == 8);
  CHECK(CountOf(page, "</svg>") == 8);
  CHECK(CountOf(page, "in_wait") == 2);
  CHECK(page.find("sent to &lt;b&gt;2&lt;/b&gt; &amp; out") != std::string::npos);
  CHECK(page.find("the last &lt;line&gt;") != std::string::npos);
  // Addresses that only name XML dialects are fetched by nobody.
  const std::regex fetched("(src|href|url)\\s*[=(]\\s*[\"']?(https?:|//)");
  CHECK(!std::regex_search(page, fetched));
  CHECK(page.find("{{") == std::string::npos);
  CHECK(page.rfind("</html>\n") == page.size() - 8);
}

TEST_CASE("lab: a report on what is no run says what is lacking") {
  const Folder folder;
  CHECK_THROWS_WITH_AS(ReadRun(folder / "no"), doctest::Contains("there is no"), config::FieldError);
  std::ofstream(folder / "result.json") << "{}";
  CHECK_THROWS_WITH_AS(ReadRun(folder / ""), doctest::Contains("has no 'scenario'"), config::FieldError);
}

}  // namespace
}  // namespace opalroute::lab
