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

constexpr int kVoid = 3;         // exit status of a run that does not count
constexpr int kTriesIfVoid = 3;  // the machine may have been busy for a moment

struct Figure {
  const char* name;
  double (*of)(const ordered_json&);
};
const std::vector<Figure> kFigures = {
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

struct Outcome {
  std::vector<double> figures;  // empty: the run is void
  bool breach = false;
};

Outcome OutcomeOf(const ordered_json& result) {
  Outcome outcome;
  for (const Figure& figure : kFigures) outcome.figures.push_back(figure.of(result));
  outcome.breach = !result.at("breaches").empty();
  return outcome;
}

std::string Program(const Arm& arm, const char* name) {
  const std::string program = arm.build + "/" + name;
  if (access(program.c_str(), X_OK) != 0)
    throw std::runtime_error("the build '" + arm.build + "' has no program '" + name + "'");
  return program;
}

// Its own process: another build's module, or real relays, whose loop is not to be shared.
Outcome PlayApart(const Arm& arm, std::uint64_t seed, const PlayOrder& order, const std::string& folder) {
  std::vector<std::string> words = {"run", arm.what, "--seed", std::to_string(seed), "--out", folder};
  for (const std::string& set : arm.sets) words.insert(words.end(), {"--set", set});
  std::string program = order.self;
  if (order.sockets) {
    words.emplace_back("--sockets");
    if (!arm.build.empty()) words.insert(words.end(), {"--relay", Program(arm, "opalroute")});
    if (!order.relay_arguments.empty())
      words.insert(words.end(), {"--relay-arguments", order.relay_arguments});
  } else {
    program = Program(arm, "opalroute-lab");
  }
  const std::string log = folder + ".log";
  for (int tries = 0; tries < kTriesIfVoid; ++tries) {
    Process run(program, words, {}, log);
    while (!run.PollExit()) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    const std::string how = *run.PollExit();
    if (how == "exit status " + std::to_string(kVoid)) continue;
    std::ifstream file(folder + "/result.json");
    const bool ended_well = how == "exit status 0" || how == "exit status 1";
    if (!ended_well || !file) throw std::runtime_error("a run ended with " + how + ":\n" + run.LogTail());
    const ordered_json result = ordered_json::parse(file);
    if (!result.at("crashes").empty()) throw std::runtime_error("a relay crashed:\n" + run.LogTail());
    file.close();
    std::filesystem::remove_all(folder);
    return OutcomeOf(result);
  }
  return {};
}

// Runs that share nothing, so many at once. On a terminal it says how far they are. The first that fails ends
// all.
std::vector<Outcome> PlayAll(const std::vector<const Arm*>& arms, const PlayOrder& order) {
  // Arms beside one another for each seed, so that a machine that changes its speed does so for both.
  const std::size_t count = arms.size() * static_cast<std::size_t>(order.seeds);
  std::vector<Scenario> scenarios;
  for (const Arm* arm : arms) scenarios.push_back(ReadScenarioWithOverrides(arm->what, arm->sets));
  std::vector<Outcome> outcomes(count);
  std::atomic<std::size_t> next{0}, done{0};
  std::mutex guard;
  std::exception_ptr failure;
  const bool shows = isatty(STDERR_FILENO) != 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < count; i = next++) {
      const std::size_t a = i % arms.size();
      const std::uint64_t seed = i / arms.size() + 1;
      try {
        if (order.sockets || !arms[a]->build.empty())
          outcomes[i] = PlayApart(*arms[a], seed, order, order.scratch + "/run" + std::to_string(i));
        else
          outcomes[i] = OutcomeOf(Simulation(scenarios[a], seed).Run().ToJson());
      } catch (...) {
        const std::lock_guard<std::mutex> lock(guard);
        if (!failure) failure = std::current_exception();
        next = count;
      }
      const std::lock_guard<std::mutex> lock(guard);
      ++done;
      if (shows) std::fprintf(stderr, "\r%zu of %zu runs", done.load(), count);
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::min(count, static_cast<std::size_t>(order.jobs)); ++i)
    threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();
  if (shows) std::fprintf(stderr, "\r                        \r");
  if (failure) std::rethrow_exception(failure);
  return outcomes;
}

int StatusOf(const std::vector<Outcome>& outcomes, std::size_t counted) {
  const bool breach =
      std::any_of(outcomes.begin(), outcomes.end(), [](const Outcome& o) { return o.breach; });
  return breach ? 1 : counted == 0 ? kVoid : 0;
}

}  // namespace

int Compare(const Arm& a, const Arm& b, const PlayOrder& order) {
  const std::vector<Outcome> outcomes = PlayAll({&a, &b}, order);
  std::vector<std::size_t> pairs;  // those of which both count
  for (std::size_t i = 0; i < outcomes.size(); i += 2)
    if (!outcomes[i].figures.empty() && !outcomes[i + 1].figures.empty()) pairs.push_back(i);
  std::printf("%d seeds %s, pairwise; B - A with its 95%% interval\n", order.seeds,
              order.sockets ? "on sockets" : "in simulated time");
  const auto lost = static_cast<std::size_t>(order.seeds) - pairs.size();
  if (lost > 0) std::printf("VOID: %zu pairs are left out, the machine was too busy\n", lost);
  if (pairs.empty()) return StatusOf(outcomes, 0);
  std::printf("%-26s %12s %12s %12s %27s\n", "figure", "A", "B", "B - A", "interval");
  for (std::size_t f = 0; f < kFigures.size(); ++f) {
    std::vector<double> of_a, of_b, differences;
    for (const std::size_t i : pairs) {
      of_a.push_back(outcomes[i].figures[f]);
      of_b.push_back(outcomes[i + 1].figures[f]);
      differences.push_back(of_b.back() - of_a.back());
    }
    const MedianInterval interval = Bootstrap(differences);
    std::printf("%-26s %12.4f %12.4f %12.4f %12.4f to %11.4f%s\n", kFigures[f].name, Median(of_a),
                Median(of_b), interval.median, interval.low, interval.high,
                interval.ExcludesZero() ? "" : "  no difference");
  }
  return StatusOf(outcomes, pairs.size());
}

int Sweep(const Arm& arm, const std::string& key, const std::vector<std::string>& values,
          const PlayOrder& order) {
  std::vector<Arm> all;
  for (const std::string& value : values) {
    all.push_back(arm);
    all.back().sets.push_back(key + "=" + value);
  }
  std::vector<const Arm*> arms;
  for (const Arm& one : all) arms.push_back(&one);
  const std::vector<Outcome> outcomes = PlayAll(arms, order);
  std::printf("medians of %d seeds %s\n%-16s", order.seeds,
              order.sockets ? "on sockets" : "in simulated time", key.c_str());
  for (const Figure& figure : kFigures) std::printf(" %24s", figure.name);
  std::printf("\n");
  std::size_t counted = 0;
  for (std::size_t v = 0; v < values.size(); ++v) {
    std::printf("%-16s", values[v].c_str());
    std::vector<const Outcome*> of_value;
    for (std::size_t i = v; i < outcomes.size(); i += values.size())
      if (!outcomes[i].figures.empty()) of_value.push_back(&outcomes[i]);
    counted += of_value.size();
    for (std::size_t f = 0; f < kFigures.size(); ++f) {
      std::vector<double> figures;
      for (const Outcome* outcome : of_value) figures.push_back(outcome->figures[f]);
      if (figures.empty())
        std::printf(" %24s", "void");
      else
        std::printf(" %24.4f", Median(figures));
    }
    std::printf("\n");
  }
  return StatusOf(outcomes, counted);
}

}  // namespace opalroute::lab
