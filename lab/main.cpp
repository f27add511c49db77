// opalroute-lab: the laboratory's command line.
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
#include "lab/report/report.h"
#include "lab/script.h"
#include "lab/simulation.h"
#include "lab/soak/soak.h"
#include "lab/sockets/play.h"
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

void Print(const RunResult& r) {
  std::printf("%s, seed %llu: worth %.4f, worst ten seconds %.4f\n", r.scenario.c_str(),
              static_cast<unsigned long long>(r.seed), r.Worth(), r.WorstTenSeconds());
  std::printf("%-16s %8s %10s %8s %8s %8s %8s %8s\n", "class", "asked", "delivered", "in aim", "p50 s",
              "p99 s", "p99.9 s", "worth");
  for (const ClassOutcome& c : r.classes)
    std::printf("%-16s %8ld %10ld %8ld %8.3f %8.3f %8.3f %8.4f\n", c.name.c_str(), c.asked, c.delivered,
                c.in_aim, c.latency.At(0.5), c.latency.At(0.99), c.latency.At(0.999),
                c.worth_asked > 0 ? c.worth / c.worth_asked : 0);
  std::printf(
      "calls %ld (full %ld, errors %ld, timed out %ld, unconnected %ld, reset %ld), probes %ld, refused %ld, "
      "failed %ld, collapses %ld\n",
      r.calls, r.full, r.errors, r.timeouts, r.unconnected, r.resets, r.probes, r.refused, r.failed,
      r.collapses);
  if (r.answer_time.count() > 0)
    std::printf(
        "202 after: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms; the laboratory was late by %.1f ms (p99), "
        "%.1f ms (most)\n",
        r.answer_time.At(0.5) * 1e3, r.answer_time.At(0.99) * 1e3, r.answer_time.At(0.999) * 1e3,
        r.lateness_p99 * 1e3, r.lateness_most * 1e3);
  if (!r.void_because.empty()) std::printf("VOID: %s\n", r.void_because.c_str());
  for (const Crash& c : r.crashes)
    std::printf("CRASH of relay %d at %.3f s: %s; its log ends:\n%s", c.relay, c.at, c.how.c_str(),
                c.last_log.c_str());
  for (std::size_t i = 0; i < r.breaches.size() && i < 10; ++i) {
    const Breach& b = r.breaches[i];
    std::printf("BREACH %s at %.3f s, relay %d, message %llu, endpoint %u: %s\n", NameOf(b.kind), b.at,
                b.relay, static_cast<unsigned long long>(b.message), static_cast<unsigned>(b.endpoint),
                b.trace.c_str());
  }
  if (r.breaches.size() > 10) std::printf("... %zu breaches in all\n", r.breaches.size());
}

volatile std::sig_atomic_t g_interrupted = 0;

std::string SelfPath() {
  std::error_code error;
  return std::filesystem::read_symlink("/proc/self/exe", error).string();
}

// The relay's program: the one that was named, or that beside this one.
std::string RelayProgram(const std::string& named) {
  const std::string program =
      named.empty() ? (std::filesystem::path(SelfPath()).parent_path() / "opalroute").string() : named;
  if (access(program.c_str(), X_OK) != 0)
    throw std::runtime_error("there is no relay program at '" + program + "' (see --relay)");
  return program;
}

