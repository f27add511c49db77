// Tests of the emulated platform.
#include "lab/sockets/platform_server.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <string>

#include "lab/capacity/minimal_http.h"
#include "lab/scenario.h"
#include "lab/world.h"
#include "net/http.h"

namespace opalroute::lab {
namespace {

// Guards against an emulated platform that stops accepting notifications along with the list: the real one
// answers them even while its list is unavailable.
TEST_CASE("lab: notifications are answered while requests for the list are refused") {
  struct NotificationCounter : PlatformServer::Owner {
    void OnChangeKnown(int, EndpointId, EndpointStatus) override {}
    void OnNotification(const std::string&, bool, Seconds) override { ++notifications; }
    int notifications = 0;
  } owner;
  const Scenario scenario = ReadScenario(
      {{"partners", {{"count", 1}, {"endpoints", {1, 1}}}},
       {"list_faults", {{{"kind", "refuse"}, {"first", 0}, {"last", 0}, {"from_s", 0}, {"lasts_s", 100}}}}});
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  const World world(scenario, 1);
  PlatformServer server(
      loop, world, 1, [](EndpointId, int) { return "127.0.0.1:9"; }, owner);
  server.Begin(loop.Now());
  const auto response_to = [&](const std::string& request) {
    const int fd = raw::Connect(server.address(0));
    std::string response;
    bool open = raw::WriteAll(fd, request);
    for (int i = 0; open && response.empty() && i < 100; ++i) {
      loop.RunOnce(0.01);
      open = raw::ReadAll(fd, response);
    }
    close(fd);
    return response;
  };
  const std::string line = R"({"message":"m1","outcome":"given_up"})";
  CHECK(response_to(net::FormatRequest("GET", "/registry/instances", {{"Host", "lab"}}, "")).empty());
  CHECK(
      response_to(net::FormatRequest("GET", "/registry/instances?follow=1", {{"Host", "lab"}}, "")).empty());
  CHECK(response_to(net::FormatRequest("POST", "/v1/notices", {{"Host", "lab"}}, line + "\n"))
            .rfind("HTTP/1.1 204", 0) == 0);
  CHECK(owner.notifications == 1);
}

}  // namespace
}  // namespace opalroute::lab
