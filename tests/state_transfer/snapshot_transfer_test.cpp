// Snapshots over loopback connections and in the state folder.
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

class Collected : public SnapshotClient::Owner {
 public:
  void OnRouteState(int, const NamedRouteState& route, Seconds observed) override {
    routes.push_back(route);
    observed_at = observed;
  }
  void OnSnapshotsEnded(const std::vector<SnapshotClient::Report>& all) override {
    reports = all;
    ended = true;
  }
  std::vector<NamedRouteState> routes;
  std::vector<SnapshotClient::Report> reports;
  Seconds observed_at = 0;
  bool ended = false;
};

Collected Fetch(ScriptedLoop& net, const std::vector<sockaddr_in>& servers) {
  constexpr Seconds kTimeout = 0.3;
  Collected got;
  SnapshotClient client(net.loop, servers, "me", kTimeout, net.limits, got);
  net.Until([&] { return got.ended; });
  CHECK(got.ended);  // whatever the servers do
  return got;
}

// A server that sends its client these bytes, and then ends or hangs.
class ScriptedServer {
 public:
  ScriptedServer(ScriptedLoop& net, std::string bytes, bool ends)
      : listener_(net.loop, net.any, [this, bytes = std::move(bytes), ends](int fd) {
          CHECK(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
          if (ends) {
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
  return [&routes](std::optional<DestinationId>& from, int most) {
    const auto begin = static_cast<std::size_t>(std::max<DestinationId>(0, *from));
    const std::size_t end = std::min(routes.size(), begin + static_cast<std::size_t>(most));
    from = end < routes.size() ? std::optional<DestinationId>(static_cast<DestinationId>(end)) : std::nullopt;
    return std::vector<NamedRouteState>(routes.begin() + static_cast<std::ptrdiff_t>(begin),
                                        routes.begin() + static_cast<std::ptrdiff_t>(end));
  };
}

TEST_CASE("state transfer: 20,000 destinations arrive complete from a server, in slices") {
  spdlog::set_level(spdlog::level::off);
  ScriptedLoop net;
  const auto routes = SomeRoutes(20000);
  SnapshotServer server(net.loop, net.any, "server", SourceOf(routes), net.limits);
  Collected got;
  SnapshotClient client(net.loop, {server.address()}, "me", 30, net.limits, got);
  net.Until([&] { return got.ended; }, 200000);
  CHECK(NameOf(got.reports[0].result) == std::string("whole"));
  CHECK(got.reports[0].name == "server");
  REQUIRE(got.routes.size() == 20000);
  CHECK(got.routes[19999].state.destination == 19999);
}

TEST_CASE("state transfer: whatever a server does, the start goes on with what arrived complete") {
  spdlog::set_level(spdlog::level::off);
  ScriptedLoop net;
  const std::string header = EncodeFrame(SnapshotHeader{kVersion, "server", 5, 0});
  SnapshotChunk chunk;
  chunk.routes = SomeRoutes(10);
  const std::string some = EncodeFrame(chunk);
  const auto play = [&](const std::string& bytes, bool ends, const char* end, std::size_t routes) {
    ScriptedServer script(net, bytes, ends);
    const Collected got = Fetch(net, {script.address()});
    CHECK(NameOf(got.reports[0].result) == std::string(end));
    CHECK(got.routes.size() == routes);
  };
  play(header + some + EncodeFrame(SnapshotEnd{10}), true, "whole", 10);
  play(header + some + some.substr(0, some.size() / 2), true, "cut", 10);  // it died
  play(header + some + EncodeFrame(SnapshotEnd{11}), true, "cut", 10);     // a chunk is missing
  play("", false, "late", 0);                                              // it hangs: SIGSTOP
  play(header + some.substr(0, 9), false, "late", 0);                      // it sends a few bytes
  play("HTTP/1.1 400 Bad Request\r\n\r\n", true, "garbled", 0);
  play(some, true, "garbled", 0);  // no header
  play(EncodeFrame(SnapshotHeader{kVersion + 1, "server", 5, 0}) + some, true, "newer", 0);
  play(EncodeFrame(SnapshotHeader{0, "server", 5, 0}) + some, true, "older", 0);
  play(EncodeFrame(SnapshotHeader{kVersion, "me", 5, 0}) + some, true, "itself", 0);
  play(header + EncodeFrame(SnapshotHeader{kVersion, "server", 0, 0}) + EncodeFrame(SnapshotEnd{0}), true,
       "whole", 0);  // it has no routes
  net.limits.snapshot_routes = 25;
  play(header + some + some + some + some, true, "too_much", 30);
  const int closed = net::OpenListener(net.any);
  const sockaddr_in nobody = net::BoundAddress(closed);
  close(closed);
  CHECK(NameOf(Fetch(net, {nobody}).reports[0].result) == std::string("refused"));
  ScriptedServer one(net, header + some + EncodeFrame(SnapshotEnd{10}), true);
  ScriptedServer other(net, "", false);
  const Collected both = Fetch(net, {one.address(), other.address()});
  CHECK(NameOf(both.reports[0].result) == std::string("whole"));
  CHECK(NameOf(both.reports[1].result) == std::string("late"));
  CHECK(both.routes.size() == 10);
}

// Guards against clocks that differ, and against a server that stood still between encoding a chunk and
// sending it.
TEST_CASE("state transfer: a chunk's age is its own, whenever it arrives") {
  spdlog::set_level(spdlog::level::off);
  ScriptedLoop net;
  SnapshotChunk chunk;
  chunk.since_header = 0;
  chunk.routes = {RetryAfter(1, 2)};
  const std::string header = EncodeFrame(SnapshotHeader{kVersion, "server", 5, 0});
  const std::string rest = EncodeFrame(chunk) + EncodeFrame(SnapshotEnd{1});
  int fd = -1;
  net::Listener server(net.loop, net.any, [&](int accepted) {
    fd = accepted;
    CHECK(send(fd, header.data(), header.size(), MSG_NOSIGNAL) > 0);
  });
  Collected got;
  SnapshotClient client(net.loop, {server.address()}, "me", 10, net.limits, got);
  net.Until([&] { return fd >= 0; });
  net.Until([] { return false; }, 100);
  const Seconds began = net.clock.Now();
  net.clock.Advance(1.5);  // the chunk was made at once, and is on its way for that long
  CHECK(send(fd, rest.data(), rest.size(), MSG_NOSIGNAL) > 0);
  net.Until([&] { return got.ended; });
  close(fd);
  REQUIRE(got.routes.size() == 1);
  CHECK(got.observed_at <= began);
  CHECK(got.observed_at >= began - 0.05);
}

TEST_CASE("state transfer: the state folder keeps what is urgent, and when it was written") {
  const fs::path folder = fs::temp_directory_path() / ("opalroute-learn-" + std::to_string(getpid()));
  fs::create_directories(folder);
  const SnapshotFile file(folder.string(), 64 * 1024);
  CHECK(NameOf(file.Load().result) == std::string("none"));
  REQUIRE(file.Save("n1", 123456, SomeRoutes(100)));
  const auto saved = file.Load();
  CHECK(NameOf(saved.result) == std::string("whole"));
  CHECK(saved.written_at == 123456);
  CHECK(saved.routes.size() == 100);
  REQUIRE(file.Save("n1", 1, SomeRoutes(20000)));  // more than there is space for
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
