// SRV as an endpoint source of a complete relay: the settings, the calls to endpoints, and `opalroute pool`.
#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "cli/operator_options.h"
#include "lab/dns/fake_name_server.h"
#include "lab/fake_partner.h"
#include "lab/fake_platform.h"
#include "lab/scenario.h"
#include "lab/simulated_clock.h"
#include "lab/single_relay_load.h"
#include "lab/sockets/process.h"
#include "lab/sockets/relay_config.h"
#include "relay/relay.h"
#include "tests/discovery/srv_records.h"

namespace opalroute {
namespace {

namespace fs = std::filesystem;

using lab::FakeNameServer;

TEST_CASE("srv: settings are validated, and no name is queried by default") {
  const auto read = [](std::vector<std::string> flags) {
    CLI::App app;
    const config::OperatorOptions options(app, [](const char*) { return std::nullopt; });
    std::reverse(flags.begin(), flags.end());
    app.parse(flags);
    std::pair<OperatorSettings, std::vector<std::string>> result;
    result.first = options.Finish(result.second);
    return result;
  };
  CHECK(read({}).first.srv_names.empty());
  const auto valid = read(
      {"--dns-server", "127.0.0.1:53", "--srv", kSrvName + "=7,_b._tcp.x=8", "--srv-own", "7=127.0.0.1:80"});
  CHECK(valid.second.empty());
  CHECK(valid.first.srv_names.size() == 2);
  CHECK(valid.first.own_addresses[0].first == 7);
  CHECK(read({"--srv", kSrvName + "=7"}).second ==
        std::vector<std::string>{"'dns.server' must name a server, as 'srv' names SRV records to query"});
  for (const char* invalid : {"x", "x=", "=7", "x=7x", "a..b=7", "x=7,y=7", ".=7"})
    CHECK(read({"--dns-server", "127.0.0.1:53", "--srv", invalid}).second.size() == 1);
  for (const char* invalid : {"7", "7=127.0.0.1", "x=127.0.0.1:80", "7=127.0.0.1:0"})
    CHECK(read({"--srv-own", invalid}).second.size() == 1);
}

nlohmann::json InstanceJson(const std::string& id, const std::string& address, long long destination) {
  return {{"instanceId", id},       {"hostPort", address}, {"zone", "z0"},
          {"machineType", "plain"}, {"cell", destination}, {"lifecycle", "ready"}};
}
nlohmann::json EndpointListJson(const std::vector<std::pair<std::string, std::string>>& addresses_by_id) {
  nlohmann::json list = {{"generation", 1}, {"reset", true}, {"instances", nlohmann::json::array()}};
  for (const auto& [id, address] : addresses_by_id)
    list["instances"].push_back(InstanceJson(id, address, kSrvDestination));
  return list;
}
nlohmann::json ConfigJson(const std::string& folder, const sockaddr_in& discovery,
                          const nlohmann::json& list) {
  return {{"name", "n0"},
          {"listen", "127.0.0.1:0"},
          {"discovery", net::FormatAddress(discovery)},
          {"state", folder},
          {"seed", "1"},
          {"limits", {{"sockets", 1024}, {"disk_mb", 3}}},
          {"known", list},
          {"settings", lab::SettingsJson(lab::ReadScenario({{"relays", 1}}), 0)}};
}

class Folder {
 public:
  Folder() : path_(fs::temp_directory_path() / ("opalroute-srv-test-" + std::to_string(getpid()))) {
    fs::create_directories(path_);
  }
  ~Folder() { fs::remove_all(path_); }
  std::string operator/(const std::string& name) const { return (path_ / name).string(); }

