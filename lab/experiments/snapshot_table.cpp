// Measures the transfer of a snapshot (20,000 destinations by default) in real time: its duration and size,
// and the donor's CPU time and longest pause. The donor and the receiver are separate processes.
#include <spdlog/spdlog.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <limits>
#include <string>
#include <vector>

#include "lab/experiments/experiments.h"
#include "net/address.h"
#include "opalroute/request_router.h"
#include "state_transfer/datagram_exchange.h"
#include "state_transfer/snapshot_client.h"
#include "state_transfer/snapshot_file.h"
#include "state_transfer/snapshot_server.h"

namespace {

using namespace opalroute;

Settings RouterSettings() {
  Settings s;
  s.classes.resize(1);
  s.classes[0].latency_objective = 1;
  s.classes[0].deadline = 8;
  s.classes[0].priority_weight = 1;
  s.kinds = {{false, 1}};
  s.relay_count = 2;
  s.concurrency_limit = 10;
  s.request_capacity = 100;
  s.max_attempts = 3;
  s.tick = 0.005;
  s.max_poll_interval = 10;
  s.overload_window = 2;
  s.overload_factor = 2;
  s.slow_start_initial_share = 0.22;
  s.slow_start_duration = 13;
  return s;
}

// A request router with state for every destination: each has a Retry-After and a recent failure.
class FilledRouter {
 public:
  FilledRouter(int destinations, Seconds now) : router_(RouterSettings()) {
    std::vector<Action> actions;
    ListUpdate list;
    list.scope = ListScope::kComplete;
    for (int i = 1; i <= destinations; ++i)
      list.entries.push_back(
          {static_cast<EndpointId>(i), ZoneId{0}, KindId{0}, i, EndpointStatus::kInService, 5});
    router_.Handle(now, list, actions);
    TransferredState state;
    for (int i = 1; i <= destinations; ++i) {
      RouteState route;
      route.destination = i;
      route.retry_after = 20;
      route.failure_age = 1;
      state.routes.push_back(route);
    }
    router_.Handle(now, state, actions);
  }
  std::vector<state_transfer::NamedRouteState> Export(Seconds now, std::optional<DestinationId>& from,
                                                      int max_count) const {
    std::vector<state_transfer::NamedRouteState> routes;
    for (const RouteState& route : router_.ExportRouteStates(now, from, max_count))
      routes.push_back({{}, route});
    return routes;
  }

 private:
  RequestRouter router_;
};

// Runs a donor process that measures the turns of its event loop: its longest one is how long requests would
// have been delayed.
void RunDonor(int destinations, int address_fd, int report_fd) {
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  const FilledRouter router(destinations, loop.Now());
  const Limits limits;
  state_transfer::SnapshotServer donor(
      loop, *net::ParseAddress("127.0.0.1:0"), "donor",
      [&](std::optional<DestinationId>& from, int max_count) {
        return router.Export(loop.Now(), from, max_count);
      },
      limits);
  const sockaddr_in address = donor.address();
  if (write(address_fd, &address, sizeof(address)) != sizeof(address)) _exit(1);
  constexpr Seconds kDuration = 2;
  const Seconds end = loop.Now() + kDuration;
  rusage before{};
  getrusage(RUSAGE_SELF, &before);
  Seconds longest = 0, turn_start = loop.Now();
  while (loop.Now() < end) {
    loop.RunOnce(0.001);
    // An idle turn may wait for 1 ms; time beyond that was spent on the snapshot.
    longest = std::max(longest, loop.Now() - turn_start);
    turn_start = loop.Now();
  }
  rusage after{};
  getrusage(RUSAGE_SELF, &after);
  const auto seconds = [](const timeval& t) { return static_cast<double>(t.tv_sec) + t.tv_usec * 1e-6; };
  const double report[] = {donor.longest_pause(), longest,
                           seconds(after.ru_utime) - seconds(before.ru_utime) + seconds(after.ru_stime) -
                               seconds(before.ru_stime)};
  _exit(write(report_fd, report, sizeof(report)) == sizeof(report) ? 0 : 1);
}

class Collector : public state_transfer::SnapshotClient::Owner {
 public:
  explicit Collector(net::EventLoop& loop) : loop_(loop) {}
  void OnRouteState(int, const state_transfer::NamedRouteState&, Seconds) override { ++routes; }
  void OnSnapshotsEnded(const std::vector<state_transfer::SnapshotClient::Report>& reports) override {
    report = reports[0];
    loop_.Stop();
  }
  int routes = 0;
  state_transfer::SnapshotClient::Report report;

