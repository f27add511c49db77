// Tests of the laboratory on sockets, with real relay processes, and of the report on a run.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/socket.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>

#include "config/fields.h"
#include "lab/faults/plan.h"
#include "lab/faults/request_recorder.h"
#include "lab/report/report.h"
#include "lab/simulation.h"
#include "lab/soak/soak.h"
#include "lab/sockets/process.h"
#include "lab/sockets/relay_process.h"
#include "lab/sockets/socket_run.h"
#include "net/address.h"
#include "net/http.h"
#include "tests/support/accepts_connections.h"
#include "tests/support/child_process.h"

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

// Six seconds of a small deployment in which a partner rejects all calls for a while.
json SmallScenario() {
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

// Runs the scenario, and repeats the run up to four times while it is void because the machine was busy.
RunResult RunUntilValid(const Scenario& scenario, const SocketOptions& options) {
  RunResult result = RunOnSockets(scenario, 1, options);
  for (int i = 0; i < 4 && !result.void_reason.empty(); ++i) result = RunOnSockets(scenario, 1, options);
  REQUIRE(result.void_reason.empty());
  return result;
}

// ---- whole runs ----------------------------------------------------------------------------------------

TEST_CASE("lab: sockets and simulated time give similar results for a small scenario") {
  const Folder folder;
  const Scenario scenario = ReadScenario(SmallScenario());
  const RunResult simulated = Simulation(scenario, 1).Run();
  const RunResult real = RunUntilValid(scenario, OptionsIn(folder / "run"));
  for (const RunResult* r : {&simulated, &real}) {
    CHECK(r->breaches.empty());
    CHECK(r->crashes.empty());
  }
  for (std::size_t c = 0; c < 3; ++c) {
    CHECK(real.classes[c].offered == simulated.classes[c].offered);  // the same traffic
    CHECK(real.classes[c].delivered >= simulated.classes[c].delivered * 0.9);
  }
  CHECK(std::abs(real.ValueShare() - simulated.ValueShare()) < 0.1);
  CHECK(std::abs(real.classes[0].latency.Quantile(0.5) - simulated.classes[0].latency.Quantile(0.5)) < 0.05);
  CHECK(real.processes[1].size() >= 6);
  CHECK(real.processes[1].back().rss_kb > 1000);
}

TEST_CASE("lab: relays that are killed, stopped, frozen and reloaded break no rule") {
  const Folder folder;
  json file = SmallScenario();
  file["relay_faults"] = {{{"kind", "kill"}, {"relay", 0}, {"at_s", 1}, {"down_s", 0.6}},
                          {{"kind", "stop"}, {"relay", 1}, {"at_s", 2.5}, {"down_s", 0.6}},
                          {{"kind", "freeze"}, {"relay", 0}, {"at_s", 4}, {"down_s", 0.5}},
                          {{"kind", "reload"}, {"relay", 0}, {"at_s", 5}}};
  const RunResult r = RunUntilValid(ReadScenario(file), OptionsIn(folder / "run"));
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

TEST_CASE("lab: a frozen relay in simulated time catches up once it is thawed") {
  json file = SmallScenario();
  file["relays"] = 1;
  file["troubles"] = json::array();
  const RunResult sound = Simulation(ReadScenario(file), 1).Run();
  file["relay_faults"] = {{{"kind", "freeze"}, {"relay", 0}, {"at_s", 2}, {"down_s", 1}}};
  const RunResult frozen = Simulation(ReadScenario(file), 1).Run();
  CHECK(frozen.breaches.empty());
  CHECK(frozen.seconds[2].calls < sound.seconds[2].calls / 4);
  CHECK(frozen.classes[0].latency.Quantile(0.99) > sound.classes[0].latency.Quantile(0.99) + 0.3);
}

TEST_CASE("lab: a relay that crashes is reported with its log, and the run completes") {
  const Folder folder;
  const std::string program = folder / "relay";
  // The first relay to start is killed after 2 s, not by the laboratory.
  std::ofstream(program) << "#!/bin/sh\nif mkdir '" << (folder / "first")
                         << "' 2>/dev/null; then exec timeout --foreground -s KILL 2 '" << RELAY_PROGRAM
                         << "'; fi\nexec '" << RELAY_PROGRAM << "'\n";
  fs::permissions(program, fs::perms::owner_all);
  SocketOptions options = OptionsIn(folder / "run");
  options.program = program;
  options.max_lateness = options.max_lateness_p99 = 100;  // only the crash matters here
  const RunResult r = RunOnSockets(ReadScenario(SmallScenario()), 1, options);
  REQUIRE(r.crashes.size() == 1);
  CHECK(r.crashes[0].at < 3);
  CHECK(r.crashes[0].last_log.find("listening") != std::string::npos);
  CHECK(!r.Passed());
}

// Tries to bind a socket to a relay's address between its reservation and the process's start.
class AddressTaker : private RelayProcess::Owner {
 public:
  explicit AddressTaker(const std::string& folder) : relay_(loop_, 1, OptionsFor(folder), *this) {
    relay_.Start();
  }
  int error() const { return error_; }

 private:
  RelayProcess::Options OptionsFor(const std::string& folder) {
    RelayProcess::Options options;
    options.program = "/bin/true";
    options.folder = folder;
    options.config = [this](const std::string& listen) {
      const sockaddr_in address = *net::ParseAddress(listen);
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      error_ = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 ? 0 : errno;
      close(fd);
      return json::object();
    };
    return options;
  }
  void OnReady(int) override {}
  void OnCrash(int, const std::string&) override {}

  const net::SystemClock clock_;
  net::EventLoop loop_{clock_};
  int error_ = 0;
  RelayProcess relay_;
};

TEST_CASE("lab: no other socket can take a relay's address while its process starts") {
  const Folder folder;
  CHECK(AddressTaker(folder / "relay").error() == EADDRINUSE);
}

// Runs a scenario without outages in which the relays' reads from sockets may fail.
RunResult RunWithReadErrors(const Folder& folder, int error) {
  SocketOptions options = OptionsIn(folder / "run");
  options.clients_use_stopping_relays = true;
  options.max_lateness = options.max_lateness_p99 = 100;  // only closed connections matter here
  options.variables = [error](int, const std::string& state_folder) {
    faults::Plan plan;
    plan.seed = 5;
    plan.state_folder = state_folder;
    plan.episodes.push_back({faults::SystemCall::kSocketRead, error, 2, 4, 0.5, 0});
    return std::map<std::string, std::string>{{"LD_PRELOAD", FAULTS_LIBRARY},
                                              {faults::kPlanVariable, plan.Serialize()}};
  };
  json file = SmallScenario();
  file.erase("troubles");
  return RunOnSockets(ReadScenario(file), 1, options);
}

TEST_CASE("lab: a relay that closes a connection with a read but unanswered request breaks a rule") {
  const Folder folder;
  // EIO is not a transient error: the relay closes the connection, and its client notices.
  CHECK(!RunWithReadErrors(folder, EIO).breaches.empty());
  const RunResult short_of_memory = RunWithReadErrors(folder, ENOMEM);
  for (const Breach& breach : short_of_memory.breaches) MESSAGE(NameOf(breach.kind), " ", breach.trace);
  CHECK(short_of_memory.breaches.empty());
}

constexpr net::Seconds kStopsAt = 1.5;

// Runs a short scenario in which one of two relays is told to stop. Its writes to sockets may fail from about
// then on.
RunResult RunWithStop(const Folder& folder, bool writes_fail) {
  SocketOptions options = OptionsIn(folder / "run");
  options.clients_use_stopping_relays = true;
  options.requests_read_file = "requests_read";
  options.max_lateness = options.max_lateness_p99 = 100;  // only closed connections matter here
  options.variables = [writes_fail](int relay, const std::string& state_folder) {
    faults::Plan plan;
    plan.seed = 5;
    plan.state_folder = state_folder;
    plan.requests_read = fs::path(state_folder).replace_filename("requests_read");
    if (writes_fail && relay == 0)
      plan.episodes.push_back({faults::SystemCall::kSocketWrite, EIO, kStopsAt, kStopsAt + 5, 1, 0});
    return std::map<std::string, std::string>{{"LD_PRELOAD", FAULTS_LIBRARY},
                                              {faults::kPlanVariable, plan.Serialize()}};
  };
  json file = SmallScenario();
  file.erase("troubles");
  file["lasts_s"] = 3;
  file["load"]["rate"] = 200;
  file["relay_faults"] = {{{"kind", "stop"}, {"relay", 0}, {"at_s", kStopsAt}, {"down_s", 0.1}}};
  return RunOnSockets(ReadScenario(file), 1, options);
}

// Guards against an auditor that ignores a relay once it has been told to stop.
TEST_CASE("lab: a stopping relay that closes a connection with a read but unanswered request is caught") {
  const Folder folder;
  const RunResult result = RunWithStop(folder, true);
  // The faults' times count from the process's start, a little before the run's. Until the signal the relay
  // is serving, so only later breaches count.
  CHECK(std::any_of(result.breaches.begin(), result.breaches.end(), [](const Breach& breach) {
    return breach.kind == BreachKind::kClosedUnanswered && breach.at > kStopsAt + 0.01;
  }));
}

TEST_CASE("lab: a stop without errors breaks no rule with clients that go on using the relay") {
  const Folder folder;
  const RunResult result = RunWithStop(folder, false);
  for (const Breach& breach : result.breaches) MESSAGE(NameOf(breach.kind), " ", breach.trace);
  CHECK(result.breaches.empty());
}

// Guards against requests that are recorded too early, or not at all if reads are short.
TEST_CASE("lab: a request is recorded as read with its last byte, however reads split it") {
  const Folder folder;
  const std::string path = folder / "requests_read";
  constexpr int kDescriptor = 7;
  faults::RequestRecorder requests(path);
  const auto read = [&requests](std::string bytes) {
    const std::size_t half = bytes.size() / 2;
    const iovec parts[] = {{bytes.data(), half}, {bytes.data() + half, bytes.size() - half}};
    requests.OnRead(kDescriptor, parts, 2, bytes.size());
  };
  const auto recorded = [&path] {
    std::ifstream file(path);
    return std::string(std::istreambuf_iterator<char>(file), {});
  };
  const auto request = [](const std::string& id) {
    return net::FormatRequest("POST", "/api", {{"Host", "lab"}, {"X-Txn", id}}, "hello");
  };
  read(request("m1"));  // not a client's descriptor
  CHECK(recorded().empty());
  requests.OnAccepted(kDescriptor);
  const std::string second = request("m2");
  for (std::size_t i = 0; i + 1 < second.size(); ++i) read(second.substr(i, 1));
  CHECK(recorded().empty());
  read(second.substr(second.size() - 1));
  CHECK(recorded() == "m2\n");
  read(request("m3") + request("m4") + request("m5").substr(0, 20));
  CHECK(recorded() == "m2\nm3\nm4\n");
  requests.OnClosed(kDescriptor);
  requests.OnAccepted(kDescriptor);  // the half request belonged to the previous connection
  read(request("m6"));
  CHECK(recorded() == "m2\nm3\nm4\nm6\n");
}

TEST_CASE("lab: a fault plan is read as it was written, and the same seed draws the same plan") {
  for (std::uint64_t seed = 1; seed < 20; ++seed) {
    const std::string text = GenerateFaultPlan(seed, 3, 1, "/state").Serialize();
    CHECK(faults::Plan::Parse(text).Serialize() == text);
    CHECK(GenerateFaultPlan(seed, 3, 1, "/state").Serialize() == text);
    CHECK(GenerateFaultPlan(seed, 3, 2, "/state").Serialize() != text);
    CHECK(GenerateSoakScenario(seed) == GenerateSoakScenario(seed));
    CHECK_NOTHROW(ReadScenario(GenerateSoakScenario(seed)));
  }
  CHECK_THROWS_AS(faults::Plan::Parse("5 /state fails 99 1 0 1 1 0"), std::invalid_argument);
  CHECK_THROWS_AS(faults::Plan::Parse("5 /state breaks"), std::invalid_argument);
}

TEST_CASE("lab: a relay that does not become ready ends the run with its log") {
  const Folder folder;
  SocketOptions options = OptionsIn(folder / "run");
  options.relay_arguments = {"--no-such-flag"};
  std::string why;
  try {
    RunOnSockets(ReadScenario(SmallScenario()), 1, options);
  } catch (const std::runtime_error& error) {
    why = error.what();
  }
  CHECK(why.find("did not come up: exit status") != std::string::npos);
  CHECK(why.find("no-such-flag") != std::string::npos);
}

TEST_CASE("lab: a run in which the laboratory was late is void") {
  const Folder folder;
  SocketOptions options = OptionsIn(folder / "run");
  options.max_lateness = 0;
  json file = SmallScenario();
  file["lasts_s"] = 0.5;
  const RunResult r = RunOnSockets(ReadScenario(file), 1, options);
  CHECK(r.void_reason.find("late") != std::string::npos);
}

TEST_CASE("lab: neither an interrupt nor SIGKILL leaves a process behind") {
  const Folder folder;
  std::ofstream(folder / "day.json") << SmallScenario().dump();
  for (const int number : {SIGINT, SIGKILL}) {
    const std::string out = folder / ("run" + std::to_string(number));
    ChildProcess lab(folder / "none", "",
                     {"run", folder / "day.json", "--sockets", "--out", out, "--relay", RELAY_PROGRAM},
                     LAB_PROGRAM);
    std::string address;
    for (int i = 0; i < 1000 && address.empty(); ++i) {
      usleep(10000);
      std::ifstream file(out + "/relays/relay1/config.json");
      const json config = json::parse(file, nullptr, false);
      if (config.is_object() && AcceptsConnections(config["listen"])) address = config["listen"];
    }
    REQUIRE(!address.empty());
    lab.Signal(number);
    lab.ExitStatus();
    bool gone = false;
    for (int i = 0; i < 500 && !gone; ++i) {
      gone = !AcceptsConnections(address);
      if (!gone) usleep(10000);
    }
    CHECK(gone);
  }
}

// ---- comparisons ---------------------------------------------------------------------------------------

// Runs the laboratory with these arguments. Returns its exit status.
int Lab(const std::vector<std::string>& arguments, std::string* last_line = nullptr) {
  ChildProcess lab("none", "", arguments, LAB_PROGRAM);
  std::string line, latest;
  while (!(line = lab.ReadLogLine("")).empty()) latest = line;
  if (last_line != nullptr) *last_line = latest;
  return WEXITSTATUS(lab.ExitStatus());
}

TEST_CASE("lab: two builds are compared, in simulated time and on sockets") {
  const Folder folder;
  json file = SmallScenario();
  file["lasts_s"] = 2;
  file["troubles"] = json::array();
  std::ofstream(folder / "day.json") << file.dump();
  const std::string build = fs::path(LAB_PROGRAM).parent_path().string();
  std::string last;
  // A build is compared with itself and gives the same results in a process of its own.
  CHECK(Lab({"compare", folder / "day.json", folder / "day.json", "--build-b", build, "--seeds", "3"},
            &last) == 0);
  CHECK(last.find("breaches") == 0);
  CHECK(last.find("no difference") != std::string::npos);
  const int on_sockets = Lab(
      {"compare", folder / "day.json", folder / "day.json", "--sockets", "--build-b", build, "--seeds", "2"},
      &last);
  CHECK((on_sockets == 0 || on_sockets == 3));  // 3: the run was void because the machine was busy
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

TEST_CASE("lab: the report of two runs has its sections in order and needs no network") {
  const Folder folder;
  json file = SmallScenario();
  for (const char* name : {"a", "b"}) {
    RunResult r = Simulation(ReadScenario(file), 1).Run();
    r.breaches.push_back({BreachKind::kSentDuringRetryAfter, 1.5, 0, 7, 2, "sent to <b>2</b> & out"});
    r.crashes.push_back({1, 2, "signal 9", "the last <line>"});
    fs::create_directories(folder / name);
    std::ofstream(folder / (std::string(name) + "/result.json")) << r.ToJson().dump();
    file["load"]["rate"] = 80;
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
  // URLs that only name XML namespaces are not fetched.
  const std::regex fetched("(src|href|url)\\s*[=(]\\s*[\"']?(https?:|//)");
  CHECK(!std::regex_search(page, fetched));
  CHECK(page.find("{{") == std::string::npos);
  CHECK(page.rfind("</html>\n") == page.size() - 8);
}

TEST_CASE("lab: a report on a folder without a run says what is missing") {
  const Folder folder;
  CHECK_THROWS_WITH_AS(ReadRun(folder / "no"), doctest::Contains("there is no"), config::FieldError);
  std::ofstream(folder / "result.json") << "{}";
  CHECK_THROWS_WITH_AS(ReadRun(folder / ""), doctest::Contains("has no 'scenario'"), config::FieldError);
}

}  // namespace
}  // namespace opalroute::lab
