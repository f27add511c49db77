// Plays scripts of faults in simulated time, one after another on each core, and names those that broke a
// rule.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "lab/experiments/experiments.h"
#include "lab/script.h"
#include "lab/simulation.h"

namespace opalroute::lab {

int ScriptTable(std::uint64_t first, int count, int jobs) {
  std::atomic<int> next{0};
  std::mutex lock;
  std::map<std::uint64_t, std::vector<Breach>> broken;
  long messages = 0, calls = 0, delivered = 0, stages = 0;
  const auto play = [&] {
    for (int i = next++; i < count; i = next++) {
      const std::uint64_t seed = first + static_cast<std::uint64_t>(i);
      const RunResult r = Simulation(ReadScenario(DrawScript(seed)), seed).Run();
      const std::lock_guard<std::mutex> hold(lock);
      for (const ClassOutcome& c : r.classes) {
        messages += c.asked;
        delivered += c.delivered;
      }
      calls += r.calls;
      stages += static_cast<long>(r.stage_changes.size());
      if (!r.breaches.empty()) broken[seed] = r.breaches;
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < std::max(1, jobs); ++i) threads.emplace_back(play);
  for (std::thread& thread : threads) thread.join();
  for (const auto& [seed, breaches] : broken) {
    const Breach& b = breaches.front();
    std::printf(
        "script %llu: %zu breaches, the first %s at %.3f s, relay %d, message %llu, endpoint %u: %s\n",
        static_cast<unsigned long long>(seed), breaches.size(), NameOf(b.kind), b.at, b.relay,
        static_cast<unsigned long long>(b.message), static_cast<unsigned>(b.endpoint), b.trace.c_str());
  }
  std::printf(
      "%d scripts from %llu on: %zu broke a rule; %ld messages, %ld delivered, %ld calls, %ld changes of a "
      "zone's stage\n",
      count, static_cast<unsigned long long>(first), broken.size(), messages, delivered, calls, stages);
  return broken.empty() ? 0 : 1;
}

}  // namespace opalroute::lab