 private:
  net::EventLoop& loop_;
};

// Prints how many routes fit into a datagram and into the state folder's file.
void PrintSmallTransfers() {
  std::vector<state_transfer::NamedRouteState> routes;
  for (int i = 0; i < 5000; ++i) {
    state_transfer::NamedRouteState route;
    route.endpoint = "s-5be2a0" + std::to_string(i % 100);
    route.state.destination = i;
    route.state.retry_after = 2.5;
    route.state.failure_age = 1.25;
    route.state.success_age = 9.5;
    routes.push_back(route);
  }
  state_transfer::Datagram datagram;
  datagram.routes = routes;
  const std::size_t named_count = state_transfer::EncodeDatagram(datagram).route_count;
  for (state_transfer::NamedRouteState& route : datagram.routes) route.endpoint.clear();
  const std::size_t unnamed_count = state_transfer::EncodeDatagram(datagram).route_count;
  const std::string folder =
      (std::filesystem::temp_directory_path() / ("opalroute-lab-" + std::to_string(getpid()))).string();
  std::filesystem::create_directories(folder);
  const state_transfer::SnapshotFile file(folder, Limits().snapshot_file_bytes);
  file.Save("n1", 0, routes);
  const std::size_t saved_count = file.Load().routes.size();
  std::filesystem::remove_all(folder);
  std::printf(
      "\nlanes in a datagram of %zu bytes, each with a wait, an outage and the latest served call: %zu, or "
      "%zu "
      "where routes are apart and each is named; in the state folder's file, of half of %zu bytes: %zu named "
      "ones\n",
      state_transfer::kMaxDatagramBytes, unnamed_count, named_count, Limits().snapshot_file_bytes,
      saved_count);
}

}  // namespace

int opalroute::lab::RunSnapshotExperiment(int destinations, int runs) {
  spdlog::set_level(spdlog::level::off);
  std::vector<std::vector<double>> figures(5);
  for (int run = 0; run < runs; ++run) {
    int address_pipe[2], report_pipe[2];
    if (pipe(address_pipe) != 0 || pipe(report_pipe) != 0) return 1;
    const pid_t child = fork();
    if (child == 0) RunDonor(destinations, address_pipe[1], report_pipe[1]);
    sockaddr_in address{};
    if (read(address_pipe[0], &address, sizeof(address)) != sizeof(address)) return 1;
    const net::SystemClock clock;
    net::EventLoop loop(clock);
    Limits limits;
    Collector collector(loop);
    state_transfer::SnapshotClient client(loop, {address}, "learner", 5, limits, collector);
    loop.Run();
    double report[3];
    if (read(report_pipe[0], report, sizeof(report)) != sizeof(report)) return 1;
    int status = 0;
    waitpid(child, &status, 0);
    for (const int fd : {address_pipe[0], address_pipe[1], report_pipe[0], report_pipe[1]}) close(fd);
    if (collector.report.result != state_transfer::SnapshotResult::kComplete ||
        collector.routes != destinations) {
      std::printf("a run ended %s with %d routes\n", NameOf(collector.report.result), collector.routes);
      return 1;
    }
    figures[0].push_back(collector.report.duration * 1000);
    figures[1].push_back(static_cast<double>(collector.report.bytes) / destinations);
    figures[2].push_back(report[0] * 1000);
    figures[3].push_back(report[1] * 1000);
    figures[4].push_back(report[2] * 1e6 / destinations);
  }
  const char* names[] = {"ms to learn all (aim: under 200)", "bytes a destination",
                         "ms: longest slice of the donor (aim: under 1)",
                         "ms: its longest turn, of which up to 1 is waiting, and what else the machine did",
                         "µs of the donor's CPU a destination"};
  std::printf("one snapshot of %d destinations, each with a wait and an outage; %d runs, two processes\n\n",
              destinations, runs);
  std::printf("| figure | median | least | most |\n|---|---|---|---|\n");
  for (std::size_t i = 0; i < figures.size(); ++i) {
    std::sort(figures[i].begin(), figures[i].end());
    std::printf("| %s | %.3f | %.3f | %.3f |\n", names[i], figures[i][figures[i].size() / 2],
                figures[i].front(), figures[i].back());
  }
  PrintSmallTransfers();
  return 0;
}
