// Endpoints on loopback sockets, with nobody who calls them but the test.
#include "lab/sockets/endpoints.h"

#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <string>

#include "lab/capacity/raw.h"
#include "lab/sockets/process.h"
#include "net/address.h"
#include "net/http.h"
#include "tests/support/somebody_listens.h"

namespace opalroute::lab {
namespace {

using nlohmann::json;

// Endpoints with nobody who calls them but the test.
struct Stage {
  explicit Stage(const json& file)
      : scenario(ReadScenario(file)),
        world(scenario, 1),
        auditor(Auditor::Rules{}, scenario.settings.classes),
        tally(world, 1),
        ledger(world, auditor, tally),
        loop(clock),
        descriptors_before(SampleOf(getpid()).value().descriptors),
        endpoints(loop, world, auditor, ledger, tally, 1) {}
  // Plays on until it holds, or for 5 s. Returns whether it does.
  bool Until(const std::function<bool()>& holds) {
    for (const double ends = loop.Now() + 5; loop.Now() < ends && !holds();) loop.RunOnce(0.01);
    return holds();
  }
  const Scenario scenario;
  World world;
  Auditor auditor;
  Tally tally;
  Ledger ledger;
  const net::SystemClock clock;
  net::EventLoop loop;
  const long descriptors_before;
  Endpoints endpoints;
};

TEST_CASE("lab: 20,000 endpoints cost one descriptor") {
  Stage s({{"relays", 1}, {"partners", {{"count", 20000}, {"endpoints", {1, 1}}}}});
  CHECK(SampleOf(getpid()).value().descriptors == s.descriptors_before + 1);
  CHECK(s.endpoints.AddressOf(20000, 0).rfind("127.32.78.32:", 0) == 0);
  const int first = raw::Connect(*net::ParseAddress(s.endpoints.AddressOf(1, 0)));
  const int last = raw::Connect(*net::ParseAddress(s.endpoints.AddressOf(20000, 0)));
  s.loop.RunOnce(1);
  CHECK(s.endpoints.connections() == 2);
  close(first);
  close(last);
}

TEST_CASE("lab: an endpoint that refuses connections refuses them for as long as it should") {
  Stage s({{"relays", 1},
           {"partners", {{"count", 1}, {"endpoints", {1, 1}}}},
           {"troubles", {{{"kind", "refuse"}, {"partner", 0}, {"from_s", 0.05}, {"lasts_s", 0.1}}}}});
  const std::string address = s.endpoints.AddressOf(1, 0);
  CHECK(AcceptsConnections(address));
  s.endpoints.Begin(s.loop.Now());
  CHECK(s.Until([&] { return !AcceptsConnections(address); }));
  CHECK(s.Until([&] { return AcceptsConnections(address); }));
}

TEST_CASE("lab: an endpoint takes as many connections as it should, and one more once one has ended") {
  Stage s({{"relays", 1}, {"partners", {{"count", 1}, {"endpoints", {1, 1}}, {"connections", {2, 2}}}}});
  const std::string address = s.endpoints.AddressOf(1, 0);
  const int first = raw::Connect(*net::ParseAddress(address));
  const int second = raw::Connect(*net::ParseAddress(address));
  CHECK(s.Until([&] { return s.endpoints.connections() == 2; }));
  // The first request on a further connection is turned away, and the connection ends (protocol, '503').
  const auto answer_to = [&](int fd) {
    const std::string request = net::FormatRequest("GET", "/health/live", {{"Host", "lab"}}, "");
    CHECK(send(fd, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
    std::string answer(4096, '\0');
    ssize_t size = -1;
    CHECK(s.Until(
        [&] { return size > 0 || (size = recv(fd, answer.data(), answer.size(), MSG_DONTWAIT)) > 0; }));
    return answer.substr(0, static_cast<std::size_t>(std::max<ssize_t>(0, size)));
  };
  const int third = raw::Connect(*net::ParseAddress(address));
  const std::string turned_away = answer_to(third);
  CHECK(turned_away.rfind("HTTP/1.1 503", 0) == 0);
  CHECK(turned_away.find("Connection: close") != std::string::npos);
  close(first);
  CHECK(s.Until([&] { return s.endpoints.connections() == 1; }));
  const int fourth = raw::Connect(*net::ParseAddress(address));
  CHECK(answer_to(fourth).rfind("HTTP/1.1 200", 0) == 0);
  for (const int fd : {second, third, fourth}) close(fd);
}

TEST_CASE("lab: a machine that has vanished leaves a new connection without any answer") {
  Stage s({{"relays", 1},
           {"partners", {{"count", 1}, {"endpoints", {1, 1}}}},
           {"troubles", {{{"kind", "vanish"}, {"partner", 0}, {"from_s", 0}, {"lasts_s", 0.3}}}}});
  const sockaddr_in address = *net::ParseAddress(s.endpoints.AddressOf(1, 0));
  const net::Seconds began = s.loop.Now();
  s.endpoints.Begin(began);
  s.loop.RunOnce(0.01);
  s.loop.RunOnce(0.01);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  CHECK(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0);
  CHECK(errno == EINPROGRESS);
  pollfd waits{fd, POLLOUT, 0};
  CHECK(poll(&waits, 1, 100) == 0);  // neither up nor refused
  close(fd);
  CHECK(s.Until([&] { return s.loop.Now() > began + 0.4; }));  // to connect before would block
  CHECK(AcceptsConnections(s.endpoints.AddressOf(1, 0)));
}

}  // namespace
}  // namespace opalroute::lab
