// SRV as an endpoint source, tested with a simulated name server and clock.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "discovery/merged_endpoint_source.h"
#include "lab/dns/fake_name_server.h"
#include "lab/simulated_clock.h"
#include "net/address.h"
#include "tests/discovery/srv_records.h"

namespace opalroute {
namespace {

using lab::FakeNameServer;
using Status = EndpointRecord::Status;

EndpointRecord MakeRecord(const std::string& id, const std::string& address) {
  return {id, "z0", "plain", *net::ParseAddress(address), kSrvDestination, Status::kInService, 10};
}

struct Scenario : EndpointSource::Listener {
  Scenario() : loop(clock), server(loop) {
    config.zones = {"z0"};
    config.kinds = {"plain"};
    config.settings.kinds = {{false, 1}};
    settings.dns.servers = {server.address()};
    settings.srv_names = {{kSrvName, kSrvDestination}};
    server.Set(AddressQuestion("a.example"), AddressAnswer("a.example", "127.0.0.1", 5));
    server.Set(AddressQuestion("b.example"), AddressAnswer("b.example", "127.0.0.2", 5));
  }
  void Start() {
    source = std::make_unique<MergedEndpointSource>(loop, config, settings, *this);
    Apply(source->ApplyCached(
        {true, true, {MakeRecord("a", "127.0.0.1:80"), MakeRecord("b", "127.0.0.2:80")}}));
  }
  void Apply(const EndpointListUpdate& update) {
    if (update.complete) published.clear();
    for (const EndpointRecord& record : update.endpoints) {
      published[record.id] = record;
      if (record.status == Status::kRemoved) published.erase(record.id);
    }
  }
  void OnEndpointList(const EndpointListUpdate& update) override { Apply(update); }
  void OnWatchFailed() override {}
  void Advance(double seconds) { lab::RunEventLoopUntil(loop, clock, clock.Now() + seconds); }
  bool InService(const std::string& id) const {
    const auto it = published.find(id);
    return it != published.end() && it->second.status == Status::kInService;
  }
  lab::SimulatedClock clock;
  net::EventLoop loop;
  FakeNameServer server;
  Config config;
  OperatorSettings settings;
  std::unique_ptr<MergedEndpointSource> source;
  std::map<std::string, EndpointRecord> published;
};

TEST_CASE("srv: an endpoint missing from answers is drained within the TTL, and returns after a delay") {
  Scenario scenario;
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 5));
  scenario.Start();
  scenario.Advance(0.2);
  CHECK(scenario.source->pending_names() == 0);
  CHECK(scenario.InService("a"));
  CHECK(scenario.InService("b"));
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}}, 5));
  scenario.Advance(5.1);
  CHECK(scenario.InService("a"));
  CHECK(!scenario.InService("b"));
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 5));
  scenario.Advance(5.1);
  CHECK(!scenario.InService("b"));  // named again, but not yet for the return delay
  scenario.Advance(40);             // the earlier drains leave the drain window
  CHECK(scenario.InService("b"));
  scenario.server.Set(SrvQuestion(), SrvAnswer({{".", 0}}, 5));
  for (int i = 0; i < 100 && scenario.InService("a") && scenario.InService("b"); ++i) scenario.Advance(0.1);
  CHECK(scenario.InService("a") != scenario.InService("b"));  // a single answer does not drain all
  scenario.Advance(5);
  CHECK(!scenario.InService("a"));
  CHECK(!scenario.InService("b"));
}

TEST_CASE("srv: unlisted targets are ignored, and an own address in the operator settings is added") {
  Scenario scenario;
  scenario.server.Set(AddressQuestion("c.example"), AddressAnswer("c.example", "127.0.0.3", 5));
  scenario.server.Set(
      SrvQuestion(),
      SrvAnswer({{"a.example", 80}, {"b.example", 80}, {"c.example", 80}, {"c.example", 81}}, 5));
  scenario.settings.own_addresses = {{kSrvDestination, *net::ParseAddress("127.0.0.3:81")}};
  scenario.Start();
  scenario.Advance(1);
  std::set<std::string> addresses;
  for (const auto& [id, record] : scenario.published) addresses.insert(net::FormatAddress(record.address));
  CHECK(addresses == std::set<std::string>{"127.0.0.1:80", "127.0.0.2:80", "127.0.0.3:81"});
  CHECK(scenario.source->ToJson()["targets_passed_over"] >= 1);
}

TEST_CASE("srv: a target without an address counts as not named; a failed address query drains nothing") {
  Scenario scenario;
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 5));
  scenario.Start();
  scenario.Advance(1);
  FakeNameServer::Entry failing;
  failing.rcode = dns::Rcode::kServFail;
  scenario.server.Set(AddressQuestion("b.example"), failing);
  scenario.Advance(30);
  CHECK(scenario.InService("a"));
  CHECK(scenario.InService("b"));
  FakeNameServer::Entry none;  // the name exists, but has no address
  scenario.server.Set(AddressQuestion("b.example"), none);
  scenario.Advance(15);
  CHECK(scenario.InService("a"));
  CHECK(!scenario.InService("b"));
}

TEST_CASE("srv: an address with a shorter TTL is refreshed without the SRV record, and its change applies") {
  Scenario scenario;
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 3600));
  scenario.settings.own_addresses = {{kSrvDestination, *net::ParseAddress("127.0.0.9:80")}};
  scenario.Start();
  scenario.Advance(1);
  CHECK(scenario.published.size() == 2);
  const long before = scenario.server.datagrams();
  scenario.server.Set(AddressQuestion("b.example"), AddressAnswer("b.example", "127.0.0.9", 5));
  scenario.Advance(5.1);
  CHECK(scenario.InService("srv/b.example/127.0.0.9:80"));
  CHECK(!scenario.InService("b"));
  CHECK(scenario.server.datagrams() - before <= 6);  // without the SRV record
}

