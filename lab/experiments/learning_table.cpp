// Measures learning from a running instance: medians and worst cases over seeds, with and without it.
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "lab/experiments/experiments.h"
#include "lab/experiments/learning_experiment.h"

namespace {

using opalroute::lab::LearningResult;
using opalroute::lab::LearningRun;
using Carrier = LearningRun::Carrier;

struct Arm {
  const char* name;
  bool outage;
  Carrier carrier;
  bool rated = true;
};
const std::vector<Arm> kArms = {{"outage, nothing learnt", true, Carrier::kNone},
                                {"outage, TCP", true, Carrier::kTcp},
                                {"outage, notes", true, Carrier::kNotes},
                                {"outage, state folder", true, Carrier::kState},
                                {"outage, limit unknown, nothing learnt", true, Carrier::kNone, false},
                                {"outage, limit unknown, TCP", true, Carrier::kTcp, false},
                                {"outage, limit unknown, notes", true, Carrier::kNotes, false},
                                {"outage, limit unknown, state folder", true, Carrier::kState, false},
                                {"no outage, nothing learnt", false, Carrier::kNone},
                                {"no outage, TCP", false, Carrier::kTcp},
                                {"no outage, notes", false, Carrier::kNotes},
                                {"no outage, state folder", false, Carrier::kState}};

std::string Spread(std::vector<double> values, const char* form) {
  std::sort(values.begin(), values.end());
  char text[96];
  char both[48];
  std::snprintf(both, sizeof(both), "%s (%s to %s)", form, form, form);
  std::snprintf(text, sizeof(text), both, values[values.size() / 2], values.front(), values.back());
  return text;
}

}  // namespace

int opalroute::lab::LearningTable(int seeds) {
  if (std::getenv("LAB_LOG") == nullptr) spdlog::set_level(spdlog::level::off);
  const std::string folder =
      (std::filesystem::temp_directory_path() / ("opalroute-lab-" + std::to_string(getpid()))).string();
  std::printf("median (least to most) of %d seeds\n\n", seeds);
  std::printf(
      "| arm | newcomer's calls while shut | its calls in a wait told before its start | its calls in the "
      "first 2 s "
      "| "
      "collapses | own waits broken | payments twice | lost | worth within the aim in 10 s |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|\n");
  bool holds = true;
  double calm_worth = 0;  // without learning
  std::vector<std::vector<int>> loads;
  for (const Arm& arm : kArms) {
    std::vector<LearningResult> results;
    for (int seed = 1; seed <= seeds; ++seed)
      results.push_back(opalroute::lab::RunLearning(
          {static_cast<std::uint64_t>(seed), arm.outage, arm.carrier, arm.rated}, folder));
    const auto spread = [&](const std::function<double(const LearningResult&)>& value, const char* form) {
      std::vector<double> values;
      for (const LearningResult& r : results) values.push_back(value(r));
      return Spread(values, form);
    };
    const auto sum = [&](int LearningResult::*field) {
      int total = 0;
      for (const LearningResult& r : results) total += r.*field;
      return total;
    };
    std::printf("| %s | %s | %s | %s | %d | %d | %d | %d | %s |\n", arm.name,
                spread([](const auto& r) { return r.newcomer_shut; }, "%.0f").c_str(),
                spread([](const auto& r) { return r.in_wait; }, "%.0f").c_str(),
                spread([](const auto& r) { return r.newcomer_calls; }, "%.0f").c_str(),
                sum(&LearningResult::collapses), sum(&LearningResult::own_breaches),
                sum(&LearningResult::twice), sum(&LearningResult::lost),
                spread([](const auto& r) { return r.worth / r.asked; }, "%.3f").c_str());
    std::vector<int> load(16, 0);
    for (const LearningResult& r : results)
      for (std::size_t i = 0; i < load.size(); ++i) load[i] += r.load[i];
    loads.push_back(load);
    // Without an outage most is in time, the clump at the start aside: else the runs are void and prove
    // nothing.
    const bool sound = std::all_of(results.begin(), results.end(), [&arm](const LearningResult& r) {
      return r.asked > 50 && (arm.outage || r.worth > 0.5 * r.asked);
    });
    if (!sound) std::printf("the arm '%s' is void\n", arm.name);
    holds = holds && sound;
    const bool clean = sum(&LearningResult::own_breaches) + sum(&LearningResult::twice) == 0;
    holds = holds && clean;
    if (!arm.outage) {
      double worth = 0;
      for (const LearningResult& r : results) worth += r.worth / r.asked / seeds;
      if (arm.carrier == Carrier::kNone) calm_worth = worth;
      holds = holds && worth >= calm_worth;
    }
    if (arm.outage && arm.carrier != Carrier::kNone)
      holds = holds && sum(&LearningResult::collapses) + sum(&LearningResult::in_wait) == 0;
  }
  std::printf("\ncalls at the partner by second after it opened, mean of the seeds:\n\n");
  for (std::size_t arm = 0; arm < kArms.size(); ++arm) {
    if (!kArms[arm].outage) continue;
    std::printf("    %-38s", kArms[arm].name);
    for (const int calls : loads[arm]) std::printf(" %5.1f", static_cast<double>(calls) / seeds);
    std::printf("\n");
  }
  std::printf("\nclaim %s\n", holds ? "holds" : "DOES NOT HOLD");
  return holds ? 0 : 1;
}
