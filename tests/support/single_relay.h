// Runs one relay process with a fake discovery service and two fake endpoints, for tests that define
// RELAY_PROGRAM and EXCHANGES.
#pragma once

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <string>

#include "lab/sockets/relay_process.h"
#include "tests/support/fake_discovery.h"

namespace opalroute::lab {

// A crash of the relay fails the test.
class SingleRelay : private RelayProcess::Owner {
 public:
  // `adjust` changes the configuration, that of tests/exchanges/base.json. Returns once the relay is ready
  // and has the endpoint list.
  explicit SingleRelay(std::function<void(nlohmann::json&)> adjust)
      : adjust_(std::move(adjust)),
        folder_(std::filesystem::temp_directory_path() / ("opalroute-single-" + std::to_string(getpid()))),
        first_(loop_),
        second_(loop_),
        discovery_(loop_, first_.address(), second_.address(), [] { return FakeDiscovery::Reply::kServe; }),
        process_(loop_, 0, Options(), *this) {
    std::filesystem::create_directories(folder_);
    process_.Start();
    AwaitReady();
  }
  ~SingleRelay() { std::filesystem::remove_all(folder_); }
  SingleRelay(const SingleRelay&) = delete;
  SingleRelay& operator=(const SingleRelay&) = delete;

  net::EventLoop& loop() { return loop_; }
  RelayProcess& process() { return process_; }
  FakeDiscovery& discovery() { return discovery_; }

  void RunUntil(net::Seconds time, const std::function<bool()>& done) {
    const net::Seconds until = loop_.Now() + time;
    while (loop_.Now() < until && !done()) {
      process_.Poll();
      loop_.RunOnce(0.005);
    }
    REQUIRE_MESSAGE(crash_.empty(), crash_);
  }
  void RunFor(net::Seconds time) {
    RunUntil(time, [] { return false; });
  }
  // Kills the process with SIGKILL, starts it again with its state folder, and waits until it is ready.
  void KillAndRestart() {
    constexpr net::Seconds kDowntime = 0.2;
    const int starts = process_.starts();
    process_.Kill(kDowntime);
    RunUntil(kReadyTimeout, [&] { return process_.starts() > starts; });
    AwaitReady();
  }
  double StateFolderBytes() const {
    double bytes = 0;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(folder_ / "state"))
      if (entry.is_regular_file()) bytes += static_cast<double>(entry.file_size());
    return bytes;
  }

 private:
  static constexpr net::Seconds kReadyTimeout = 20, kListTimeout = 0.5;

  RelayProcess::Options Options() const {
    RelayProcess::Options options;
    options.program = RELAY_PROGRAM;
    options.folder = folder_.string();
    options.config = [this](const std::string& listen) {
      nlohmann::json config;
      std::ifstream(std::filesystem::path(EXCHANGES) / "base.json") >> config;
      config["listen"] = listen;
      config["discovery"] = net::FormatAddress(discovery_.address());
      adjust_(config);
      return config;
    };
    return options;
  }
  void AwaitReady() {
    RunUntil(kReadyTimeout, [this] { return process_.ready(); });
    REQUIRE(process_.ready());
    RunFor(kListTimeout);
  }
  void OnReady(int) override {}
  void OnCrash(int, const std::string& how) override {
    crash_ = "the relay process ended: " + how + "\n" + process_.LogTail();
  }

  const std::function<void(nlohmann::json&)> adjust_;
  const net::SystemClock clock_;
  net::EventLoop loop_{clock_};
  const std::filesystem::path folder_;
  FakeEndpoint first_, second_;
  FakeDiscovery discovery_;
  std::string crash_;
  RelayProcess process_;
};

}  // namespace opalroute::lab
