// Guards against resending a request with an idempotency key after its deduplication window, when the
// connection for the repeat is established too late. Runs the whole relay in the test process, on a clock
// that only the test moves.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>

#include "config/config.h"
#include "lab/capacity/minimal_http.h"
#include "lab/scenario.h"
#include "lab/simulated_clock.h"
#include "lab/sockets/relay_config.h"
#include "net/address.h"
#include "net/listener.h"
#include "relay/relay.h"

namespace opalroute {
namespace {

namespace fs = std::filesystem;
namespace raw = lab::raw;

constexpr double kWindowSeconds = 1;  // the deduplication window

lab::Scenario DeduplicatedScenario() {
  nlohmann::json request_class = {{"name", "notice-order"},
                                  {"effect", "deduplicated"},
                                  {"key_window_s", kWindowSeconds},
                                  {"aim_s", 2},
                                  {"deadline_s", 20},
                                  {"share", 1}};
  return lab::ReadScenario({{"relays", 1},
                            {"classes", {request_class}},
                            {"settings", {{"may_probe", false}, {"may_copy", false}}}});
}

struct RelayFixture {
  RelayFixture()
      : folder(fs::temp_directory_path() / ("opalroute-window-test-" + std::to_string(getpid()))),
        loop(clock) {
    fs::create_directories(folder);
    nlohmann::json list = {{"generation", 1}, {"reset", true}, {"instances", nlohmann::json::array()}};
    list["instances"].push_back({{"instanceId", "e"},
                                 {"hostPort", net::FormatAddress(net::BoundAddress(endpoint))},
                                 {"zone", "z0"},
                                 {"machineType", "plain"},
                                 {"cell", 7},
                                 {"lifecycle", "ready"}});
    const nlohmann::json file = {{"name", "n0"},
                                 {"listen", "127.0.0.1:0"},
                                 {"discovery", net::FormatAddress(net::BoundAddress(platform))},
                                 {"state", folder.string()},
                                 {"seed", "1"},
                                 {"limits", {{"sockets", 1024}, {"disk_mb", 3}}},
                                 {"known", list},
                                 {"settings", lab::SettingsJson(DeduplicatedScenario(), 0)}};
    config = config::Parse(file, [](const char*) { return std::nullopt; });
    relay = std::make_unique<Relay>(loop, config);
  }
  ~RelayFixture() {
    relay.reset();
    fs::remove_all(folder);
    close(endpoint);
    close(platform);
  }
  // Runs the relay in steps of a millisecond until the endpoint can accept a connection, and stops before the
  // relay has learned that its connection is established. Returns -1 if none arrives within `seconds`.
  int AcceptCall(double seconds) {
    const lab::LoopbackBarrier sent;
    for (const double until = clock.Now() + seconds; clock.Now() < until; clock.Advance(0.001)) {
      loop.RunOnce(0);
      sent.Wait();
      const int fd = accept4(endpoint, nullptr, nullptr, SOCK_NONBLOCK);
      if (fd >= 0) return fd;
    }
    return -1;
  }
  std::string Read(int fd) {
    std::string text;
    lab::RunEventLoopUntil(loop, clock, clock.Now() + 0.01);
    raw::ReadAll(fd, text);
    return text;
  }

  const int endpoint = raw::Listen(*net::ParseAddress("127.0.0.1:0"));
  const int platform = raw::Listen(*net::ParseAddress("127.0.0.1:0"));
  const fs::path folder;
  lab::SimulatedClock clock;
  net::EventLoop loop;
  Config config;
  std::unique_ptr<Relay> relay;
};

TEST_CASE("deduplication: a repeat whose connection is established after the window is not sent") {
  for (const double handshake_delay : {0.0, 1.0}) {
    CAPTURE(handshake_delay);
    RelayFixture fixture;
    const int client = raw::Connect(fixture.relay->address());
    raw::WriteAll(
        client,
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: 11\r\nX-Lane: notice-order\r\nX-Org: lab\r\n"
        "X-Remaining-Ms: 20000\r\nIdempotency-Key: k\r\nX-Addressing: dest=7\r\nContent-Length: 0\r\n\r\n");
    const int first = fixture.AcceptCall(1);
    REQUIRE(first >= 0);
    const double sent_at = fixture.clock.Now();
    CHECK(fixture.Read(first).find("X-Txn: 11") != std::string::npos);
    close(first);  // no response: the request may have been executed
    const int second = fixture.AcceptCall(0.9);
    REQUIRE(second >= 0);
    REQUIRE(fixture.clock.Now() < sent_at + kWindowSeconds);
    fixture.clock.Advance(handshake_delay);
    CHECK((fixture.Read(second).find("X-Txn: 11") != std::string::npos) == (handshake_delay < 0.5));
    close(second);
    close(client);
  }
}

}  // namespace
}  // namespace opalroute
