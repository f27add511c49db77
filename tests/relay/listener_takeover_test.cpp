// Guards against an upgrade that leaves no relay: the new process of a hot restart ended with "address in
// use", as the earlier one still listened for operators or for snapshots. Runs both processes' relays in the
// test process, on a clock that only the test moves.
#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "config/config.h"
#include "lab/capacity/minimal_http.h"
#include "lab/fake_platform.h"
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

// An address that is free now.
sockaddr_in FreeAddress() {
  const int fd = raw::Listen(*net::ParseAddress("127.0.0.1:0"));
  const sockaddr_in address = net::BoundAddress(fd);
  close(fd);
  return address;
}

class UpgradeFixture {
 public:
  UpgradeFixture()
      : folder_(fs::temp_directory_path() / ("opalroute-takeover-test-" + std::to_string(getpid()))),
        loop_(clock_),
        platform_(loop_) {
    fs::create_directories(folder_);
    settings.admin_listen = FreeAddress();
    settings.state_transfer.listen = FreeAddress();
    const nlohmann::json file = {{"name", "n0"},
                                 {"listen", "127.0.0.1:0"},
                                 {"ops", "127.0.0.1:0"},
                                 {"peer_listen", net::FormatAddress(FreeAddress())},
                                 {"discovery", net::FormatAddress(platform_.address())},
                                 {"state", folder_.string()},
                                 {"seed", "1"},
                                 {"limits", {{"sockets", 1024}, {"disk_mb", 3}}},
                                 {"settings", lab::SettingsJson(lab::ReadScenario({{"relays", 1}}), 0)}};
    config_ = config::Parse(file, [](const char*) { return std::nullopt; });
  }
  ~UpgradeFixture() {
    earlier.reset();
    later.reset();
    close(clients_);
    fs::remove_all(folder_);
  }

  std::unique_ptr<Relay> Start(bool hot_restart) {
    Config& config = configs_[used_configs_++];
    config = config_;
    config.inherited_fd = hot_restart ? dup(clients_) : -1;
    return std::make_unique<Relay>(loop_, config, settings);
  }
  void Run(double seconds) { lab::RunEventLoopUntil(loop_, clock_, clock_.Now() + seconds); }
  // What the relay's operations server answers.
  std::string Metrics(Relay& relay) {
    const int fd = raw::Connect(relay.operations_server()->address());
    raw::WriteAll(fd, "GET /v1/metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    Run(0.1);
    std::string text;
    raw::ReadAll(fd, text);
    close(fd);
    return text;
  }

  OperatorSettings settings;
  std::unique_ptr<Relay> earlier, later;

 private:
  const int clients_ = raw::Listen(*net::ParseAddress("127.0.0.1:0"));
  const fs::path folder_;
  lab::SimulatedClock clock_;
  net::EventLoop loop_;
  lab::FakePlatform platform_;
  Config config_;
  Config configs_[2];
  int used_configs_ = 0;
};

TEST_CASE("takeover: the new process of an upgrade starts, and takes over the earlier one's listeners") {
  UpgradeFixture fixture;
  fixture.earlier = fixture.Start(true);
  fixture.Run(0.1);
  fixture.later = fixture.Start(true);
  fixture.Run(0.2);
  CHECK(fixture.Metrics(*fixture.earlier).find("edge.waiting_listeners=0\n") != std::string::npos);
  CHECK(fixture.Metrics(*fixture.later).find("edge.waiting_listeners=3\n") != std::string::npos);
  CHECK(fixture.later->admin() == nullptr);
  SUBCASE("when that one stops") {
    fixture.earlier->Stop([] {});
  }
  SUBCASE("when that one has ended") { fixture.earlier.reset(); }
  fixture.Run(0.2);
  CHECK(fixture.Metrics(*fixture.later).find("edge.waiting_listeners=0\n") != std::string::npos);
  REQUIRE(fixture.later->admin() != nullptr);
  CHECK(net::KeyOf(fixture.later->admin()->address()) == net::KeyOf(*fixture.settings.admin_listen));
  const auto snapshots = fixture.later->state_transfer()->snapshot_address();
  REQUIRE(snapshots.has_value());
  CHECK(net::KeyOf(*snapshots) == net::KeyOf(*fixture.settings.state_transfer.listen));
}

TEST_CASE("takeover: a foreign process at the operators' address fails a start that is no upgrade") {
  UpgradeFixture fixture;
  const int foreign = raw::Listen(*fixture.settings.admin_listen);
  CHECK_THROWS_AS(fixture.Start(false), std::system_error);
  close(foreign);
}

}  // namespace
}  // namespace opalroute