// For what nobody keeps. It goes with the run, however that ends.
class ScratchFolder {
 public:
  ScratchFolder()
      : path_((std::filesystem::temp_directory_path() / ("opalroute-lab-" + std::to_string(getpid())))
                  .string()) {}
  ~ScratchFolder() {
    std::error_code error;
    std::filesystem::remove_all(path_, error);
  }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

struct SocketOrder {
  bool on = false;
  std::string program, arguments;
};

RunResult PlayOnce(const Scenario& scenario, std::uint64_t seed, const SocketOrder& sockets,
                   const std::string& out) {
  const bool shows = isatty(STDERR_FILENO) != 0;
  const auto progress = [&](double second) {
    if (shows) std::fprintf(stderr, "\r%.0f of %.0f s", second, scenario.lasts);
  };
  RunResult result;
  if (sockets.on) {
    SocketOptions options;
    options.program = RelayProgram(sockets.program);
    options.relay_arguments = CLI::detail::split_up(sockets.arguments);
    const ScratchFolder scratch;
    options.folder = out.empty() ? scratch.path() : out + "/relays";
    options.progress = progress;
    options.interrupted = [] { return g_interrupted != 0; };
    std::signal(SIGINT, [](int) { g_interrupted = 1; });
    std::signal(SIGTERM, [](int) { g_interrupted = 1; });
    std::signal(SIGPIPE, SIG_IGN);
    result = PlayOnSockets(scenario, seed, options);
  } else {
    result = Simulation(scenario, seed).Run(progress);
  }
  if (shows) std::fprintf(stderr, "\r                    \r");
  return result;
}

int Run(const std::string& what, const std::vector<std::string>& sets, std::uint64_t seed,
        const std::string& out, const SocketOrder& sockets) {
  const Scenario scenario = ReadScenarioWith(what, sets);
  const double began = WallSeconds();
  if (!out.empty()) std::filesystem::create_directories(out);
  const RunResult result = PlayOnce(scenario, seed, sockets, out);
  Print(result);
  if (!sockets.on)
    std::printf("%ld events in %.2f s, peak memory %ld MB\n", result.events, WallSeconds() - began,
                PeakMegabytes());
  if (!out.empty()) std::ofstream(out + "/result.json") << result.ToJson().dump(1) << '\n';
  if (!result.void_because.empty()) return 3;
  return result.Sound() ? 0 : 1;
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
  options.program = RelayProgram(options.program);
  const ScratchFolder scratch;
  options.folder = scratch.path();
  std::signal(SIGPIPE, SIG_IGN);
  const CapacityResult r = MeasureCapacity(options);
  const auto median = [](const std::vector<Throughput>& all, double Throughput::*field) {
    std::vector<double> values;
    for (const Throughput& one : all) values.push_back(one.*field);
    return Median(values);
  };
  std::printf("one core each, payments of 200 bytes, medians of %d rounds\n\n", options.rounds);
  std::printf("| | messages a second | CPU a message, us | refused | broken |\n|---|---|---|---|---|\n");
  const auto row = [&](const char* name, const std::vector<Throughput>& all) {
    long refused = 0, broken = 0;
    for (const Throughput& one : all) {
      refused += one.rejected;
      broken += one.disconnected;
    }
    std::printf("| %s | %.0f | %.1f | %ld | %ld |\n", name, median(all, &Throughput::delivered_per_second),
                median(all, &Throughput::cpu_us_per_request), refused, broken);
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
  std::printf("\nmemory: %.0f bytes an open transaction (of %ld), %.0f bytes an idle destination (of %ld)\n",
              r.bytes_per_open_request, r.open_requests, r.bytes_per_destination, r.destinations);
  return 0;
}

int Soak(SoakBatch batch, bool bare) {
  std::signal(SIGPIPE, SIG_IGN);
  batch.program = RelayProgram(batch.program);
  if (!bare)
    batch.fault_library =
        (std::filesystem::path(SelfPath()).parent_path() / "libopalroute_faults.so").string();
  const ScratchFolder scratch;
  if (batch.folder.empty()) batch.folder = scratch.path();
  return RunSoakBatch(batch);
}

// The hold model of the literature on event queues: each event that leaves puts one in, at a drawn time after
// it.
template <typename Queue>
double Hold(std::size_t events, bool clumped) {
  Queue queue;
  pcg32 random(7, 5);
  // As in a run: most go to the next few milliseconds, some seconds ahead.
  const auto ahead = [&] {
    const std::uint32_t draw = random();
    return clumped ? Micros(draw % 8 == 0 ? draw % 8'000'000 : draw % 5'000) : Micros(draw % 1'000'000);
  };
  for (std::size_t i = 0; i < events; ++i) queue.Push(ahead(), static_cast<std::uint32_t>(i));
  constexpr int kHolds = 2'000'000;
  const double began = WallSeconds();
  for (int i = 0; i < kHolds; ++i) {
    const auto event = queue.Pop();
    queue.Push(event.at + ahead(), event.payload);
  }
  return (WallSeconds() - began) / kHolds * 1e9;
}

int Queues() {
  struct Large {
    std::uint64_t words[4];
    Large(std::uint32_t value = 0) : words{value, 0, 0, 0} {}
  };
  std::printf(
      "ns for one event out and one in\n| events | times | binary heap | calendar queue "
      "|\n|---|---|---|---|\n");
  for (const std::size_t events : {1000U, 10000U, 100000U, 1000000U})
    for (const bool clumped : {false, true})
      std::printf("| %zu | %s | %.0f | %.0f |\n", events, clumped ? "as in a run" : "even",
                  Hold<HeapQueue<Large>>(events, clumped), Hold<CalendarQueue<Large>>(events, clumped));
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"The laboratory: plays scenarios in simulated time and says what came of them."};
  app.name("opalroute-lab");
  app.require_subcommand(1);
  std::string what, other, out, key;
  std::vector<std::string> sets, values;
  std::uint64_t seed = 1;
  int seeds = 20, jobs = 0;
  CLI::App* run = app.add_subcommand(
      "run", "play a scenario once; exit status 1 on a breach or a crash, 3 if the run is void");
  run->add_option("SCENARIO", what, "a file, or FILE,key=value,...")->required();
  run->add_option("--seed", seed, "of everything drawn");
  run->add_option("--set", sets, "key=value, like load.rate=30");
  run->add_option("--out", out, "folder for result.json, and for the relays' folders and logs");
  SocketOrder sockets;
  run->add_flag("--sockets", sockets.on, "real relay processes on loopback instead of simulated time");
  run->add_option("--relay", sockets.program, "the relay's program; else the one beside this");
  run->add_option("--relay-arguments", sockets.arguments, "for it, in one text, like '--log-level warn'");
  CLI::App* compare =
      app.add_subcommand("compare", "play two scenarios, settings or builds on the same seeds");
  compare->add_option("A", what, "a file, or FILE,key=value,...")->required();
  compare->add_option("B", other, "the same")->required();
  compare->add_option("--seeds", seeds)->check(CLI::Range(2, 10000));
  compare->add_option("--set", sets, "for both");
  std::string build_a, build_b;
  compare->add_option("--build-a", build_a, "A's build folder; else this program's own");
  compare->add_option("--build-b", build_b, "B's");
  CLI::App* sweep = app.add_subcommand("sweep", "play a scenario with several values of a key");
  sweep->add_option("SCENARIO", what)->required();
  sweep->add_option("KEY", key)->required();
  sweep->add_option("VALUES", values)->required();
  sweep->add_option("--seeds", seeds)->check(CLI::Range(1, 10000));
  for (CLI::App* many : {compare, sweep}) {
    many->add_option("--jobs", jobs, "runs at once; else one a core, on sockets one")
        ->check(CLI::Range(1, 256));
    many->add_flag("--sockets", sockets.on, "real relay processes, in real time");
    many->add_option("--relay-arguments", sockets.arguments, "for the relays, in one text");
  }
  CLI::App* check = app.add_subcommand("check", "read a scenario and print every fault");
  check->add_option("SCENARIO", what)->required();
  std::vector<std::string> folders;
  std::string page = "report.html";
  CLI::App* report = app.add_subcommand("report", "one page of HTML on runs that were kept with --out");
  report->add_option("DIR", folders, "a run's folder; several stand side by side")->required();
  report->add_option("--out", page, "the page")->capture_default_str();
  CapacityOptions capacity;
  CLI::App* cost = app.add_subcommand("capacity", "measure the relay's cost against a bare forwarder's");
  cost->add_option("--relay", capacity.program, "the relay's program; else the one beside this");
  cost->add_option("--seconds", capacity.seconds, "of each measurement")->check(CLI::Range(0.2, 600.0));
  cost->add_option("--rounds", capacity.rounds)->check(CLI::Range(1, 100));
  int destinations = 20000, rounds = 9;
  CLI::App* learning =
      app.add_subcommand("learning", "measure learning from a running instance; exit status 1 if it fails");
  learning->add_option("--seeds", seeds, "runs of each arm")->check(CLI::Range(1, 1000));
  CLI::App* snapshot = app.add_subcommand("snapshot", "measure one snapshot between two processes");
  snapshot->add_option("--destinations", destinations)->check(CLI::Range(1, 50000));
  snapshot->add_option("--runs", rounds)->check(CLI::Range(1, 100));
  int changes = 200;
  CLI::App* srv = app.add_subcommand("srv", "measure SRV beside the partner list; exit status 1 if it fails");
  srv->add_option("--changes", changes, "machines replaced")->check(CLI::Range(1, 250));
  int scripts = 1000;
  bool print = false;
  CLI::App* script =
      app.add_subcommand("scripts", "play drawn scripts of faults; exit status 1 if one breaks a rule");
  script->add_option("--seed", seed, "of the first");
  script->add_option("--count", scripts)->check(CLI::Range(1, 1000000));
  script->add_option("--jobs", jobs, "at once; else one a core")->check(CLI::Range(1, 256));
  script->add_flag("--print", print, "the first one as a scenario's file, and play none");
  SoakBatch soak_batch;
  std::string follow;
  CLI::App* soak = app.add_subcommand(
      "soak",
      "play seeds with real processes under faults; exit status 1 if one breaks a rule, 3 if one is void");
  soak->add_option("--seed", soak_batch.first_seed, "of the first");
  soak->add_option("--count", soak_batch.count)->check(CLI::Range(1, 100000));
  soak->add_option("--jobs", soak_batch.jobs, "at once")->check(CLI::Range(1, 16));
  soak->add_option("--relay", soak_batch.program, "the relay's program; else the one beside this");
  soak->add_option("--out", soak_batch.folder, "folder for logs; else they go with the run");
  soak->add_option("--follow", follow,
                   "play nothing; print what the logs under --out's run say of a message");
  bool bare = false;
  soak->add_flag("--no-system-call-faults", bare, "leave the relays' system calls and clocks alone");
  soak->add_flag("--print", print, "the first seed's scenario as a file, and play none");
  CLI::App* queues = app.add_subcommand("queues", "measure the event queues");
  CLI11_PARSE(app, argc, argv);
  try {
    if (*run) return Run(what, sets, seed, out, sockets);
    if (*compare || *sweep) {
      const ScratchFolder scratch;
      std::filesystem::create_directories(scratch.path());
      if (jobs == 0)
        jobs = sockets.on ? 1 : static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
      const ComparisonOptions options{seeds, jobs, sockets.on, sockets.arguments, SelfPath(), scratch.path()};
      return *compare ? Compare({what, sets, build_a}, {other, sets, build_b}, options)
                      : Sweep({what, {}, {}}, key, values, options);
    }
    if (*script && print) {
      std::printf("%s\n", DrawScript(seed).dump(1).c_str());
      return 0;
    }
    if (*script)
      return RunScripts(
          seed, scripts,
          jobs > 0 ? jobs : static_cast<int>(std::max(1U, std::thread::hardware_concurrency())));
    if (*soak && print) {
      std::printf("%s\n", GenerateSoakScenario(soak_batch.first_seed).dump(1).c_str());
      return 0;
    }
    if (*soak && !follow.empty()) {
      std::fputs(FindMessageInLogs(soak_batch.folder, follow).c_str(), stdout);
      return 0;
    }
    if (*soak) return Soak(soak_batch, bare);
    if (*learning) return RunStateTransferExperiment(seeds);
    if (*snapshot) return RunSnapshotExperiment(destinations, rounds);
    if (*srv) return RunSrvExperiment(changes);
    if (*cost) return Capacity(capacity);
    if (*report) return Report(folders, page);
    if (*queues) return Queues();
    ReadScenarioWith(what, {});
    std::printf("the scenario is sound\n");
    return 0;
  } catch (const opalroute::config::Faults& faults) {
    for (const std::string& fault : faults.all()) std::fprintf(stderr, "%s\n", fault.c_str());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  (void)check;
  return 2;
}
