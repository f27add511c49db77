// Transfer of snapshots over loopback connections and by the state folder.
#include <doctest/doctest.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "net/address.h"
#include "net/listener.h"
#include "state_transfer/snapshot_client.h"
#include "state_transfer/snapshot_file.h"
#include "state_transfer/snapshot_server.h"
#include "tests/state_transfer/route_states.h"
#include "tests/state_transfer/scripted_loop.h"

namespace opalroute::state_transfer {
namespace {

namespace fs = std::filesystem;

// Keeps all that a SnapshotClient passes to its owner.
class ReceivedSnapshots : public SnapshotClient::Owner {
 public:
  void OnRouteState(int, const NamedRouteState& route, Seconds at) override {
    routes.push_back(route);
    observed_at = at;
  }
  void OnSnapshotsEnded(const std::vector<SnapshotClient::Report>& all_reports) override {
    reports = all_reports;
    ended = true;
  }
  std::vector<NamedRouteState> routes;
  std::vector<SnapshotClient::Report> reports;
  Seconds observed_at = 0;  // of the last route
  bool ended = false;
};

ReceivedSnapshots Fetch(ScriptedLoop& scripted, const std::vector<sockaddr_in>& servers) {
  constexpr Seconds kTimeout = 0.3;
  ReceivedSnapshots received;
  SnapshotClient client(scripted.loop, servers, "me", kTimeout, scripted.limits, received);
  scripted.RunUntil([&] { return received.ended; });
  CHECK(received.ended);  // regardless of what the servers do
  return received;
}

// A server that sends its client `bytes`, then closes its side of the connection or hangs.
class ScriptedServer {
 public:
  ScriptedServer(ScriptedLoop& scripted, std::string bytes, bool closes)
      : listener_(scripted.loop, scripted.any_port, [this, bytes = std::move(bytes), closes](int fd) {
          CHECK(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
          if (closes) {
            shutdown(fd, SHUT_WR);
          }
          fd_ = fd;
        }) {}
  ~ScriptedServer() {
    if (fd_ >= 0) close(fd_);
  }
  sockaddr_in address() const { return listener_.address(); }

 private:
  int fd_ = -1;
  net::Listener listener_;
};

RouteStateSource SourceOf(const std::vector<NamedRouteState>& routes) {
  return [&routes](std::optional<DestinationId>& from, int max_destinations) {
    const auto begin = static_cast<std::size_t>(std::max<DestinationId>(0, *from));
    const std::size_t end = std::min(routes.size(), begin + static_cast<std::size_t>(max_destinations));
    from = end < routes.size() ? std::optional<DestinationId>(static_cast<DestinationId>(end)) : std::nullopt;
    return std::vector<NamedRouteState>(routes.begin() + static_cast<std::ptrdiff_t>(begin),
                                        routes.begin() + static_cast<std::ptrdiff_t>(end));
  };
}

TEST_CASE("state transfer: a snapshot of 20,000 destinations arrives complete") {
  spdlog::set_level(spdlog::level::off);
  ScriptedLoop scripted;
  const auto routes = SomeRoutes(20000);
  SnapshotServer server(scripted.loop, scripted.any_port, "server", SourceOf(routes), scripted.limits);
  ReceivedSnapshots received;
  SnapshotClient client(scripted.loop, {server.address()}, "me", 30, scripted.limits, received);
  scripted.RunUntil([&] { return received.ended; }, 200000);
  CHECK(NameOf(received.reports[0].result) == std::string("whole"));
  CHECK(received.reports[0].name == "server");
  REQUIRE(received.routes.size() == 20000);
  CHECK(received.routes[19999].state.destination == 19999);
}

TEST_CASE(
    "state transfer: whatever a server does, the fetch ends and the chunks that arrived complete are used") {
  spdlog::set_level(spdlog::level::off);
  ScriptedLoop scripted;
  const std::string header = EncodeFrame(SnapshotHeader{kVersion, "server", 5, 0});
  SnapshotChunk chunk;
  chunk.routes = SomeRoutes(10);
  const std::string ten = EncodeFrame(chunk);
  const auto check_fetch = [&](const std::string& bytes, bool closes, const char* result,
                               std::size_t routes) {
    ScriptedServer server(scripted, bytes, closes);
    const ReceivedSnapshots received = Fetch(scripted, {server.address()});
    CHECK(NameOf(received.reports[0].result) == std::string(result));
    CHECK(received.routes.size() == routes);
  };
  check_fetch(header + ten + EncodeFrame(SnapshotEnd{10}), true, "whole", 10);
  check_fetch(header + ten + ten.substr(0, ten.size() / 2), true, "cut", 10);  // the server ended
  check_fetch(header + ten + EncodeFrame(SnapshotEnd{11}), true, "cut", 10);   // a chunk is missing
  check_fetch("", false, "late", 0);                         // the server hangs, as after SIGSTOP
  check_fetch(header + ten.substr(0, 9), false, "late", 0);  // it hangs after a few bytes of a frame
  check_fetch("HTTP/1.1 400 Bad Request\r\n\r\n", true, "garbled", 0);
  check_fetch(ten, true, "garbled", 0);  // no header
  check_fetch(EncodeFrame(SnapshotHeader{kVersion + 1, "server", 5, 0}) + ten, true, "newer", 0);
  check_fetch(EncodeFrame(SnapshotHeader{0, "server", 5, 0}) + ten, true, "older", 0);
  check_fetch(EncodeFrame(SnapshotHeader{kVersion, "me", 5, 0}) + ten, true, "itself", 0);
  check_fetch(header + EncodeFrame(SnapshotHeader{kVersion, "server", 0, 0}) + EncodeFrame(SnapshotEnd{0}),
              true, "whole", 0);  // a snapshot without routes
  scripted.limits.snapshot_routes = 25;
  check_fetch(header + ten + ten + ten + ten, true, "too_much", 30);
  const int closed = net::OpenListener(scripted.any_port);
  const sockaddr_in closed_port = net::BoundAddress(closed);
  close(closed);
  CHECK(NameOf(Fetch(scripted, {closed_port}).reports[0].result) == std::string("refused"));
  ScriptedServer complete(scripted, header + ten + EncodeFrame(SnapshotEnd{10}), true);
  ScriptedServer hanging(scripted, "", false);
  const ReceivedSnapshots both = Fetch(scripted, {complete.address(), hanging.address()});
  CHECK(NameOf(both.reports[0].result) == std::string("whole"));
  CHECK(NameOf(both.reports[1].result) == std::string("late"));
  CHECK(both.routes.size() == 10);
}

// Guards against dating a chunk by its arrival or by the server's clock: the clocks of relays differ, and a
// server may be stalled between encoding a chunk and sending it.
TEST_CASE("state transfer: a chunk is dated by its creation, not by its arrival") {
  spdlog::set_level(spdlog::level::off);
  ScriptedLoop scripted;
  SnapshotChunk chunk;
  chunk.since_header = 0;
  chunk.routes = {RouteWithRetryAfter(1, 2)};
  const std::string header = EncodeFrame(SnapshotHeader{kVersion, "server", 5, 0});
  const std::string rest = EncodeFrame(chunk) + EncodeFrame(SnapshotEnd{1});
  int fd = -1;
  net::Listener server(scripted.loop, scripted.any_port, [&](int accepted) {
    fd = accepted;
    CHECK(send(fd, header.data(), header.size(), MSG_NOSIGNAL) > 0);
  });
  ReceivedSnapshots received;
  SnapshotClient client(scripted.loop, {server.address()}, "me", 10, scripted.limits, received);
  scripted.RunUntil([&] { return fd >= 0; });
  scripted.RunUntil([] { return false; }, 100);
  const Seconds after_header = scripted.clock.Now();
  scripted.clock.Advance(1.5);  // the chunk was made right after the header, and is in transit for that long
  CHECK(send(fd, rest.data(), rest.size(), MSG_NOSIGNAL) > 0);
  scripted.RunUntil([&] { return received.ended; });
  close(fd);
  REQUIRE(received.routes.size() == 1);
  CHECK(received.observed_at <= after_header);
  CHECK(received.observed_at >= after_header - 0.05);
}

TEST_CASE(
    "state transfer: the snapshot file keeps the routes and the time of writing within its maximum size, and "
    "a truncated file is detected") {
  const fs::path folder = fs::temp_directory_path() / ("opalroute-learn-" + std::to_string(getpid()));
  fs::create_directories(folder);
  const SnapshotFile file(folder.string(), 64 * 1024);
  CHECK(NameOf(file.Load().result) == std::string("none"));
  REQUIRE(file.Save("n1", 123456, SomeRoutes(100)));
  const auto saved = file.Load();
  CHECK(NameOf(saved.result) == std::string("whole"));
  CHECK(saved.written_at == 123456);
  CHECK(saved.routes.size() == 100);
  REQUIRE(file.Save("n1", 1, SomeRoutes(20000)));  // more than the file may hold
  CHECK(fs::file_size(file.path()) <= 32 * 1024 - 512);
  CHECK(NameOf(file.Load().result) == std::string("whole"));
  CHECK(file.Load().routes.size() > 300);
  const auto size = fs::file_size(file.path());
  for (std::uintmax_t cut = 0; cut < size; cut += 501) {
    fs::resize_file(file.path(), size - cut);
    CHECK((cut == 0) == (file.Load().result == SnapshotResult::kComplete));
  }
  fs::remove_all(folder);
}

}  // namespace
}  // namespace opalroute::state_transfer
