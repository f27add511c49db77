// The command line of opalroute-lab.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "config/fields.h"
#include "lab/capacity/capacity.h"
#include "lab/experiments/compare.h"
#include "lab/experiments/experiments.h"
#include "lab/fault_script.h"
#include "lab/recovery_script.h"
#include "lab/report/report.h"
#include "lab/simulation.h"
#include "lab/soak/soak.h"
#include "lab/sockets/socket_run.h"
#include "lab/statistics.h"

namespace {

using namespace opalroute::lab;

double WallSeconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

long PeakMegabytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss / 1024;
}

void PrintResult(const RunResult& r) {
  std::printf("%s, seed %llu: worth %.4f, worst ten seconds %.4f\n", r.scenario.c_str(),
              static_cast<unsigned long long>(r.seed), r.ValueShare(), r.WorstTenSeconds());
  std::printf("%-16s %8s %10s %8s %8s %8s %8s %8s\n", "class", "asked", "delivered", "in aim", "p50 s",
              "p99 s", "p99.9 s", "worth");
  for (const ClassOutcome& c : r.classes)
    std::printf("%-16s %8ld %10ld %8ld %8.3f %8.3f %8.3f %8.4f\n", c.name.c_str(), c.offered, c.delivered,
                c.within_objective, c.latency.Quantile(0.5), c.latency.Quantile(0.99),
                c.latency.Quantile(0.999), c.offered_value > 0 ? c.value / c.offered_value : 0);
  std::printf(
      "calls %ld (full %ld, errors %ld, timed out %ld, unconnected %ld, reset %ld), probes %ld, refused %ld, "
      "failed %ld, collapses %ld\n",
      r.calls, r.rejected_attempts, r.failed_attempts, r.timeouts, r.connect_failures, r.resets,
      r.health_checks, r.rejected, r.failed, r.collapses);
  if (r.answer_time.count() > 0)
    std::printf(
        "202 after: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms; the laboratory was late by %.1f ms (p99), "
        "%.1f ms (most)\n",
        r.answer_time.Quantile(0.5) * 1e3, r.answer_time.Quantile(0.99) * 1e3,
        r.answer_time.Quantile(0.999) * 1e3, r.lateness_p99 * 1e3, r.lateness_max * 1e3);
  if (!r.void_reason.empty()) std::printf("VOID: %s\n", r.void_reason.c_str());
  for (const Crash& c : r.crashes)
    std::printf("CRASH of relay %d at %.3f s: %s; its log ends:\n%s", c.relay, c.at, c.cause.c_str(),
                c.last_log.c_str());
  for (std::size_t i = 0; i < r.breaches.size() && i < 10; ++i) {
    const Breach& b = r.breaches[i];
    std::printf("BREACH %s at %.3f s, relay %d, message %llu, endpoint %u: %s\n", NameOf(b.kind), b.at,
                b.relay, static_cast<unsigned long long>(b.message), static_cast<unsigned>(b.endpoint),
                b.trace.c_str());
  }
  if (r.breaches.size() > 10) std::printf("... %zu breaches in total\n", r.breaches.size());
}

volatile std::sig_atomic_t g_interrupted = 0;

std::string OwnPath() {
  std::error_code error;
  return std::filesystem::read_symlink("/proc/self/exe", error).string();
}

// Returns the relay program: the given path, or the program `opalroute` in this program's folder.
std::string FindRelayProgram(const std::string& path) {
  const std::string program =
      path.empty() ? (std::filesystem::path(OwnPath()).parent_path() / "opalroute").string() : path;
  if (access(program.c_str(), X_OK) != 0)
    throw std::runtime_error("there is no relay program at '" + program + "' (see --relay)");
  return program;
}

