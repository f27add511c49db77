// State transfer between complete relays, in one process and between processes.
#include <doctest/doctest.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/experiments/state_transfer_experiment.h"
#include "lab/sockets/reserved_address.h"
#include "net/address.h"
#include "relay/relay.h"
#include "tests/state_transfer/scripted_loop.h"
#include "tests/support/child_process.h"

namespace opalroute::state_transfer {
namespace {

namespace fs = std::filesystem;

nlohmann::json BaseConfig(const fs::path& state, const std::string& name) {
  nlohmann::json config;
  std::ifstream(fs::path(EXCHANGES) / "base.json") >> config;
  fs::create_directories(state);
  config["name"] = name;
  config["state"] = state.string();
  config["discovery"] = "127.0.0.1:1";
  config["known"]["instances"].push_back({{"instanceId", "e1"},
                                          {"hostPort", "127.0.0.1:1"},
                                          {"zone", "ground"},
                                          {"machineType", "small"},
                                          {"cell", 7},
                                          {"lifecycle", "ready"},
                                          {"weight", 20.0}});
  return config;
}

TEST_CASE(
    "state transfer: relays that start at the same time and fetch from each other all become ready in time") {
  spdlog::set_level(spdlog::level::off);
  const fs::path folder = fs::temp_directory_path() / ("opalroute-tier-" + std::to_string(getpid()));
  ScriptedLoop scripted;
  const lab::ReservedAddress reserved[3];
  std::vector<std::unique_ptr<Config>> configs;
  std::vector<std::unique_ptr<Relay>> fleet;
  for (std::size_t i = 0; i < 3; ++i) {
    const std::string name = "n" + std::to_string(i);
    configs.push_back(std::make_unique<Config>(
        config::Parse(BaseConfig(folder / name, name), [](const char*) { return std::nullopt; })));
    OperatorSettings settings;
    settings.state_transfer.listen = reserved[i].address();
    for (const auto& server : reserved)  // including the relay itself
      settings.state_transfer.donors.push_back(server.address());
    fleet.push_back(std::make_unique<Relay>(scripted.loop, *configs.back(), settings));
  }
  const auto all_done = [&] {
    return std::all_of(fleet.begin(), fleet.end(),
                       [](const auto& relay) { return relay->state_transfer()->done(); });
  };
  CHECK(!all_done());
  const Seconds started_at = scripted.clock.Now();
  scripted.RunUntil(all_done);
  CHECK(all_done());
  CHECK(scripted.clock.Now() - started_at < 0.31);
  fleet.clear();
  fs::remove_all(folder);
}

TEST_CASE(
    "state transfer: a relay process starts while its server runs, while the server is stopped, and after it "
    "was itself killed during a fetch") {
  const fs::path folder = fs::temp_directory_path() / ("opalroute-processes-" + std::to_string(getpid()));
  const auto write = [&](const std::string& name) {
    const fs::path file = folder / (name + ".json");
    const auto config = BaseConfig(folder / name, name);
    std::ofstream(file) << config.dump();
    return file;
  };
  const fs::path server_config = write("server");
  const fs::path client_config = write("client");
  const lab::ReservedAddress reserved;
  const std::string address = net::FormatAddress(reserved.address());
  ChildProcess server(server_config, "127.0.0.1:1", {"run", "--learn-listen", address});
  REQUIRE(server.ReadLogUntil("listening"));
  const auto arguments = [&](const char* milliseconds) {
    return std::vector<std::string>{"run",           "--learn-from",    address,
                                    "--learn-state", "--learn-time-ms", milliseconds};
  };
  {
    ChildProcess client(client_config, "127.0.0.1:1", arguments("10000"));
    const std::string line = client.ReadLogLine("snapshot_received");
    CHECK_MESSAGE(line.find("name=server result=whole") != std::string::npos, line);
    CHECK(client.ReadLogUntil("state_merged carrier=tcp"));
  }
  server.Signal(SIGSTOP);
  {
    ChildProcess client(client_config, "127.0.0.1:1", arguments("50"));
    CHECK(client.ReadLogLine("snapshot_received").find("result=late") != std::string::npos);
    CHECK(client.ReadLogUntil("state_merged carrier=tcp routes=0"));
  }
  {
    ChildProcess killed(client_config, "127.0.0.1:1", arguments("10000"));
    REQUIRE(killed.ReadLogUntil("listening"));
  }  // SIGKILL
  server.Signal(SIGCONT);
  ChildProcess again(client_config, "127.0.0.1:1", arguments("10000"));
  CHECK(again.ReadLogLine("snapshot_received carrier=tcp").find("result=whole") != std::string::npos);
  again.Signal(SIGTERM);
  CHECK(again.ExitStatus() == 0);
  fs::remove_all(folder);
}

TEST_CASE(
    "state transfer: a relay that starts during an outage keeps to the Retry-After of the others, with each "
    "transfer method") {
  spdlog::set_level(spdlog::level::off);
  const std::string folder =
      (fs::temp_directory_path() / ("opalroute-experiment-" + std::to_string(getpid()))).string();
  using Transfer = lab::StateTransferRun::Transfer;
  const auto without = lab::RunStateTransfer({3, true, Transfer::kNone}, folder);
  CHECK(without.new_relay_calls_in_outage + without.new_relay_calls_during_retry_after >
        0);  // otherwise the runs below would prove nothing
  for (const Transfer transfer : {Transfer::kTcp, Transfer::kDatagrams, Transfer::kStateFolder}) {
    CAPTURE(static_cast<int>(transfer));
    const auto with = lab::RunStateTransfer({3, true, transfer}, folder);
    CHECK(with.collapses == 0);
    CHECK(with.new_relay_calls_during_retry_after == 0);
    CHECK(with.calls_during_own_retry_after == 0);
    CHECK(with.duplicate_payments == 0);
    CHECK(with.lost == 0);
  }
}

}  // namespace
}  // namespace opalroute::state_transfer
