// Measures state transfer from a running relay: medians and extremes over seeds, with and without it.
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
#include "lab/experiments/state_transfer_experiment.h"

namespace {

using opalroute::lab::StateTransferResult;
using opalroute::lab::StateTransferRun;
using Transfer = StateTransferRun::Transfer;

struct Arm {
  const char* name;
  bool outage;
  Transfer transfer;
  bool capacity_known = true;
};
const std::vector<Arm> kArms = {{"outage, nothing learnt", true, Transfer::kNone},
                                {"outage, TCP", true, Transfer::kTcp},
                                {"outage, notes", true, Transfer::kDatagrams},
                                {"outage, state folder", true, Transfer::kStateFolder},
                                {"outage, limit unknown, nothing learnt", true, Transfer::kNone, false},
                                {"outage, limit unknown, TCP", true, Transfer::kTcp, false},
                                {"outage, limit unknown, notes", true, Transfer::kDatagrams, false},
                                {"outage, limit unknown, state folder", true, Transfer::kStateFolder, false},
                                {"no outage, nothing learnt", false, Transfer::kNone},
                                {"no outage, TCP", false, Transfer::kTcp},
                                {"no outage, notes", false, Transfer::kDatagrams},
                                {"no outage, state folder", false, Transfer::kStateFolder}};

// Median (least to most), each in the printf format `format`.
std::string FormatSpread(std::vector<double> values, const char* format) {
  std::sort(values.begin(), values.end());
  char text[96];
  char whole_format[48];
  std::snprintf(whole_format, sizeof(whole_format), "%s (%s to %s)", format, format, format);
  std::snprintf(text, sizeof(text), whole_format, values[values.size() / 2], values.front(), values.back());
  return text;
}

}  // namespace

int opalroute::lab::RunStateTransferExperiment(int seeds) {
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
  double weight_without_transfer = 0;  // share delivered in time, without an outage
  std::vector<std::vector<int>> calls_by_arm;
  for (const Arm& arm : kArms) {
    std::vector<StateTransferResult> results;
    for (int seed = 1; seed <= seeds; ++seed)
      results.push_back(opalroute::lab::RunStateTransfer(
          {static_cast<std::uint64_t>(seed), arm.outage, arm.transfer, arm.capacity_known}, folder));
    const auto spread = [&](const std::function<double(const StateTransferResult&)>& value,
                            const char* format) {
      std::vector<double> values;
      for (const StateTransferResult& r : results) values.push_back(value(r));
      return FormatSpread(values, format);
    };
    const auto sum = [&](int StateTransferResult::*field) {
      int total = 0;
      for (const StateTransferResult& r : results) total += r.*field;
      return total;
    };
    std::printf("| %s | %s | %s | %s | %d | %d | %d | %d | %s |\n", arm.name,
                spread([](const auto& r) { return r.new_relay_calls_in_outage; }, "%.0f").c_str(),
                spread([](const auto& r) { return r.new_relay_calls_during_retry_after; }, "%.0f").c_str(),
                spread([](const auto& r) { return r.new_relay_calls; }, "%.0f").c_str(),
                sum(&StateTransferResult::collapses), sum(&StateTransferResult::calls_during_own_retry_after),
                sum(&StateTransferResult::duplicate_payments), sum(&StateTransferResult::lost),
                spread([](const auto& r) { return r.weight / r.weight_due; }, "%.3f").c_str());
    std::vector<int> calls_by_second(16, 0);
    for (const StateTransferResult& r : results)
      for (std::size_t i = 0; i < calls_by_second.size(); ++i) calls_by_second[i] += r.calls_by_second[i];
    calls_by_arm.push_back(calls_by_second);
    // Without an outage most requests are in time, except for the initial burst; otherwise the runs are void
    // and prove nothing.
    const bool valid = std::all_of(results.begin(), results.end(), [&arm](const StateTransferResult& r) {
      return r.weight_due > 50 && (arm.outage || r.weight > 0.5 * r.weight_due);
    });
    if (!valid) std::printf("the arm '%s' is void\n", arm.name);
    holds = holds && valid;
    const bool rules_kept = sum(&StateTransferResult::calls_during_own_retry_after) +
                                sum(&StateTransferResult::duplicate_payments) ==
                            0;
    holds = holds && rules_kept;
    if (!arm.outage) {
      double weight = 0;
      for (const StateTransferResult& r : results) weight += r.weight / r.weight_due / seeds;
      if (arm.transfer == Transfer::kNone) weight_without_transfer = weight;
      holds = holds && weight >= weight_without_transfer;
    }
    if (arm.outage && arm.transfer != Transfer::kNone)
      holds = holds && sum(&StateTransferResult::collapses) +
                               sum(&StateTransferResult::new_relay_calls_during_retry_after) ==
                           0;
  }
  std::printf("\ncalls at the partner by second after it opened, mean of the seeds:\n\n");
  for (std::size_t arm = 0; arm < kArms.size(); ++arm) {
    if (!kArms[arm].outage) continue;
    std::printf("    %-38s", kArms[arm].name);
    for (const int calls : calls_by_arm[arm]) std::printf(" %5.1f", static_cast<double>(calls) / seeds);
    std::printf("\n");
  }
  std::printf("\nclaim %s\n", holds ? "holds" : "DOES NOT HOLD");
  return holds ? 0 : 1;
}
