// 24 processes of the program with faults between them: datagrams lost, a zone shut, processes killed and
// frozen. Checks are of counts and order, whatever the machine's speed.
#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <numeric>

#include "lab/sockets/play.h"
#include "lab/sockets/post.h"

namespace opalroute::lab {
namespace {

namespace fs = std::filesystem;

// Of the share of calls before the evacuation.
constexpr double kEvacuatedShare = 0.6;

class Folder {
 public:
  Folder()
      : path_((fs::temp_directory_path() / ("opalroute-tier-test-" + std::to_string(getpid()))).string()) {}
  ~Folder() { fs::remove_all(path_); }
  const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

// Plays one of lab/scenarios, and reads the phase changes from the logs of all relays.
RunResult Play(const std::string& name) {
  const Folder folder;
  SocketOptions options;
  options.program = RELAY_PROGRAM;
  options.folder = folder.path();
  options.most_lateness = options.most_lateness_p99 = 1e9;
  const Scenario scenario = LoadScenario(std::string(SCENARIOS) + "/" + name + ".json");
  const RunResult r = PlayOnSockets(scenario, 1, options);
  for (const Breach& b : r.breaches) FAIL_CHECK(NameOf(b.kind), " ", b.at, " ", b.trace);
  for (const Crash& c : r.crashes) FAIL_CHECK(c.relay, " ", c.how, "\n", c.last_log);
  return r;
}

// All 24 have evacuated zone 1 and no other, and have returned to it.
void CheckOneEvacuated(const RunResult& r) {
  std::map<int, std::string> phases;  // of zone 1 by relay, in their order
  for (const StageChange& c : r.stage_changes) {
    if (c.zone == 1) phases[c.relay] += c.step + " ";
    CHECK_MESSAGE((c.zone == 1 || c.step != "out"), "relay ", c.relay, " has evacuated zone ", c.zone);
  }
  CHECK(phases.size() == 24);
  for (const auto& [relay, order] : phases) {
    CAPTURE(relay);
    CAPTURE(order);
    const std::size_t out = order.find("out"),
                      returning = order.find("returning", out == std::string::npos ? 0 : out);
    CHECK(out != std::string::npos);
    CHECK(returning != std::string::npos);
    CHECK(order.rfind("in ") == order.size() - 3);
  }
  CHECK(r.notes > 1000);
}

// The share of the calls that go into zone 1, from second to second, among destinations that have endpoints
// in other zones, too: the others are still called there.
double ZoneShareWithin(const RunResult& r, std::size_t from, std::size_t to) {
  long into = 0, all = 0;
  for (std::size_t second = from; second < to; ++second) {
    const std::vector<long>& calls = r.seconds[second].spared_calls;
    into += calls.size() > 1 ? calls[1] : 0;
    all += std::accumulate(calls.begin(), calls.end(), 0L);
  }
  REQUIRE(all > 40);  // enough for a share
  return static_cast<double>(into) / static_cast<double>(all);
}

TEST_CASE(
    "processes: 24 of them evacuate a zone that is shut, and return, though six are killed and two frozen") {
  const RunResult r = Play("zone_processes");
  CheckOneEvacuated(r);
  CHECK(ZoneShareWithin(r, 8, 11) < kEvacuatedShare * ZoneShareWithin(r, 1, 4));
}

TEST_CASE(
    "processes: 24 of them follow an override issued at one, though it is killed and four are cut off") {
  const RunResult r = Play("zone_orders");
  CheckOneEvacuated(r);
  const double before = ZoneShareWithin(r, 1, 4);
  CHECK(ZoneShareWithin(r, 7, 9) < kEvacuatedShare * before);
  CHECK(ZoneShareWithin(r, 20, 23) > kEvacuatedShare * before);
}

// Two relays' sockets and the forwarder between them, in this process.
TEST_CASE(
    "processes: the forwarder keeps senders apart, refuses for dead processes, and is silent in a "
    "partition") {
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  LinkSettings plan;
  plan.delay = {0, 0.001};
  LinkCut cut;
  cut.from = 10;
  cut.duration = 1e6;
  plan.cuts.push_back(cut);
  Seconds now = 0;
  Post post(loop, 3, plan, 1, [&now] { return now; });
  const std::vector<sockaddr_in> peers = post.Peers();
  std::vector<std::string> got;
  int refused = 0;
  net::DatagramSocket first(
      loop, post.ListenOf(0), 256, [](const sockaddr_in&, const std::string&) {},
      [&](const sockaddr_in& to) { refused += to.sin_port == peers[2].sin_port; });
  net::DatagramSocket second(loop, post.ListenOf(1), 256,
                             [&](const sockaddr_in& from, const std::string& bytes) {
                               got.push_back((from.sin_port == peers[0].sin_port ? "0:" : "?:") + bytes);
                             });
  post.SetThere(0, true);
  post.SetThere(1, true);
  const auto until = [&](const std::function<bool()>& holds) {
    for (int i = 0; i < 2000 && !holds(); ++i) loop.RunOnce(0.005);
    return holds();
  };
  first.Send(peers[1], "one");
  CHECK(until([&] { return got.size() == 1; }));
  CHECK(got[0] == "0:one");
  first.Send(peers[2], "nobody");
  CHECK(until([&] { return refused == 1; }));
  now = 20;  // cut off from all others
  first.Send(peers[1], "two");
  post.SetThere(2, false);
  first.Send(peers[2], "nobody");
  first.Send(peers[1], "three");
  for (int i = 0; i < 20; ++i) loop.RunOnce(0.005);
  CHECK(got.size() == 1);
  CHECK(refused == 1);
}

}  // namespace
}  // namespace opalroute::lab