TEST_CASE(
    "srv: with a server that is silent for ten minutes or flaps every second, an endpoint stays in service") {
  Scenario scenario;
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}}, 1));
  scenario.Start();
  scenario.Advance(10);
  CHECK(!scenario.InService("b"));
  scenario.server.SetSilent(true);
  const long before = scenario.server.datagrams();
  scenario.Advance(600);
  CHECK(scenario.InService("a"));
  CHECK(!scenario.InService("b"));  // the last answer is still in effect
  // At most five datagrams every 5 s for each of two names.
  CHECK(scenario.server.datagrams() - before < 600 / 5 * 2 * 5);
  scenario.server.SetSilent(false);
  int serving_a = 0, changes = 0;
  bool last = scenario.InService("b");
  for (int i = 0; i < 60; ++i) {
    scenario.server.Set(SrvQuestion(), i % 2 == 0 ? SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 1)
                                                  : SrvAnswer({{"a.example", 80}}, 1));
    scenario.Advance(1);
    serving_a += scenario.InService("a");
    changes += std::exchange(last, scenario.InService("b")) != scenario.InService("b");
  }
  CHECK(serving_a == 60);
  CHECK(changes <= 1);
}

TEST_CASE("srv: a name that does not exist or has no SRV record leaves the endpoints unchanged") {
  Scenario scenario;
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 5));
  scenario.Start();
  scenario.Advance(1);
  scenario.server.Remove(SrvQuestion());
  scenario.Advance(30);
  CHECK(scenario.InService("a"));
  CHECK(scenario.InService("b"));
  CHECK(scenario.source->ToJson()["silent"]["7"] == "no such name");
  scenario.server.Set(SrvQuestion(), {});
  scenario.Advance(70);
  CHECK(scenario.InService("a"));
  CHECK(scenario.InService("b"));
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 5));
  scenario.Advance(70);
  CHECK(scenario.source->ToJson()["silent"].empty());
}

TEST_CASE("srv: once the last answer has expired, only the list counts") {
  Scenario scenario;
  scenario.settings.dns.max_stale = 60;
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}}, 5));
  scenario.Start();
  scenario.Advance(1);
  CHECK(!scenario.InService("b"));
  scenario.server.SetSilent(true);
  scenario.Advance(50);
  CHECK(!scenario.InService("b"));
  scenario.Advance(40);
  CHECK(scenario.InService("a"));
  CHECK(scenario.InService("b"));
}

TEST_CASE("srv: queries that refresh 5,000 names are spread over time") {
  Scenario scenario;
  scenario.settings.srv_names.clear();
  for (int i = 0; i < 5000; ++i) {
    const std::string name = "_api._tcp.p" + std::to_string(i) + ".example";
    scenario.settings.srv_names.emplace_back(name, i);
    auto entry = SrvAnswer({{"a.example", 80}}, 60);
    entry.answers[0].name = DomainName(name);
    scenario.server.Set(SrvQuestion(name), entry);
  }
  scenario.server.Set(AddressQuestion("a.example"), AddressAnswer("a.example", "127.0.0.1", 3600));
  scenario.Start();
  for (int i = 0; i < 500 && scenario.source->pending_names() > 0; ++i) scenario.Advance(0.02);
  REQUIRE(scenario.source->pending_names() == 0);
  std::map<int, int> by_second;
  const long before = scenario.server.datagrams();
  const double from = scenario.clock.Now();
  for (int i = 0; i < 60; ++i) {
    const long at = scenario.server.datagrams();
    scenario.Advance(1);
    by_second[i] = static_cast<int>(scenario.server.datagrams() - at);
  }
  int most = 0;
  for (const auto& [second, count] : by_second) most = std::max(most, count);
  MESSAGE("5,000 names with a TTL of 60 s: at most "
          << most << " queries in a second, "
          << static_cast<double>(scenario.server.datagrams() - before) / (scenario.clock.Now() - from)
          << " on average");
  CHECK(scenario.server.datagrams() - before >= 4900);
  CHECK(most < 200);  // two and a half times the average, rather than 5,000 at once
}

// Guards against retries that keep an overloaded server overloaded: without a rate limit, 5,000 names would
// be retried every 5 s with four attempts each.
TEST_CASE("srv: 5,000 names that the server fails to answer are retried at a bounded rate") {
  Scenario scenario;
  scenario.settings.srv_names.clear();
  for (int i = 0; i < 5000; ++i) {
    const std::string name = "_api._tcp.p" + std::to_string(i) + ".example";
    scenario.settings.srv_names.emplace_back(name, i);
    lab::FakeNameServer::Entry entry;
    entry.rcode = dns::Rcode::kServFail;
    scenario.server.Set(SrvQuestion(name), entry);
  }
  scenario.Start();
  for (int i = 0; i < 500 && scenario.source->pending_names() > 0; ++i) scenario.Advance(0.02);
  REQUIRE(scenario.source->pending_names() == 0);
  const long before = scenario.server.datagrams();
  long most = 0;
  for (int second = 0; second < 60; ++second) {
    const long at = scenario.server.datagrams();
    scenario.Advance(1);
    most = std::max(most, scenario.server.datagrams() - at);
  }
  MESSAGE("5,000 names that fail: at most " << most << " queries in a second");
  CHECK(scenario.server.datagrams() - before > 60);  // they are still retried
  CHECK(most < 200);                                 // the same bound as for answered names
}

}  // namespace
}  // namespace opalroute
