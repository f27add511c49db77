// Plays scripts of faults in simulated time, one after another on each core, and names those that broke a
// rule.
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
#include "lab/script.h"
#include "lab/simulation.h"

namespace opalroute::lab {

namespace {

std::string TextOf(const std::vector<Breach>& breaches) {
  const Breach& b = breaches.front();
  return std::to_string(breaches.size()) + " breaches, the first " + NameOf(b.kind) + " at " +
         std::to_string(b.at) + " s, relay " + std::to_string(b.relay) + ", message " +
         std::to_string(b.message) + ", endpoint " + std::to_string(b.endpoint) + ": " + b.trace;
}

}  // namespace

int ScriptTable(std::uint64_t first, int count, int jobs) {
  std::atomic<int> next{0};
  std::mutex lock;
  std::map<std::uint64_t, std::string> broken;  // by seed: its first breach
  long messages = 0, calls = 0, delivered = 0, stages = 0;
  const auto play = [&] {
    for (int i = next++; i < count; i = next++) {
      const std::uint64_t seed = first + static_cast<std::uint64_t>(i);
      RunResult r;
      std::string wrong;
      try {
        r = Simulation(ReadScenario(DrawFaultScript(seed)), seed).Run();
        if (!r.breaches.empty()) wrong = TextOf(r.breaches);
      } catch (const std::runtime_error& error) {
        wrong = error.what();
      }
      const std::lock_guard<std::mutex> hold(lock);
      for (const ClassOutcome& c : r.classes) {
        messages += c.offered;
        delivered += c.delivered;
      }
      calls += r.calls;
      stages += static_cast<long>(r.zone_phase_changes.size());
      if (!wrong.empty()) broken[seed] = wrong;
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < std::max(1, jobs); ++i) threads.emplace_back(play);
  for (std::thread& thread : threads) thread.join();
  for (const auto& [seed, wrong] : broken)
    std::printf("script %llu: %s\n", static_cast<unsigned long long>(seed), wrong.c_str());
  std::printf(
      "%d scripts from %llu on: %zu broke a rule; %ld messages, %ld delivered, %ld calls, %ld changes of a "
      "zone's stage\n",
      count, static_cast<unsigned long long>(first), broken.size(), messages, delivered, calls, stages);
  return broken.empty() ? 0 : 1;
}

}  // namespace opalroute::lab
