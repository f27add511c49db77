// The platform's stand-in.
#include "lab/sockets/registry.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <string>

#include "lab/capacity/raw.h"
#include "lab/scenario.h"
#include "lab/world.h"
#include "net/http.h"

namespace opalroute::lab {
namespace {

// Guards against a stand-in that takes notifications away with the list: the platform answers them even while
// its list is down.
TEST_CASE("lab: while the list is refused, notifications are answered") {
  struct Platform : Registry::Owner {
    void OnTold(int, EndpointId, EndpointStatus) override {}
    void OnNotice(const std::string&, bool, Seconds) override { ++notifications; }
    int notifications = 0;
  } platform;
  const Scenario scenario = ReadScenario(
      {{"partners", {{"count", 1}, {"endpoints", {1, 1}}}},
       {"list_faults", {{{"kind", "refuse"}, {"first", 0}, {"last", 0}, {"from_s", 0}, {"lasts_s", 100}}}}});
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  const World world(scenario, 1);
  Registry registry(
      loop, world, 1, [](EndpointId, int) { return "127.0.0.1:9"; }, platform);
  registry.Begin(loop.Now());
  const auto answer_to = [&](const std::string& request) {
    const int fd = raw::Connect(registry.address(0));
    std::string answer;
    bool open = raw::WriteAll(fd, request);
    for (int i = 0; open && answer.empty() && i < 100; ++i) {
      loop.RunOnce(0.01);
      open = raw::ReadAll(fd, answer);
    }
    close(fd);
    return answer;
  };
  const std::string line = R"({"message":"m1","outcome":"given_up"})";
  CHECK(answer_to(net::FormatRequest("GET", "/registry/instances", {{"Host", "lab"}}, "")).empty());
  CHECK(answer_to(net::FormatRequest("GET", "/registry/instances?follow=1", {{"Host", "lab"}}, "")).empty());
  CHECK(answer_to(net::FormatRequest("POST", "/v1/notices", {{"Host", "lab"}}, line + "\n"))
            .rfind("HTTP/1.1 204", 0) == 0);
  CHECK(platform.notifications == 1);
}

}  // namespace
}  // namespace opalroute::lab
