#include "lab/experiments/compare.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "lab/simulation.h"
#include "lab/sockets/process.h"
#include "lab/statistics.h"

namespace opalroute::lab {

namespace {

using nlohmann::ordered_json;

constexpr int kVoidStatus = 3;    // exit status of a void run
constexpr int kMaxVoidTries = 3;  // a void run is repeated: the machine may have been busy only for a moment

struct Metric {
  const char* name;
  double (*value)(const ordered_json& result);
};
const std::vector<Metric> kMetrics = {
    {"worth", [](const ordered_json& r) { return r.at("worth").get<double>(); }},
    {"worst ten seconds", [](const ordered_json& r) { return r.at("worst_ten_seconds").get<double>(); }},
    {"calls", [](const ordered_json& r) { return r.at("calls").get<double>(); }},
    {"calls answered full", [](const ordered_json& r) { return r.at("full").get<double>(); }},
    {"refused", [](const ordered_json& r) { return r.at("refused").get<double>(); }},
    {"p99 s of the first class",
     [](const ordered_json& r) {
       return r.at("classes").begin().value().at("latency_s").at("p99").get<double>();
     }},
    {"collapses", [](const ordered_json& r) { return r.at("collapses").get<double>(); }},
    {"breaches", [](const ordered_json& r) { return static_cast<double>(r.at("breaches").size()); }}};

struct RunSummary {
  std::vector<double> values;  // by metric; empty: the run is void
  bool breach = false;
};

RunSummary Summarize(const ordered_json& result) {
  RunSummary summary;
  for (const Metric& metric : kMetrics) summary.values.push_back(metric.value(result));
  summary.breach = !result.at("breaches").empty();
  return summary;
}

std::string ProgramPath(const Arm& arm, const char* name) {
  const std::string program = arm.build_folder + "/" + name;
  if (access(program.c_str(), X_OK) != 0)
    throw std::runtime_error("the build '" + arm.build_folder + "' has no program '" + name + "'");
  return program;
}

// Runs opalroute-lab as a child process: for another build, or for a run on sockets, which needs an event
// loop of its own.
RunSummary RunInChildProcess(const Arm& arm, std::uint64_t seed, const ComparisonOptions& options,
                             const std::string& folder) {
  std::vector<std::string> arguments = {"run", arm.scenario, "--seed", std::to_string(seed), "--out", folder};
  for (const std::string& set : arm.overrides) arguments.insert(arguments.end(), {"--set", set});
  std::string program = options.lab_program;
  if (options.on_sockets) {
    arguments.emplace_back("--sockets");
    if (!arm.build_folder.empty())
      arguments.insert(arguments.end(), {"--relay", ProgramPath(arm, "opalroute")});
    if (!options.relay_arguments.empty())
      arguments.insert(arguments.end(), {"--relay-arguments", options.relay_arguments});
  } else {
    program = ProgramPath(arm, "opalroute-lab");
  }
  const std::string log = folder + ".log";
  for (int tries = 0; tries < kMaxVoidTries; ++tries) {
    Process run(program, arguments, {}, log);
    while (!run.PollExit()) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    const std::string ending = *run.PollExit();
    if (ending == "exit status " + std::to_string(kVoidStatus)) continue;
    std::ifstream file(folder + "/result.json");
    const bool ended_well = ending == "exit status 0" || ending == "exit status 1";
    if (!ended_well || !file) throw std::runtime_error("a run ended with " + ending + ":\n" + run.LogTail());
    const ordered_json result = ordered_json::parse(file);
    if (!result.at("crashes").empty()) throw std::runtime_error("a relay crashed:\n" + run.LogTail());
    file.close();
    std::filesystem::remove_all(folder);
    return Summarize(result);
  }
  return {};
}

// Runs every arm on every seed, `jobs` runs in parallel; shows progress on a terminal. After a failure no
// further run is started, and the first failure is rethrown.
std::vector<RunSummary> RunAll(const std::vector<const Arm*>& arms, const ComparisonOptions& options) {
  // The arms' runs with the same seed are adjacent, so that a change in the machine's speed affects all arms
  // alike.
  const std::size_t count = arms.size() * static_cast<std::size_t>(options.seeds);
  std::vector<Scenario> scenarios;
  for (const Arm* arm : arms) scenarios.push_back(ReadScenarioWithOverrides(arm->scenario, arm->overrides));
  std::vector<RunSummary> summaries(count);
  std::atomic<std::size_t> next{0}, done{0};
  std::mutex mutex;
  std::exception_ptr failure;
  const bool show_progress = isatty(STDERR_FILENO) != 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < count; i = next++) {
      const std::size_t a = i % arms.size();
      const std::uint64_t seed = i / arms.size() + 1;
      try {
        if (options.on_sockets || !arms[a]->build_folder.empty())
          summaries[i] =
              RunInChildProcess(*arms[a], seed, options, options.scratch_folder + "/run" + std::to_string(i));
        else
          summaries[i] = Summarize(Simulation(scenarios[a], seed).Run().ToJson());
      } catch (...) {
        const std::lock_guard<std::mutex> lock(mutex);
        if (!failure) failure = std::current_exception();
        next = count;
      }
      const std::lock_guard<std::mutex> lock(mutex);
      ++done;
      if (show_progress) std::fprintf(stderr, "\r%zu of %zu runs", done.load(), count);
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::min(count, static_cast<std::size_t>(options.jobs)); ++i)
    threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();
  if (show_progress) std::fprintf(stderr, "\r                        \r");
  if (failure) std::rethrow_exception(failure);
  return summaries;
}

int ExitStatus(const std::vector<RunSummary>& summaries, std::size_t valid_count) {
  const bool breach =
      std::any_of(summaries.begin(), summaries.end(), [](const RunSummary& s) { return s.breach; });
  return breach ? 1 : valid_count == 0 ? kVoidStatus : 0;
}

}  // namespace

