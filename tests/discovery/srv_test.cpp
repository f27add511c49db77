// SRV as a source of the pool: against a stand-in name server on a scripted clock, and in a whole relay.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>

#include "cli/operator_options.h"
#include "discovery/merged_endpoint_source.h"
#include "lab/clock.h"
#include "lab/dns/name_server.h"
#include "lab/load.h"
#include "lab/partner.h"
#include "lab/platform.h"
#include "lab/scenario.h"
#include "lab/sockets/process.h"
#include "lab/sockets/relay_config.h"
#include "relay/relay.h"

namespace opalroute {
namespace {

namespace fs = std::filesystem;

using dns::Question;
using dns::Record;
using dns::Type;
using lab::NameServer;
using State = EndpointRecord::Status;

constexpr long long kDestination = 7;
const std::string kName = "_api._tcp.p7.example";

dns::Name N(const std::string& text) { return *dns::Name::Parse(text); }
Question Srv(const std::string& name = kName) { return {N(name), Type::kSrv}; }
Question Host(const std::string& name) { return {N(name), Type::kA}; }

NameServer::Entry Services(const std::vector<std::pair<std::string, std::uint16_t>>& targets,
                           std::uint32_t lifetime) {
  NameServer::Entry entry;
  for (const auto& [target, port] : targets)
    entry.answers.push_back(
        {N(kName), Type::kSrv, dns::kInternet, lifetime, dns::Srv{1, 1, port, N(target)}});
  return entry;
}
NameServer::Entry At(const std::string& host, const char* address, std::uint32_t lifetime) {
  in_addr ip{};
  inet_pton(AF_INET, address, &ip);
  NameServer::Entry entry;
  entry.answers = {{N(host), Type::kA, dns::kInternet, lifetime, ip}};
  return entry;
}
EndpointRecord Member(const std::string& id, const std::string& address) {
  return {id, "z0", "plain", *net::ParseAddress(address), kDestination, State::kInService, 10};
}

struct Stage : EndpointSource::Listener {
  Stage() : loop(clock), server(loop) {
    config.zones = {"z0"};
    config.kinds = {"plain"};
    config.settings.kinds = {{false, 1}};
    settings.dns.servers = {server.address()};
    settings.srv_names = {{kName, kDestination}};
    server.Set(Host("a.example"), At("a.example", "127.0.0.1", 5));
    server.Set(Host("b.example"), At("b.example", "127.0.0.2", 5));
  }
  void Start() {
    pool = std::make_unique<MergedEndpointSource>(loop, config, settings, *this);
    Take(pool->ApplyCached({true, true, {Member("a", "127.0.0.1:80"), Member("b", "127.0.0.2:80")}}));
  }
  void Take(const EndpointListUpdate& news) {
    if (news.complete) told.clear();
    for (const EndpointRecord& m : news.endpoints) {
      told[m.id] = m;
      if (m.status == State::kRemoved) told.erase(m.id);
    }
  }
  void OnEndpointList(const EndpointListUpdate& news) override { Take(news); }
  void OnWatchFailed() override {}
  void Play(double seconds) { lab::PlayUntil(loop, clock, clock.Now() + seconds); }
  bool Serves(const std::string& id) const {
    const auto it = told.find(id);
    return it != told.end() && it->second.status == State::kInService;
  }
  lab::Clock clock;
  net::EventLoop loop;
  NameServer server;
  Config config;
  Operator settings;
  std::unique_ptr<MergedEndpointSource> pool;
  std::map<std::string, EndpointRecord> told;
};

TEST_CASE("srv: what an answer no longer names is drained within its lifetime, and comes back in time") {
  Stage s;
  s.server.Set(Srv(), Services({{"a.example", 80}, {"b.example", 80}}, 5));
  s.Start();
  s.Play(0.2);
  CHECK(s.pool->unanswered() == 0);
  CHECK(s.Serves("a"));
  CHECK(s.Serves("b"));
  s.server.Set(Srv(), Services({{"a.example", 80}}, 5));
  s.Play(5.1);
  CHECK(s.Serves("a"));
  CHECK(!s.Serves("b"));
  s.server.Set(Srv(), Services({{"a.example", 80}, {"b.example", 80}}, 5));
  s.Play(5.1);
  CHECK(!s.Serves("b"));  // named, but not for long enough
  s.Play(40);             // what SRV took out lately counts no more
  CHECK(s.Serves("b"));
  s.server.Set(Srv(), Services({{".", 0}}, 5));
  for (int i = 0; i < 100 && s.Serves("a") && s.Serves("b"); ++i) s.Play(0.1);
  CHECK(s.Serves("a") != s.Serves("b"));  // one word alone does not empty it
  s.Play(5);
  CHECK(!s.Serves("a"));
  CHECK(!s.Serves("b"));
}

TEST_CASE("srv: strangers are passed over, and the partner's own is added where the operators say so") {
  Stage s;
  s.server.Set(Host("c.example"), At("c.example", "127.0.0.3", 5));
  s.server.Set(Srv(),
               Services({{"a.example", 80}, {"b.example", 80}, {"c.example", 80}, {"c.example", 81}}, 5));
  s.settings.srv_own = {{kDestination, *net::ParseAddress("127.0.0.3:81")}};
  s.Start();
  s.Play(1);
  std::set<std::string> addresses;
  for (const auto& [id, m] : s.told) addresses.insert(net::FormatAddress(m.address));
  CHECK(addresses == std::set<std::string>{"127.0.0.1:80", "127.0.0.2:80", "127.0.0.3:81"});
  CHECK(s.pool->Print()["targets_passed_over"] >= 1);
}

TEST_CASE("srv: a target without an address is no endpoint; one whose address fails takes nothing out") {
  Stage s;
  s.server.Set(Srv(), Services({{"a.example", 80}, {"b.example", 80}}, 5));
  s.Start();
  s.Play(1);
  NameServer::Entry failing;
  failing.rcode = dns::Rcode::kServFail;
  s.server.Set(Host("b.example"), failing);
  s.Play(30);
  CHECK(s.Serves("a"));
  CHECK(s.Serves("b"));
  NameServer::Entry none;  // the name is there, and has no address
  s.server.Set(Host("b.example"), none);
  s.Play(15);
  CHECK(s.Serves("a"));
  CHECK(!s.Serves("b"));
}

TEST_CASE(
    "srv: an address of its own lifetime is asked for again alone, and a machine that moved is followed") {
  Stage s;
  s.server.Set(Srv(), Services({{"a.example", 80}, {"b.example", 80}}, 3600));
  s.settings.srv_own = {{kDestination, *net::ParseAddress("127.0.0.9:80")}};
  s.Start();
  s.Play(1);
  CHECK(s.told.size() == 2);
  const long before = s.server.datagrams();
  s.server.Set(Host("b.example"), At("b.example", "127.0.0.9", 5));
  s.Play(5.1);
  CHECK(s.Serves("srv/b.example/127.0.0.9:80"));
  CHECK(!s.Serves("b"));
  CHECK(s.server.datagrams() - before <= 6);  // not the SRV record with them
}

TEST_CASE("srv: servers silent for ten minutes, failing or flapping each second leave somebody in service") {
  Stage s;
  s.server.Set(Srv(), Services({{"a.example", 80}}, 1));
  s.Start();
  s.Play(10);
  CHECK(!s.Serves("b"));
  s.server.SetSilent(true);
  const long before = s.server.datagrams();
  s.Play(600);
  CHECK(s.Serves("a"));
  CHECK(!s.Serves("b"));                                   // what was said last still holds
  CHECK(s.server.datagrams() - before < 600 / 5 * 2 * 5);  // a few tries every few seconds, for two names
  s.server.SetSilent(false);
  int serving_a = 0, changes = 0;
  bool last = s.Serves("b");
  for (int i = 0; i < 60; ++i) {
    s.server.Set(Srv(), i % 2 == 0 ? Services({{"a.example", 80}, {"b.example", 80}}, 1)
                                   : Services({{"a.example", 80}}, 1));
    s.Play(1);
    serving_a += s.Serves("a");
    changes += std::exchange(last, s.Serves("b")) != s.Serves("b");
  }
  CHECK(serving_a == 60);
  CHECK(changes <= 1);
}

TEST_CASE("srv: no such name, no such record and a name without one leave the set as it was") {
  Stage s;
  s.server.Set(Srv(), Services({{"a.example", 80}, {"b.example", 80}}, 5));
  s.Start();
  s.Play(1);
  s.server.Remove(Srv());
  s.Play(30);
  CHECK(s.Serves("a"));
  CHECK(s.Serves("b"));
  CHECK(s.pool->Print()["silent"]["7"] == "no such name");
  s.server.Set(Srv(), {});
  s.Play(70);
  CHECK(s.Serves("a"));
  CHECK(s.Serves("b"));
  s.server.Set(Srv(), Services({{"a.example", 80}, {"b.example", 80}}, 5));
  s.Play(70);
  CHECK(s.pool->Print()["silent"].empty());
}

TEST_CASE("srv: after the longest age the list stands alone") {
  Stage s;
  s.settings.dns.stale = 60;
  s.server.Set(Srv(), Services({{"a.example", 80}}, 5));
  s.Start();
  s.Play(1);
  CHECK(!s.Serves("b"));
  s.server.SetSilent(true);
  s.Play(50);
  CHECK(!s.Serves("b"));
  s.Play(40);
  CHECK(s.Serves("a"));
  CHECK(s.Serves("b"));
}

TEST_CASE("srv: 5,000 names are asked for again in a spread") {
  Stage s;
  s.settings.srv_names.clear();
  for (int i = 0; i < 5000; ++i) {
    const std::string name = "_api._tcp.p" + std::to_string(i) + ".example";
    s.settings.srv_names.emplace_back(name, i);
    auto entry = Services({{"a.example", 80}}, 60);
    entry.answers[0].name = N(name);
    s.server.Set(Srv(name), entry);
  }
  s.server.Set(Host("a.example"), At("a.example", "127.0.0.1", 3600));
  s.Start();
  for (int i = 0; i < 500 && s.pool->unanswered() > 0; ++i) s.Play(0.02);
  REQUIRE(s.pool->unanswered() == 0);
  std::map<int, int> by_second;
  const long before = s.server.datagrams();
  const double from = s.clock.Now();
  for (int i = 0; i < 60; ++i) {
    const long at = s.server.datagrams();
    s.Play(1);
    by_second[i] = static_cast<int>(s.server.datagrams() - at);
  }
  int most = 0;
  for (const auto& [second, count] : by_second) most = std::max(most, count);
  MESSAGE("5,000 names with 60 s: at most "
          << most << " queries in a second, "
          << static_cast<double>(s.server.datagrams() - before) / (s.clock.Now() - from) << " in the mean");
  CHECK(s.server.datagrams() - before >= 4900);
  CHECK(most < 200);  // two and a half times the mean, and not 5,000 at once
}

TEST_CASE("srv: settings are checked, and nothing is asked for unless they say so") {
  const auto read = [](std::vector<std::string> flags) {
    CLI::App app;
    const config::OperatorOptions options(app, [](const char*) { return std::nullopt; });
    std::reverse(flags.begin(), flags.end());
    app.parse(flags);
    std::pair<Operator, std::vector<std::string>> result;
    result.first = options.Finish(result.second);
    return result;
  };
  CHECK(read({}).first.srv_names.empty());
  const auto good = read(
      {"--dns-server", "127.0.0.1:53", "--srv", kName + "=7,_b._tcp.x=8", "--srv-own", "7=127.0.0.1:80"});
  CHECK(good.second.empty());
  CHECK(good.first.srv_names.size() == 2);
  CHECK(good.first.srv_own[0].first == 7);
  CHECK(read({"--srv", kName + "=7"}).second ==
        std::vector<std::string>{"'dns.server' must name a server where 'srv' names what to ask for"});
  for (const char* wrong : {"x", "x=", "=7", "x=7x", "a..b=7", "x=7,y=7", ".=7"})
    CHECK(read({"--dns-server", "127.0.0.1:53", "--srv", wrong}).second.size() == 1);
  for (const char* wrong : {"7", "7=127.0.0.1", "x=127.0.0.1:80", "7=127.0.0.1:0"})
    CHECK(read({"--srv-own", wrong}).second.size() == 1);
}

nlohmann::json ListOf(const std::vector<std::pair<std::string, std::string>>& members) {
  nlohmann::json list = {{"generation", 1}, {"reset", true}, {"instances", nlohmann::json::array()}};
  for (const auto& [id, address] : members)
    list["instances"].push_back({{"instanceId", id},
                                 {"hostPort", address},
                                 {"zone", "z0"},
                                 {"machineType", "plain"},
                                 {"cell", kDestination},
                                 {"lifecycle", "ready"}});
  return list;
}
nlohmann::json FileOf(const std::string& folder, const sockaddr_in& discovery, const nlohmann::json& list) {
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

TEST_CASE("srv: a relay sends nothing more to what SRV has drained, and nothing ever to a stranger") {
  const Folder folder;
  lab::Clock clock;
  net::EventLoop loop(clock);
  NameServer server(loop);
  lab::Platform platform(loop);
  lab::PartnerSettings partner;
  lab::Partner a(loop, partner, 1, 1), b(loop, partner, 1, 1), stranger(loop, partner, 1, 1);
  const auto port = [](const lab::Partner& p) { return ntohs(p.Address(0, 0).sin_port); };
  server.Set(Host("host.example"), At("host.example", "127.0.0.1", 60));
  server.Set(
      Srv(),
      Services({{"host.example", port(a)}, {"host.example", port(b)}, {"host.example", port(stranger)}}, 2));
  const auto list =
      ListOf({{"a", net::FormatAddress(a.Address(0, 0))}, {"b", net::FormatAddress(b.Address(0, 0))}});
  platform.SetList(list);
  const auto file = FileOf(folder / "state", platform.address(), list);
  fs::create_directories(folder / "state");
  const Config config = config::Parse(file, [](const char*) { return std::nullopt; });
  Operator settings;
  settings.dns.servers = {server.address()};
  settings.srv_names = {{kName, kDestination}};
  Relay relay(loop, config, settings);
  lab::LoadSettings rate;
  rate.from = clock.Now();
  rate.to = clock.Now() + 20;
  rate.destinations = {kDestination};
  lab::Load load(loop, rate);
  load.SetRelay(relay.address());
  lab::PlayUntil(loop, clock, clock.Now() + 5);
  CHECK(a.model().calls().size() > 10);
  CHECK(b.model().calls().size() > 10);
  server.Set(Srv(), Services({{"host.example", port(a)}, {"host.example", port(stranger)}}, 2));
  const double changed = clock.Now();
  lab::PlayUntil(loop, clock, changed + 15);
  CHECK(b.model().calls().back().at < changed + 2);  // the lifetime; from then on the relay had heard
  CHECK(a.model().calls().back().at > changed + 10);
  CHECK(stranger.model().calls().empty());
  lab::PlayUntil(loop, clock, clock.Now() + 10);
  for (const auto& [id, message] : load.messages()) CHECK(message.status == 202);
  CHECK(a.delivered().size() + b.delivered().size() == load.messages().size());
}

TEST_CASE("srv: the pool is printed with its reasons, by asking once and from a running relay") {
  const Folder folder;
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  NameServer server(loop);
  server.Set(Host("a.example"), At("a.example", "127.0.0.1", 60));
  server.Set(Srv(), Services({{"a.example", 80}}, 60));
  lab::Platform platform(loop);
  const auto list = ListOf({{"a", "127.0.0.1:80"}, {"b", "127.0.0.2:80"}});
  platform.SetList(list);
  fs::create_directories(folder / "state");
  const auto file = FileOf(folder / "state", platform.address(), list);
  std::ofstream(folder / "config.json") << file.dump();
  const auto print = [&](std::vector<std::string> words) {
    words.insert(words.begin(), "pool");
    words.emplace_back("--json");
    fs::remove(folder / "out");
    lab::Process program(RELAY_PROGRAM, words, {{"EDGE_CONFIG", folder / "config.json"}}, folder / "out");
    for (const double ends = loop.Now() + 20; !program.Ended() && loop.Now() < ends;) loop.RunOnce(0.01);
    REQUIRE(program.Ended());
    CHECK(*program.Ended() == "exit status 0");
    return nlohmann::json::parse(program.LastLog());
  };
  const std::string dns = net::FormatAddress(server.address());
  const auto once = print({"--dns-server", dns, "--srv", kName + "=7"});
  REQUIRE(once["members"].size() == 2);
  CHECK(once["members"][0]["why"] == "list");
  CHECK(once["members"][1]["endpoint"] == "b");
  CHECK(once["members"][1]["why"] == "srv names others");
  CHECK(once["members"][1]["in_service"] == false);
  const Config config = config::Parse(file, [](const char*) { return std::nullopt; });
  Operator settings;
  settings.admin_listen = *net::ParseAddress("127.0.0.1:0");
  settings.dns.servers = {server.address()};
  settings.srv_names = {{kName, kDestination}};
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
