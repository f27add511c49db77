// Runs soak seeds, some in parallel, and prints the breaches of each with the relays' log lines on the
// request concerned.
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "lab/experiments/experiments.h"
#include "lab/soak/soak.h"

namespace opalroute::lab {

namespace {

constexpr int kMaxBreachesWithLogs = 3;  // of one seed

std::string FormatBreach(const Breach& b) {
  char head[160];
  std::snprintf(head, sizeof(head),
                "  BREACH %s at %.3f s, relay %d, message m%llu, endpoint e%u: ", NameOf(b.kind), b.at,
                b.relay, static_cast<unsigned long long>(b.message), static_cast<unsigned>(b.endpoint));
  return head + b.trace + "\n";
}

// Whether the line mentions this id, as opposed to a longer id that starts with it.
bool Mentions(const std::string& line, const std::string& id) {
  for (std::size_t at = line.find(id); at != std::string::npos; at = line.find(id, at + 1)) {
    const std::size_t end = at + id.size();
    if (end == line.size() || line[end] < '0' || line[end] > '9') return true;
  }
  return false;
}

struct SeedReport {
  std::string text;
  bool passed = false;  // no breach, no crash
  bool valid = true;    // not void
  long messages = 0, delivered = 0, calls = 0, closed_unread = 0;
};

SeedReport MakeReport(std::uint64_t seed, const RunResult& r, const std::string& folder) {
  SeedReport report;
  for (const ClassOutcome& c : r.classes) {
    report.messages += c.offered;
    report.delivered += c.delivered;
  }
  report.calls = r.calls;
  report.closed_unread = r.closed_unread;
  report.passed = r.breaches.empty() && r.crashes.empty();
  report.valid = r.void_reason.empty();
  char head[200];
  std::snprintf(head, sizeof(head),
                "seed %llu: %zu relays, %ld messages, %ld delivered, %ld calls, %ld closed unread, %d "
                "restarts, %d of %d untried "
                "ended early: %s\n",
                static_cast<unsigned long long>(seed), r.processes.size(), report.messages, report.delivered,
                report.calls, report.closed_unread, r.restarts.ready, r.restarts.unattempted_ended,
                r.restarts.unattempted,
                !report.valid   ? "VOID"
                : report.passed ? "sound"
                                : "BROKEN");
  report.text = head;
  if (!report.valid) report.text += "  " + r.void_reason + "\n";
  for (const Crash& c : r.crashes)
    report.text += "  CRASH of relay " + std::to_string(c.relay) + " at " + std::to_string(c.at) +
                   " s: " + c.cause + "; its log ends:\n" + c.last_log;
  int number = 0;
  for (const Breach& b : r.breaches) {
    report.text += FormatBreach(b);
    if (number++ < kMaxBreachesWithLogs)
      report.text += FindMessageInLogs(folder, "m" + std::to_string(b.message));
  }
  return report;
}

}  // namespace

std::string FindMessageInLogs(const std::string& folder, const std::string& id) {
  std::string text;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream log(entry.path() / "log");
    for (std::string line; std::getline(log, line);)
      if (Mentions(line, id)) text += "    " + entry.path().filename().string() + ": " + line + "\n";
  }
  return text;
}

int RunSoakBatch(const SoakBatch& batch) {
  std::atomic<int> next{0};
  std::mutex mutex;
  int failed = 0, void_count = 0;
  long messages = 0, delivered = 0, calls = 0, closed_unread = 0;
  const auto work = [&] {
    for (int i = next++; i < batch.count; i = next++) {
      const std::uint64_t seed = batch.first_seed + static_cast<std::uint64_t>(i);
      const std::string folder = batch.folder + "/seed" + std::to_string(seed);
      SeedReport report;
      try {
        const RunResult result = RunSoak(seed, {batch.program, batch.fault_library, folder});
        std::ofstream(folder + "/result.json") << result.ToJson().dump(1) << '\n';
        report = MakeReport(seed, result, folder);
      } catch (const std::runtime_error& error) {
        report.text = "seed " + std::to_string(seed) + ": NOT RUN: " + error.what() + "\n";
      }
      const std::lock_guard<std::mutex> lock(mutex);
      std::fputs(report.text.c_str(), stdout);
      std::fflush(stdout);
      if (!report.passed) ++failed;
      if (!report.valid) ++void_count;
      messages += report.messages;
      delivered += report.delivered;
      calls += report.calls;
      closed_unread += report.closed_unread;
      if (report.passed && report.valid) std::filesystem::remove_all(folder);
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < batch.jobs; ++i) threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();
  std::printf(
      "%d seeds from %llu on: %d broke a rule, %d void; %ld messages, %ld delivered, %ld calls, %ld closed "
      "unread\n",
      batch.count, static_cast<unsigned long long>(batch.first_seed), failed, void_count, messages, delivered,
      calls, closed_unread);
  return failed > 0 ? 1 : void_count > 0 ? 3 : 0;
}

}  // namespace opalroute::lab