// A folder for files that are not kept. It is removed at scope exit, also after an exception.
class TemporaryFolder {
 public:
  TemporaryFolder()
      : path_((std::filesystem::temp_directory_path() / ("opalroute-lab-" + std::to_string(getpid())))
                  .string()) {}
  ~TemporaryFolder() {
    std::error_code error;
    std::filesystem::remove_all(path_, error);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

struct SocketRunOptions {
  bool enabled = false;
  std::string program, arguments;
};

RunResult RunScenario(const Scenario& scenario, std::uint64_t seed, const SocketRunOptions& sockets,
                      const std::string& out) {
  const bool show_progress = isatty(STDERR_FILENO) != 0;
  const auto progress = [&](double second) {
    if (show_progress) std::fprintf(stderr, "\r%.0f of %.0f s", second, scenario.duration);
  };
  RunResult result;
  if (sockets.enabled) {
    SocketOptions options;
    options.program = FindRelayProgram(sockets.program);
    options.relay_arguments = CLI::detail::split_up(sockets.arguments);
    const TemporaryFolder temporary;
    options.folder = out.empty() ? temporary.path() : out + "/relays";
    options.progress = progress;
    options.interrupted = [] { return g_interrupted != 0; };
    std::signal(SIGINT, [](int) { g_interrupted = 1; });
    std::signal(SIGTERM, [](int) { g_interrupted = 1; });
    std::signal(SIGPIPE, SIG_IGN);
    result = RunOnSockets(scenario, seed, options);
  } else {
    result = Simulation(scenario, seed).Run(progress);
  }
  if (show_progress) std::fprintf(stderr, "\r                    \r");
  return result;
}

int Run(const std::string& source, const std::vector<std::string>& sets, std::uint64_t seed,
        const std::string& out, const SocketRunOptions& sockets) {
  const Scenario scenario = ReadScenarioWithOverrides(source, sets);
  const double start = WallSeconds();
  if (!out.empty()) std::filesystem::create_directories(out);
  const RunResult result = RunScenario(scenario, seed, sockets, out);
  PrintResult(result);
  if (!sockets.enabled)
    std::printf("%ld events in %.2f s, peak memory %ld MB\n", result.events, WallSeconds() - start,
                PeakMegabytes());
  if (!out.empty()) std::ofstream(out + "/result.json") << result.ToJson().dump(1) << '\n';
  if (!result.void_reason.empty()) return 3;
  return result.Passed() ? 0 : 1;
}

int Report(const std::vector<std::string>& folders, const std::string& out) {
  std::vector<ReportRun> runs;
  for (const std::string& folder : folders) runs.push_back(ReadRun(folder));
  std::ofstream file(out);
  file << WriteReport(runs);
  if (!file.flush()) throw std::runtime_error("'" + out + "' can't be written");
  std::printf("%s\n", out.c_str());
  return 0;
}

int Capacity(CapacityOptions options) {
  options.program = FindRelayProgram(options.program);
  const TemporaryFolder temporary;
  options.folder = temporary.path();
  std::signal(SIGPIPE, SIG_IGN);
  const CapacityResult r = MeasureCapacity(options);
  const auto median = [](const std::vector<Throughput>& rounds, double Throughput::*field) {
    std::vector<double> values;
    for (const Throughput& one : rounds) values.push_back(one.*field);
    return Median(values);
  };
  std::printf("one core each, payments of 200 bytes, medians of %d rounds\n\n", options.rounds);
  std::printf("| | messages a second | CPU a message, us | refused | broken |\n|---|---|---|---|---|\n");
  const auto row = [&](const char* name, const std::vector<Throughput>& rounds) {
    long refused = 0, broken = 0;
    for (const Throughput& one : rounds) {
      refused += one.rejected;
      broken += one.disconnected;
    }
    std::printf("| %s | %.0f | %.1f | %ld | %ld |\n", name, median(rounds, &Throughput::delivered_per_second),
                median(rounds, &Throughput::cpu_us_per_request), refused, broken);
  };
  row("bare forwarder", r.forwarder);
  row("relay, journal on", r.relay);
  std::printf("\nrelay over forwarder: %.3f; its journal alone: %.1f us of CPU a message\n\n",
              median(r.relay, &Throughput::delivered_per_second) /
                  median(r.forwarder, &Throughput::delivered_per_second),
              r.journal_us);
  std::printf(
      "| of capacity | messages a second | 202 after: p50 ms | p99 ms | p99.9 ms | refused | broken |\n"
      "|---|---|---|---|---|---|---|\n");
  for (const CapacityResult::ResponseTime& a : r.response_times)
    std::printf("| %.0f%% | %.0f | %.2f | %.2f | %.2f | %ld | %ld |\n", a.share * 100, a.rate, a.p50 * 1e3,
                a.p99 * 1e3, a.p99_9 * 1e3, a.rejected, a.disconnected);
  std::printf("\nmemory: %.0f bytes per open request (of %ld), %.0f bytes per idle destination (of %ld)\n",
              r.bytes_per_open_request, r.open_requests, r.bytes_per_destination, r.destinations);
  return 0;
}

int Soak(SoakBatch batch, bool no_system_call_faults) {
  std::signal(SIGPIPE, SIG_IGN);
  batch.program = FindRelayProgram(batch.program);
  if (!no_system_call_faults)
    batch.fault_library =
        (std::filesystem::path(OwnPath()).parent_path() / "libopalroute_faults.so").string();
  const TemporaryFolder temporary;
  if (batch.folder.empty()) batch.folder = temporary.path();
  return RunSoakBatch(batch);
}

// The hold model, a standard benchmark of event queues: each event that is removed inserts another, a random
// delay later. Returns nanoseconds per removal and insertion.
template <typename Queue>
double MeasureHold(std::size_t events, bool clustered) {
  Queue queue;
  pcg32 random(7, 5);
  // Clustered as in a run: most events are due within milliseconds, one in eight only after seconds.
  const auto draw_delay = [&] {
    const std::uint32_t draw = random();
    return clustered ? Micros(draw % 8 == 0 ? draw % 8'000'000 : draw % 5'000) : Micros(draw % 1'000'000);
  };
  for (std::size_t i = 0; i < events; ++i) queue.Push(draw_delay(), static_cast<std::uint32_t>(i));
  constexpr int kHolds = 2'000'000;
  const double start = WallSeconds();
  for (int i = 0; i < kHolds; ++i) {
    const auto event = queue.Pop();
    queue.Push(event.at + draw_delay(), event.payload);
  }
  return (WallSeconds() - start) / kHolds * 1e9;
}

int QueueTable() {
  struct Large {
    std::uint64_t words[4];
    Large(std::uint32_t value = 0) : words{value, 0, 0, 0} {}
  };
  std::printf(
      "ns for one event out and one in\n| events | times | binary heap | calendar queue "
      "|\n|---|---|---|---|\n");
  for (const std::size_t events : {1000U, 10000U, 100000U, 1000000U})
    for (const bool clustered : {false, true})
      std::printf("| %zu | %s | %.0f | %.0f |\n", events, clustered ? "as in a run" : "even",
                  MeasureHold<HeapQueue<Large>>(events, clustered),
                  MeasureHold<CalendarQueue<Large>>(events, clustered));
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "The laboratory: runs scenarios in simulated time or with relay processes and reports the results."};
  app.name("opalroute-lab");
  app.require_subcommand(1);
  std::string source, other_source, out, key;
  std::vector<std::string> sets, values;
  std::uint64_t seed = 1;
  int seeds = 20, jobs = 0;
  CLI::App* run = app.add_subcommand(
      "run", "run a scenario once; exit status 1 on a breach or a crash, 3 if the run is void");
  run->add_option("SCENARIO", source, "a file, or FILE,key=value,...")->required();
  run->add_option("--seed", seed, "seed of all random draws");
  run->add_option("--set", sets, "set a key of the scenario: key=value, like load.rate=30");
  run->add_option("--out", out, "folder for result.json and for the relays' state and logs");
  SocketRunOptions sockets;
  run->add_flag("--sockets", sockets.enabled,
                "run real relay processes on loopback instead of simulated time");
  run->add_option("--relay", sockets.program,
                  "path of the relay program (default: in this program's folder)");
  run->add_option("--relay-arguments", sockets.arguments,
                  "arguments for the relays as one string, like '--log-level warn'");
  CLI::App* compare =
      app.add_subcommand("compare", "run two scenarios, settings or builds on the same seeds");
  compare->add_option("A", source, "a file, or FILE,key=value,...")->required();
  compare->add_option("B", other_source, "as A")->required();
  compare->add_option("--seeds", seeds)->check(CLI::Range(2, 10000));
  compare->add_option("--set", sets, "key=value, for both");
  std::string build_a, build_b;
  compare->add_option("--build-a", build_a, "build folder of A (default: that of this program)");
  compare->add_option("--build-b", build_b, "build folder of B");
  CLI::App* sweep = app.add_subcommand("sweep", "run a scenario with several values of a key");
  sweep->add_option("SCENARIO", source)->required();
  sweep->add_option("KEY", key)->required();
  sweep->add_option("VALUES", values)->required();
  sweep->add_option("--seeds", seeds)->check(CLI::Range(1, 10000));
  for (CLI::App* command : {compare, sweep}) {
    command->add_option("--jobs", jobs, "concurrent runs (default: one per core, with --sockets one)")
        ->check(CLI::Range(1, 256));
    command->add_flag("--sockets", sockets.enabled, "run real relay processes, in real time");
    command->add_option("--relay-arguments", sockets.arguments, "arguments for the relays as one string");
  }
  CLI::App* check = app.add_subcommand("check", "validate a scenario and print every error");
  check->add_option("SCENARIO", source)->required();
  std::vector<std::string> folders;
  std::string report_path = "report.html";
  CLI::App* report =
      app.add_subcommand("report", "write one HTML page about runs that were stored with --out");
  report->add_option("DIR", folders, "folder of a run; several are shown side by side")->required();
  report->add_option("--out", report_path, "path of the page")->capture_default_str();
  CapacityOptions capacity;
  CLI::App* capacity_command =
      app.add_subcommand("capacity", "measure the relay's cost against a bare forwarder's");
  capacity_command->add_option("--relay", capacity.program,
                               "path of the relay program (default: in this program's folder)");
  capacity_command->add_option("--seconds", capacity.seconds, "duration of each measurement")
      ->check(CLI::Range(0.2, 600.0));
  capacity_command->add_option("--rounds", capacity.rounds)->check(CLI::Range(1, 100));
  int destinations = 20000, rounds = 9;
  CLI::App* learning = app.add_subcommand(
      "learning", "measure the state transfer from a running instance; exit status 1 if it fails");
  learning->add_option("--seeds", seeds, "runs of each variant")->check(CLI::Range(1, 1000));
  CLI::App* snapshot =
      app.add_subcommand("snapshot", "measure the transfer of one snapshot between two processes");
  snapshot->add_option("--destinations", destinations)->check(CLI::Range(1, 50000));
  snapshot->add_option("--runs", rounds)->check(CLI::Range(1, 100));
  int changes = 200;
  CLI::App* srv =
      app.add_subcommand("srv", "measure SRV records next to the endpoint list; exit status 1 if it fails");
  srv->add_option("--changes", changes, "number of machines to replace")->check(CLI::Range(1, 250));
  int scripts = 1000;
  bool print = false;
  CLI::App* script =
      app.add_subcommand("scripts", "run random fault scripts; exit status 1 if one breaks a rule");
  CLI::App* recovery = app.add_subcommand(
      "recoveries",
      "run random scripts of endpoints that fail and come back; exit status 1 on a broken rule");
  for (CLI::App* command : {script, recovery}) {
    command->add_option("--seed", seed, "seed of the first script");
    command->add_option("--count", scripts)->check(CLI::Range(1, 1000000));
    command->add_option("--jobs", jobs, "concurrent runs (default: one per core)")->check(CLI::Range(1, 256));
    command->add_flag("--print", print, "print the first script as a scenario file and run none");
  }
  SoakBatch soak_batch;
  std::string follow;
  CLI::App* soak = app.add_subcommand(
      "soak",
      "run seeds with real processes under faults; exit status 1 if one breaks a rule, 3 if one is void");
  soak->add_option("--seed", soak_batch.first_seed, "first seed");
  soak->add_option("--count", soak_batch.count)->check(CLI::Range(1, 100000));
  soak->add_option("--jobs", soak_batch.jobs, "concurrent runs")->check(CLI::Range(1, 16));
  soak->add_option("--relay", soak_batch.program,
                   "path of the relay program (default: in this program's folder)");
  soak->add_option("--out", soak_batch.folder, "folder for logs (default: they are removed after the run)");
  soak->add_option("--follow", follow,
                   "run nothing; print what the logs of the run under --out contain about a message");
  bool no_system_call_faults = false;
  soak->add_flag("--no-system-call-faults", no_system_call_faults,
                 "inject no faults into the relays' system calls and clocks");
  soak->add_flag("--print", print, "print the first seed's scenario as a file and run none");
  CLI::App* queues = app.add_subcommand("queues", "measure the event queues");
  CLI11_PARSE(app, argc, argv);
  try {
    if (*run) return Run(source, sets, seed, out, sockets);
    if (*compare || *sweep) {
      const TemporaryFolder temporary;
      std::filesystem::create_directories(temporary.path());
      if (jobs == 0)
        jobs = sockets.enabled ? 1 : static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
      const ComparisonOptions options{seeds,           jobs, sockets.enabled, sockets.arguments, OwnPath(),
                                      temporary.path()};
      return *compare ? Compare({source, sets, build_a}, {other_source, sets, build_b}, options)
                      : Sweep({source, {}, {}}, key, values, options);
    }
    if (*script || *recovery) {
      const ScriptGenerator draw = *script ? DrawFaultScript : DrawRecoveryScript;
      if (print) {
        std::printf("%s\n", draw(seed).dump(1).c_str());
        return 0;
      }
      if (jobs == 0) jobs = static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
      return RunScripts(draw, seed, scripts, jobs);
    }
    if (*soak && print) {
      std::printf("%s\n", GenerateSoakScenario(soak_batch.first_seed).dump(1).c_str());
      return 0;
    }
    if (*soak && !follow.empty()) {
      std::fputs(FindMessageInLogs(soak_batch.folder, follow).c_str(), stdout);
      return 0;
    }
    if (*soak) return Soak(soak_batch, no_system_call_faults);
    if (*learning) return RunStateTransferExperiment(seeds);
    if (*snapshot) return RunSnapshotExperiment(destinations, rounds);
    if (*srv) return RunSrvExperiment(changes);
    if (*capacity_command) return Capacity(capacity);
    if (*report) return Report(folders, report_path);
    if (*queues) return QueueTable();
    ReadScenarioWithOverrides(source, {});
    std::printf("the scenario is valid\n");
    return 0;
  } catch (const opalroute::config::FieldErrors& faults) {
    for (const std::string& fault : faults.messages()) std::fprintf(stderr, "%s\n", fault.c_str());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  (void)check;
  return 2;
}
