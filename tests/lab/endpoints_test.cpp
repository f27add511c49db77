// Tests of the emulated endpoints on loopback sockets.
#include "lab/sockets/endpoints.h"

#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <string>

#include "lab/capacity/minimal_http.h"
#include "lab/sockets/process.h"
#include "net/address.h"
#include "net/http.h"
#include "tests/support/accepts_connections.h"

namespace opalroute::lab {
namespace {

using nlohmann::json;

// Endpoints without relays; the tests connect to them directly.
struct Fixture {
  explicit Fixture(const json& file)
      : scenario(ReadScenario(file)),
        world(scenario, 1),
        auditor(Auditor::Rules{}, scenario.settings.classes),
        tally(world, 1),
        tracker(world, auditor, tally),
        loop(clock),
        descriptors_before(ReadProcessSample(getpid()).value().descriptors),
        endpoints(loop, world, auditor, tracker, tally, 1) {}
  // Runs the loop until the condition holds, for at most 5 s. Returns whether it holds.
  bool Until(const std::function<bool()>& condition) {
    for (const double ends = loop.Now() + 5; loop.Now() < ends && !condition();) loop.RunOnce(0.01);
    return condition();
  }
  const Scenario scenario;
  World world;
  Auditor auditor;
  Tally tally;
  MessageTracker tracker;
  const net::SystemClock clock;
  net::EventLoop loop;
  const long descriptors_before;
  Endpoints endpoints;
};

TEST_CASE("lab: 20,000 endpoints take one descriptor") {
  Fixture f({{"relays", 1}, {"partners", {{"count", 20000}, {"endpoints", {1, 1}}}}});
  CHECK(ReadProcessSample(getpid()).value().descriptors == f.descriptors_before + 1);
  CHECK(f.endpoints.AddressOf(20000, 0).rfind("127.32.78.32:", 0) == 0);
  const int first = raw::Connect(*net::ParseAddress(f.endpoints.AddressOf(1, 0)));
  const int last = raw::Connect(*net::ParseAddress(f.endpoints.AddressOf(20000, 0)));
  f.loop.RunOnce(1);
  CHECK(f.endpoints.connections() == 2);
  close(first);
  close(last);
}

TEST_CASE("lab: an endpoint refuses connections only while its outage lasts") {
  Fixture f({{"relays", 1},
             {"partners", {{"count", 1}, {"endpoints", {1, 1}}}},
             {"troubles", {{{"kind", "refuse"}, {"partner", 0}, {"from_s", 0.05}, {"lasts_s", 0.1}}}}});
  const std::string address = f.endpoints.AddressOf(1, 0);
  CHECK(AcceptsConnections(address));
  f.endpoints.Begin(f.loop.Now());
  CHECK(f.Until([&] { return !AcceptsConnections(address); }));
  CHECK(f.Until([&] { return AcceptsConnections(address); }));
}

TEST_CASE("lab: an endpoint accepts connections up to its limit, and another one once one has ended") {
  Fixture f({{"relays", 1}, {"partners", {{"count", 1}, {"endpoints", {1, 1}}, {"connections", {2, 2}}}}});
  const std::string address = f.endpoints.AddressOf(1, 0);
  const int first = raw::Connect(*net::ParseAddress(address));
  const int second = raw::Connect(*net::ParseAddress(address));
  CHECK(f.Until([&] { return f.endpoints.connections() == 2; }));
  // The first request on a further connection gets a 503, and the connection is closed (protocol, '503').
  const auto response_to = [&](int fd) {
    const std::string request = net::FormatRequest("GET", "/health/live", {{"Host", "lab"}}, "");
    CHECK(send(fd, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
    std::string response(4096, '\0');
    ssize_t size = -1;
    CHECK(f.Until(
        [&] { return size > 0 || (size = recv(fd, response.data(), response.size(), MSG_DONTWAIT)) > 0; }));
    return response.substr(0, static_cast<std::size_t>(std::max<ssize_t>(0, size)));
  };
  const int third = raw::Connect(*net::ParseAddress(address));
  const std::string rejected = response_to(third);
  CHECK(rejected.rfind("HTTP/1.1 503", 0) == 0);
  CHECK(rejected.find("Connection: close") != std::string::npos);
  close(first);
  CHECK(f.Until([&] { return f.endpoints.connections() == 1; }));
  const int fourth = raw::Connect(*net::ParseAddress(address));
  CHECK(response_to(fourth).rfind("HTTP/1.1 200", 0) == 0);
  for (const int fd : {second, third, fourth}) close(fd);
}

TEST_CASE("lab: a vanished machine neither accepts nor refuses a new connection") {
  Fixture f({{"relays", 1},
             {"partners", {{"count", 1}, {"endpoints", {1, 1}}}},
             {"troubles", {{{"kind", "vanish"}, {"partner", 0}, {"from_s", 0}, {"lasts_s", 0.3}}}}});
  const sockaddr_in address = *net::ParseAddress(f.endpoints.AddressOf(1, 0));
  const net::Seconds began = f.loop.Now();
  f.endpoints.Begin(began);
  f.loop.RunOnce(0.01);
  f.loop.RunOnce(0.01);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  CHECK(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0);
  CHECK(errno == EINPROGRESS);
  pollfd events{fd, POLLOUT, 0};
  CHECK(poll(&events, 1, 100) == 0);  // neither established nor refused
  close(fd);
  CHECK(f.Until([&] { return f.loop.Now() > began + 0.4; }));  // connecting earlier would block
  CHECK(AcceptsConnections(f.endpoints.AddressOf(1, 0)));
}

}  // namespace
}  // namespace opalroute::lab