int Compare(const Arm& a, const Arm& b, const ComparisonOptions& options) {
  const std::vector<RunSummary> summaries = RunAll({&a, &b}, options);
  std::vector<std::size_t> pairs;  // indexes of A's runs of the seeds for which neither run is void
  for (std::size_t i = 0; i < summaries.size(); i += 2)
    if (!summaries[i].values.empty() && !summaries[i + 1].values.empty()) pairs.push_back(i);
  std::printf("%d seeds %s, pairwise; B - A with its 95%% interval\n", options.seeds,
              options.on_sockets ? "on sockets" : "in simulated time");
  const auto void_pairs = static_cast<std::size_t>(options.seeds) - pairs.size();
  if (void_pairs > 0) std::printf("VOID: %zu pairs are left out, the machine was too busy\n", void_pairs);
  if (pairs.empty()) return ExitStatus(summaries, 0);
  std::printf("%-26s %12s %12s %12s %27s\n", "figure", "A", "B", "B - A", "interval");
  for (std::size_t m = 0; m < kMetrics.size(); ++m) {
    std::vector<double> values_a, values_b, differences;
    for (const std::size_t i : pairs) {
      values_a.push_back(summaries[i].values[m]);
      values_b.push_back(summaries[i + 1].values[m]);
      differences.push_back(values_b.back() - values_a.back());
    }
    const MedianInterval interval = Bootstrap(differences);
    std::printf("%-26s %12.4f %12.4f %12.4f %12.4f to %11.4f%s\n", kMetrics[m].name, Median(values_a),
                Median(values_b), interval.median, interval.low, interval.high,
                interval.ExcludesZero() ? "" : "  no difference");
  }
  return ExitStatus(summaries, pairs.size());
}

int Sweep(const Arm& arm, const std::string& key, const std::vector<std::string>& values,
          const ComparisonOptions& options) {
  std::vector<Arm> arms;
  for (const std::string& value : values) {
    arms.push_back(arm);
    arms.back().overrides.push_back(key + "=" + value);
  }
  std::vector<const Arm*> arm_pointers;
  for (const Arm& one : arms) arm_pointers.push_back(&one);
  const std::vector<RunSummary> summaries = RunAll(arm_pointers, options);
  std::printf("medians of %d seeds %s\n%-16s", options.seeds,
              options.on_sockets ? "on sockets" : "in simulated time", key.c_str());
  for (const Metric& metric : kMetrics) std::printf(" %24s", metric.name);
  std::printf("\n");
  std::size_t valid_count = 0;
  for (std::size_t v = 0; v < values.size(); ++v) {
    std::printf("%-16s", values[v].c_str());
    std::vector<const RunSummary*> of_value;
    for (std::size_t i = v; i < summaries.size(); i += values.size())
      if (!summaries[i].values.empty()) of_value.push_back(&summaries[i]);
    valid_count += of_value.size();
    for (std::size_t m = 0; m < kMetrics.size(); ++m) {
      std::vector<double> metric_values;
      for (const RunSummary* summary : of_value) metric_values.push_back(summary->values[m]);
      if (metric_values.empty())
        std::printf(" %24s", "void");
      else
        std::printf(" %24.4f", Median(metric_values));
    }
    std::printf("\n");
  }
  return ExitStatus(summaries, valid_count);
}

}  // namespace opalroute::lab
