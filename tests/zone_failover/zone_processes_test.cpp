// Tests of 24 relay processes under faults: lost datagrams, a zone that fails, processes that are killed or
// frozen. They check only counts and the order of events, so they do not depend on the machine's speed.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <numeric>

#include "lab/sockets/datagram_forwarder.h"
#include "tests/support/process_run.h"

namespace opalroute::lab {
namespace {

// A zone counts as evacuated while its share of the calls is below this fraction of its share before.
constexpr double kEvacuatedFraction = 0.6;

// Checks that all 24 relays have evacuated zone 1 and no other, and that it is in service again at all of
// them.
void CheckOnlyZone1Evacuated(const RunResult& result) {
  std::map<int, std::string> phases;  // of zone 1, by relay, in the order in which they were entered
  for (const ZonePhaseChange& c : result.zone_phase_changes) {
    if (c.zone == 1) phases[c.relay] += c.phase + " ";
    CHECK_MESSAGE((c.zone == 1 || c.phase != "out"), "relay ", c.relay, " has evacuated zone ", c.zone);
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
  CHECK(result.datagrams > 1000);
}

// Zone 1's share of the calls from second `from` until second `to`. Counts only calls to destinations that
// also have endpoints in other zones, because the others are still called in zone 1 during an evacuation.
double ZoneShareWithin(const RunResult& result, std::size_t from, std::size_t to) {
  long zone_calls = 0, all_calls = 0;
  for (std::size_t second = from; second < to; ++second) {
    const std::vector<long>& calls = result.seconds[second].multi_zone_partner_calls;
    zone_calls += calls.size() > 1 ? calls[1] : 0;
    all_calls += std::accumulate(calls.begin(), calls.end(), 0L);
  }
  REQUIRE(all_calls > 40);  // enough to compute a share
  return static_cast<double>(zone_calls) / static_cast<double>(all_calls);
}

TEST_CASE(
    "processes: 24 relays evacuate a failing zone and return to it, though six are killed and two frozen") {
  const RunResult result = RunWithProcesses("zone_processes", 1);
  CheckOnlyZone1Evacuated(result);
  CHECK(ZoneShareWithin(result, 8, 11) < kEvacuatedFraction * ZoneShareWithin(result, 1, 4));
}

TEST_CASE(
    "processes: 24 relays follow an override issued at one, though that one is killed and four are cut off") {
  const RunResult result = RunWithProcesses("zone_orders", 1);
  CheckOnlyZone1Evacuated(result);
  const double before = ZoneShareWithin(result, 1, 4);
  CHECK(ZoneShareWithin(result, 7, 9) < kEvacuatedFraction * before);
  CHECK(ZoneShareWithin(result, 20, 23) > kEvacuatedFraction * before);
}

// Runs the sockets of two relays and the forwarder between them in this process.
TEST_CASE(
    "processes: the forwarder keeps senders apart, answers 'port unreachable' for dead processes, and drops "
    "datagrams in a partition") {
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  LinkSettings plan;
  plan.delay = {0, 0.001};
  LinkCut cut;
  cut.from = 10;
  cut.duration = 1e6;
  plan.cuts.push_back(cut);
  Seconds now = 0;
  DatagramForwarder forwarder(loop, 3, plan, 1, [&now] { return now; });
  const std::vector<sockaddr_in> peers = forwarder.PeerAddresses();
  std::vector<std::string> received;
  int refused = 0;
  net::DatagramSocket first(
      loop, forwarder.RelayAddress(0), 256, [](const sockaddr_in&, const std::string&) {},
      [&](const sockaddr_in& to) { refused += to.sin_port == peers[2].sin_port; });
  net::DatagramSocket second(loop, forwarder.RelayAddress(1), 256,
                             [&](const sockaddr_in& from, const std::string& bytes) {
                               received.push_back((from.sin_port == peers[0].sin_port ? "0:" : "?:") + bytes);
                             });
  forwarder.SetRunning(0, true);
  forwarder.SetRunning(1, true);
  const auto run_until = [&](const std::function<bool()>& condition) {
    for (int i = 0; i < 2000 && !condition(); ++i) loop.RunOnce(0.005);
    return condition();
  };
  first.Send(peers[1], "one");
  CHECK(run_until([&] { return received.size() == 1; }));
  CHECK(received[0] == "0:one");
  first.Send(peers[2], "nobody");
  CHECK(run_until([&] { return refused == 1; }));
  now = 20;  // relay 0 is cut off from all others
  first.Send(peers[1], "two");
  forwarder.SetRunning(2, false);
  first.Send(peers[2], "nobody");
  first.Send(peers[1], "three");
  for (int i = 0; i < 20; ++i) loop.RunOnce(0.005);
  CHECK(received.size() == 1);
  CHECK(refused == 1);
}

}  // namespace
}  // namespace opalroute::lab
