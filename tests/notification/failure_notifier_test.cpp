// Tests FailureNotifier with a platform that refuses connections, or accepts them and never responds.
#include "notification/failure_notifier.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/address.h"
#include "net/http_server.h"
#include "relay/client_bounds.h"
#include "tests/support/manual_clock.h"
#include "tests/support/server_bounds.h"

namespace opalroute {
namespace {

constexpr int kNotifications = 200;
constexpr net::Seconds kStep = 0.01;
constexpr net::Seconds kOutage = 60;
constexpr int kBacklog = 16;
constexpr std::size_t kBodyBytes = 65536;

// Returns a socket that is bound but does not listen, so that connections to it are refused (ip(7)).
int BindWithoutListening() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in any = *net::ParseAddress("127.0.0.1:0");
  REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) == 0);
  return fd;
}

class Platform : public net::HttpServer::Handler {
 public:
  net::HttpResponse OnRequest(net::HttpMessage& request) override {
    bodies.push_back(request.body);
    return {204, {}, {}, 0};
  }
  void OnResponseLost(std::uint64_t) override {}
  std::vector<std::string> bodies;
};

struct NotifierFixture {
  net::ManualClock clock;
  net::EventLoop loop{clock};
  Limits limits;
  int fd = BindWithoutListening();
  sockaddr_in address = net::BoundAddress(fd);
  Platform platform;
  std::unique_ptr<net::HttpServer> server;
  net::HttpClient client{loop, PlatformClientBounds(limits, nullptr)};
  std::map<std::string, int> acknowledged;
  FailureNotifier notifier{loop, client, address, limits,
                           [this](const std::string& request) { ++acknowledged[request]; }};

  ~NotifierFixture() {
    if (!server) close(fd);
  }
  void AddAll() {
    for (int i = 0; i < kNotifications; ++i) {
      const std::string id = std::to_string(1000 + i);
      notifier.Add(id, "line " + id);
    }
  }
  void Listen() {
    REQUIRE(listen(fd, kBacklog) == 0);
    net::ServerBounds bounds = net::TestServerBounds(kBacklog, 2 * kOutage);
    bounds.http.body_bytes = bounds.http.head_bytes = kBodyBytes;
    server = std::make_unique<net::HttpServer>(loop, fd, bounds, platform);
  }
  void RunFor(net::Seconds duration) {
    constexpr int kTurnsPerStep = 4;
    for (const net::Seconds until = clock.now + duration; clock.now < until; clock.now += kStep) {
      for (int turn = 0; turn < kTurnsPerStep; ++turn) loop.RunOnce(0);
    }
  }
  std::string AllBodies() const {
    std::string all;
    for (const std::string& body : platform.bodies) all += body;
    return all;
  }
  void CheckAllArrivedInOrder() const {
    std::string expected;
    for (int i = 0; i < kNotifications; ++i) expected += "line " + std::to_string(1000 + i) + "\n";
    CHECK(AllBodies() == expected);
    CHECK(acknowledged.size() == kNotifications);
    for (const auto& [request, times] : acknowledged) CHECK(times == 1);
    CHECK(notifier.empty());
  }
};

// Guards against dropping notifications after a number of failures, and against retries that stop, or run
// without backoff, while the platform refuses connections.
TEST_CASE(
    "notifications: a platform that refuses connections is retried at a bounded rate until it recovers") {
  NotifierFixture n;
  n.AddAll();
  n.RunFor(kOutage);
  CHECK(n.acknowledged.empty());
  const auto attempts = static_cast<double>(n.client.opened());
  CHECK(attempts >= kOutage / (n.limits.notification_max_backoff + kStep));
  CHECK(attempts <= kOutage / n.limits.notification_max_backoff + 20);  // plus the quick retries at the start
  n.Listen();
  n.RunFor(n.limits.notification_max_backoff + 0.1);
  n.CheckAllArrivedInOrder();
}

// Guards against attempts that accumulate on connections that never get a response.
TEST_CASE("notifications: the number of open attempts is bounded while the platform does not respond") {
  NotifierFixture n;
  REQUIRE(listen(n.fd, kBacklog) == 0);  // the kernel accepts connections, but nothing reads from them
  n.AddAll();
  int most = 0;
  for (net::Seconds at = 0; at < kOutage; at += 0.1) {
    n.RunFor(0.1);
    most = std::max(most, n.client.connections());
  }
  CHECK(n.acknowledged.empty());
  CHECK(most >= 2);
  CHECK(most <= static_cast<int>(n.limits.concurrent_notification_attempts));
}

// On a kept connection, a response that the platform repeats would acknowledge the next notifications.
TEST_CASE("notifications: each request is sent on a connection of its own") {
  NotifierFixture n;
  n.Listen();
  n.notifier.Add("1", "line 1");
  n.RunFor(0.1);
  n.notifier.Add("2", "line 2");
  n.RunFor(0.1);
  CHECK(n.acknowledged.size() == 2);
  CHECK(n.client.opened() == 2);
}

}  // namespace
}  // namespace opalroute
