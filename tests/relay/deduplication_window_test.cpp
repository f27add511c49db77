// A repeat of a keyed message whose connection comes up after the key's window: it may not leave any more
// (rule 2). The whole relay in this process, on a clock that only the test moves.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>

#include "config/config.h"
#include "lab/capacity/raw.h"
#include "lab/clock.h"
#include "lab/scenario.h"
#include "lab/sockets/relay_config.h"
#include "net/address.h"
#include "net/listener.h"
#include "relay/relay.h"

namespace opalroute {
namespace {

namespace fs = std::filesystem;
namespace raw = lab::raw;

constexpr double kWindow = 1;  // s that a key is remembered

lab::Scenario Site() {
  nlohmann::json orders = {{"name", "notice-order"},  {"effect", "deduplicated"},
                           {"key_window_s", kWindow}, {"aim_s", 2},
                           {"deadline_s", 20},        {"share", 1}};
  return lab::ReadScenario(
      {{"relays", 1}, {"classes", {orders}}, {"settings", {{"may_probe", false}, {"may_copy", false}}}});
}

struct Stage {
  Stage()
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
                                 {"settings", lab::SettingsJson(Site(), 0)}};
    config = config::Parse(file, [](const char*) { return std::nullopt; });
    relay = std::make_unique<Relay>(loop, config);
  }
  ~Stage() {
    relay.reset();
    fs::remove_all(folder);
    close(endpoint);
    close(platform);
  }
  // Plays in steps of a millisecond until a call's connection has come; then, and not before, the relay's
  // loop is left alone: it has not heard yet that its connection is up. -1: none came in that many seconds.
  int NextCall(double seconds) {
    const lab::LoopbackBarrier sent;
    for (const double until = clock.Now() + seconds; clock.Now() < until; clock.Advance(0.001)) {
      loop.RunOnce(0);
      sent.Pass();
      const int fd = accept4(endpoint, nullptr, nullptr, SOCK_NONBLOCK);
      if (fd >= 0) return fd;
    }
    return -1;
  }
  std::string Read(int fd) {
    std::string text;
    lab::PlayUntil(loop, clock, clock.Now() + 0.01);
    raw::ReadAll(fd, text);
    return text;
  }

  const int endpoint = raw::Listen(*net::ParseAddress("127.0.0.1:0"));
  const int platform = raw::Listen(*net::ParseAddress("127.0.0.1:0"));
  const fs::path folder;
  lab::Clock clock;
  net::EventLoop loop;
  Config config;
  std::unique_ptr<Relay> relay;
};

TEST_CASE("deduplication: a keyed repeat whose connection comes up after its window sends no byte") {
  for (const double late : {0.0, 1.0}) {
    CAPTURE(late);
    Stage s;
    const int client = raw::Connect(s.relay->address());
    raw::WriteAll(
        client,
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: 11\r\nX-Lane: notice-order\r\nX-Org: lab\r\n"
        "X-Remaining-Ms: 20000\r\nIdempotency-Key: k\r\nX-Addressing: dest=7\r\nContent-Length: 0\r\n\r\n");
    const int first = s.NextCall(1);
    REQUIRE(first >= 0);
    const double sent = s.clock.Now();
    CHECK(s.Read(first).find("X-Txn: 11") != std::string::npos);
    close(first);  // it may have run
    const int second = s.NextCall(0.9);
    REQUIRE(second >= 0);
    REQUIRE(s.clock.Now() < sent + kWindow);
    s.clock.Advance(late);  // the handshake took this long
    CHECK((s.Read(second).find("X-Txn: 11") != std::string::npos) == (late < 0.5));
    close(second);
    close(client);
  }
}

}  // namespace
}  // namespace opalroute
