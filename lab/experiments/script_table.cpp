// Runs random fault scripts in simulated time, one at a time per job, and lists those with a breach.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "lab/experiments/experiments.h"
#include "lab/simulation.h"

namespace opalroute::lab {

namespace {

std::string DescribeBreaches(const std::vector<Breach>& breaches) {
  const Breach& b = breaches.front();
  return std::to_string(breaches.size()) + " breaches, the first " + NameOf(b.kind) + " at " +
         std::to_string(b.at) + " s, relay " + std::to_string(b.relay) + ", message " +
         std::to_string(b.message) + ", endpoint " + std::to_string(b.endpoint) + ": " + b.trace;
}

}  // namespace

int RunScripts(const ScriptGenerator& draw, std::uint64_t first_seed, int count, int jobs) {
  std::atomic<int> next{0};
  std::mutex mutex;
  std::map<std::uint64_t, std::string> failures;  // by seed: a description
  long messages = 0, calls = 0, delivered = 0, stages = 0;
  const auto work = [&] {
    for (int i = next++; i < count; i = next++) {
      const std::uint64_t seed = first_seed + static_cast<std::uint64_t>(i);
      RunResult r;
      std::string failure;
      try {
        r = Simulation(ReadScenario(draw(seed)), seed).Run();
        if (!r.breaches.empty()) failure = DescribeBreaches(r.breaches);
      } catch (const std::runtime_error& error) {
        failure = error.what();
      }
      const std::lock_guard<std::mutex> lock(mutex);
      for (const ClassOutcome& c : r.classes) {
        messages += c.offered;
        delivered += c.delivered;
      }
      calls += r.calls;
      stages += static_cast<long>(r.zone_phase_changes.size());
      if (!failure.empty()) failures[seed] = failure;
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < std::max(1, jobs); ++i) threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();
  for (const auto& [seed, failure] : failures)
    std::printf("script %llu: %s\n", static_cast<unsigned long long>(seed), failure.c_str());
  std::printf(
      "%d scripts from %llu on: %zu broke a rule; %ld messages, %ld delivered, %ld calls, %ld changes of a "
      "zone's stage\n",
      count, static_cast<unsigned long long>(first_seed), failures.size(), messages, delivered, calls,
      stages);
  return failures.empty() ? 0 : 1;
}

}  // namespace opalroute::lab