 private:
  const fs::path path_;
};

TEST_CASE("srv: a relay sends no more calls to a drained endpoint, and none to an unlisted target") {
  const Folder folder;
  lab::SimulatedClock clock;
  net::EventLoop loop(clock);
  FakeNameServer server(loop);
  lab::FakePlatform platform(loop);
  lab::PartnerSettings partner;
  lab::FakePartner a(loop, partner, 1, 1), b(loop, partner, 1, 1), unlisted(loop, partner, 1, 1);
  const auto port = [](const lab::FakePartner& target) { return ntohs(target.Address(0, 0).sin_port); };
  server.Set(AddressQuestion("host.example"), AddressAnswer("host.example", "127.0.0.1", 60));
  server.Set(
      SrvQuestion(),
      SrvAnswer({{"host.example", port(a)}, {"host.example", port(b)}, {"host.example", port(unlisted)}}, 2));
  const auto list = EndpointListJson(
      {{"a", net::FormatAddress(a.Address(0, 0))}, {"b", net::FormatAddress(b.Address(0, 0))}});
  platform.SetEndpointList(list);
  const auto file = ConfigJson(folder / "state", platform.address(), list);
  fs::create_directories(folder / "state");
  const Config config = config::Parse(file, [](const char*) { return std::nullopt; });
  OperatorSettings settings;
  settings.dns.servers = {server.address()};
  settings.srv_names = {{kSrvName, kSrvDestination}};
  Relay relay(loop, config, settings);
  lab::LoadSettings rate;
  rate.from = clock.Now();
  rate.to = clock.Now() + 20;
  rate.destinations = {kSrvDestination};
  lab::SingleRelayLoad load(loop, rate);
  load.SetRelay(relay.address());
  lab::RunEventLoopUntil(loop, clock, clock.Now() + 5);
  CHECK(a.model().calls().size() > 10);
  CHECK(b.model().calls().size() > 10);
  server.Set(SrvQuestion(), SrvAnswer({{"host.example", port(a)}, {"host.example", port(unlisted)}}, 2));
  const double changed = clock.Now();
  lab::RunEventLoopUntil(loop, clock, changed + 15);
  CHECK(b.model().calls().back().at < changed + 2);  // the answer's TTL: by then the relay has the new answer
  CHECK(a.model().calls().back().at > changed + 10);
  CHECK(unlisted.model().calls().empty());
  lab::RunEventLoopUntil(loop, clock, clock.Now() + 10);
  for (const auto& [id, message] : load.messages()) CHECK(message.status == 202);
  CHECK(a.delivered().size() + b.delivered().size() == load.messages().size());
}

// Guards against messages that are sent to an endpoint of another destination: SRV named an address for
// destination 7 that the list had given to an endpoint of destination 8, and the relay took it from there.
TEST_CASE(
    "srv: an address that the list has given to another destination gets none of the former one's calls") {
  constexpr long long kOtherDestination = 8;
  const Folder folder;
  lab::SimulatedClock clock;
  net::EventLoop loop(clock);
  FakeNameServer server(loop);
  lab::FakePlatform platform(loop);
  lab::FakePartner listed(loop, {}, 1, 1), reassigned(loop, {}, 1, 1);
  const std::string listed_address = net::FormatAddress(listed.Address(0, 0));
  const sockaddr_in own_address = reassigned.Address(0, 0);
  const std::vector<SrvEndpoint> both = {{"host.example", ntohs(listed.Address(0, 0).sin_port)},
                                         {"host.example", ntohs(own_address.sin_port)}};
  server.Set(AddressQuestion("host.example"), AddressAnswer("host.example", "127.0.0.1", 60));
  server.Set(SrvQuestion(), SrvAnswer(both, 2));
  auto list = EndpointListJson({{"listed", listed_address}});
  list["instances"].push_back(InstanceJson("reassigned", net::FormatAddress(own_address), kOtherDestination));
  platform.SetEndpointList(list);
  fs::create_directories(folder / "state");
  const Config config = config::Parse(ConfigJson(folder / "state", platform.address(), list),
                                      [](const char*) { return std::nullopt; });
  OperatorSettings settings;
  settings.dns.servers = {server.address()};
  settings.srv_names = {{kSrvName, kSrvDestination}};
  settings.own_addresses = {{kSrvDestination, own_address}};
  Relay relay(loop, config, settings);
  lab::LoadSettings rate;
  rate.from = clock.Now();
  rate.to = clock.Now() + 10;
  rate.destinations = {kSrvDestination};
  lab::LoadSettings other_rate = rate;
  other_rate.destinations = {kOtherDestination};
  other_rate.prefix = "other-";
  lab::SingleRelayLoad load(loop, rate), other_load(loop, other_rate);
  load.SetRelay(relay.address());
  other_load.SetRelay(relay.address());
  lab::RunEventLoopUntil(loop, clock, clock.Now() + 20);
  CHECK(listed.delivered().size() == load.messages().size());
  CHECK(reassigned.delivered().size() == other_load.messages().size());
  for (const auto& [id, at] : reassigned.delivered()) CHECK(id.rfind("other-", 0) == 0);
}

TEST_CASE("srv: `opalroute pool` prints the merged endpoints, by its own queries or from a running relay") {
  const Folder folder;
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  FakeNameServer server(loop);
  server.Set(AddressQuestion("a.example"), AddressAnswer("a.example", "127.0.0.1", 60));
  server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}}, 60));
  lab::FakePlatform platform(loop);
  const auto list = EndpointListJson({{"a", "127.0.0.1:80"}, {"b", "127.0.0.2:80"}});
  platform.SetEndpointList(list);
  fs::create_directories(folder / "state");
  const auto file = ConfigJson(folder / "state", platform.address(), list);
  std::ofstream(folder / "config.json") << file.dump();
  const auto print = [&](std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "pool");
    arguments.emplace_back("--json");
    fs::remove(folder / "out");
    lab::Process program(RELAY_PROGRAM, arguments, {{"EDGE_CONFIG", folder / "config.json"}}, folder / "out");
    for (const double ends = loop.Now() + 20; !program.PollExit() && loop.Now() < ends;) loop.RunOnce(0.01);
    REQUIRE(program.PollExit());
    CHECK(*program.PollExit() == "exit status 0");
    return nlohmann::json::parse(program.LogTail());
  };
  const std::string dns = net::FormatAddress(server.address());
  const auto queried = print({"--dns-server", dns, "--srv", kSrvName + "=7"});
  REQUIRE(queried["members"].size() == 2);
  CHECK(queried["members"][0]["why"] == "list");
  CHECK(queried["members"][1]["endpoint"] == "b");
  CHECK(queried["members"][1]["why"] == "srv names others");
  CHECK(queried["members"][1]["in_service"] == false);
  const Config config = config::Parse(file, [](const char*) { return std::nullopt; });
  OperatorSettings settings;
  settings.admin_listen = *net::ParseAddress("127.0.0.1:0");
  settings.dns.servers = {server.address()};
  settings.srv_names = {{kSrvName, kSrvDestination}};
  for (const bool srv : {true, false}) {
    if (!srv) settings.srv_names.clear();
    Relay relay(loop, config, settings);
    for (int i = 0; i < 50; ++i) loop.RunOnce(0.01);
    const auto running = print({net::FormatAddress(relay.admin()->address())});
    CHECK(running["members"].size() == 2);
    CHECK(running["members"][1]["why"] == (srv ? "srv names others" : "list"));
  }
}

}  // namespace
}  // namespace opalroute
