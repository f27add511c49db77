// Plays seeds of the soak one after another, or some at once, and names those that broke a rule with what the
// relays' logs say of the message.
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

constexpr int kBreachesTold = 3;  // of one seed, with their logs

std::string LineOf(const Breach& b) {
  char head[160];
  std::snprintf(head, sizeof(head),
                "  BREACH %s at %.3f s, relay %d, message m%llu, endpoint e%u: ", NameOf(b.kind), b.at,
                b.relay, static_cast<unsigned long long>(b.message), static_cast<unsigned>(b.endpoint));
  return head + b.trace + "\n";
}

// Whether the line names this message and not one whose number begins alike.
bool Names(const std::string& line, const std::string& id) {
  for (std::size_t at = line.find(id); at != std::string::npos; at = line.find(id, at + 1)) {
    const std::size_t end = at + id.size();
    if (end == line.size() || line[end] < '0' || line[end] > '9') return true;
  }
  return false;
}

struct Told {
  std::string text;
  bool sound = false, judged = true;
  long messages = 0, delivered = 0, calls = 0, closed_unread = 0;
};

Told TellOf(std::uint64_t seed, const RunResult& r, const std::string& folder) {
  Told told;
  for (const ClassOutcome& c : r.classes) {
    told.messages += c.asked;
    told.delivered += c.delivered;
  }
  told.calls = r.calls;
  told.closed_unread = r.closed_unread;
  told.sound = r.breaches.empty() && r.crashes.empty();
  told.judged = r.void_because.empty();
  char head[200];
  std::snprintf(head, sizeof(head),
                "seed %llu: %zu relays, %ld messages, %ld delivered, %ld calls, %ld closed unread, %d "
                "restarts, %d of %d untried "
                "ended early: %s\n",
                static_cast<unsigned long long>(seed), r.processes.size(), told.messages, told.delivered,
                told.calls, told.closed_unread, r.restarts.ready, r.restarts.unattempted_ended,
                r.restarts.unattempted,
                !told.judged ? "VOID"
                : told.sound ? "sound"
                             : "BROKEN");
  told.text = head;
  if (!told.judged) told.text += "  " + r.void_because + "\n";
  for (const Crash& c : r.crashes)
    told.text += "  CRASH of relay " + std::to_string(c.relay) + " at " + std::to_string(c.at) +
                 " s: " + c.how + "; its log ends:\n" + c.last_log;
  int number = 0;
  for (const Breach& b : r.breaches) {
    told.text += LineOf(b);
    if (number++ < kBreachesTold) told.text += FollowMessage(folder, "m" + std::to_string(b.message));
  }
  return told;
}

}  // namespace

std::string FollowMessage(const std::string& folder, const std::string& id) {
  std::string text;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream log(entry.path() / "log");
    for (std::string line; std::getline(log, line);)
      if (Names(line, id)) text += "    " + entry.path().filename().string() + ": " + line + "\n";
  }
  return text;
}

int SoakTable(const SoakOrder& order) {
  std::atomic<int> next{0};
  std::mutex lock;
  int broken = 0, not_judged = 0;
  long messages = 0, delivered = 0, calls = 0, closed_unread = 0;
  const auto play = [&] {
    for (int i = next++; i < order.count; i = next++) {
      const std::uint64_t seed = order.first + static_cast<std::uint64_t>(i);
      const std::string folder = order.folder + "/seed" + std::to_string(seed);
      Told told;
      try {
        const RunResult result = PlaySoak(seed, {order.program, order.library, folder});
        std::ofstream(folder + "/result.json") << result.ToJson().dump(1) << '\n';
        told = TellOf(seed, result, folder);
      } catch (const std::runtime_error& error) {
        told.text = "seed " + std::to_string(seed) + ": NOT PLAYED: " + error.what() + "\n";
      }
      const std::lock_guard<std::mutex> hold(lock);
      std::fputs(told.text.c_str(), stdout);
      std::fflush(stdout);
      if (!told.sound) ++broken;
      if (!told.judged) ++not_judged;
      messages += told.messages;
      delivered += told.delivered;
      calls += told.calls;
      closed_unread += told.closed_unread;
      if (told.sound && told.judged) std::filesystem::remove_all(folder);
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < order.jobs; ++i) threads.emplace_back(play);
  for (std::thread& thread : threads) thread.join();
  std::printf(
      "%d seeds from %llu on: %d broke a rule, %d void; %ld messages, %ld delivered, %ld calls, %ld closed "
      "unread\n",
      order.count, static_cast<unsigned long long>(order.first), broken, not_judged, messages, delivered,
      calls, closed_unread);
  return broken > 0 ? 1 : not_judged > 0 ? 3 : 0;
}

}  // namespace opalroute::lab
