// SRV as a source of endpoints: against a stand-in name server on a scripted clock.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "discovery/merged_endpoint_source.h"
#include "lab/clock.h"
#include "lab/dns/name_server.h"
#include "net/address.h"
#include "tests/discovery/srv_records.h"

namespace opalroute {
namespace {

using lab::NameServer;
using Status = EndpointRecord::Status;

EndpointRecord RecordOf(const std::string& id, const std::string& address) {
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
    Apply(source->ApplyCached({true, true, {RecordOf("a", "127.0.0.1:80"), RecordOf("b", "127.0.0.2:80")}}));
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
  void Play(double seconds) { lab::PlayUntil(loop, clock, clock.Now() + seconds); }
  bool Serves(const std::string& id) const {
    const auto it = published.find(id);
    return it != published.end() && it->second.status == Status::kInService;
  }
  lab::Clock clock;
  net::EventLoop loop;
  NameServer server;
  Config config;
  Operator settings;
  std::unique_ptr<MergedEndpointSource> source;
  std::map<std::string, EndpointRecord> published;
};

TEST_CASE("srv: what an answer no longer names is drained within its lifetime, and comes back in time") {
  Scenario scenario;
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 5));
  scenario.Start();
  scenario.Play(0.2);
  CHECK(scenario.source->unanswered() == 0);
  CHECK(scenario.Serves("a"));
  CHECK(scenario.Serves("b"));
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}}, 5));
  scenario.Play(5.1);
  CHECK(scenario.Serves("a"));
  CHECK(!scenario.Serves("b"));
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 5));
  scenario.Play(5.1);
  CHECK(!scenario.Serves("b"));  // named, but not for long enough
  scenario.Play(40);             // earlier drains no longer count against the share
  CHECK(scenario.Serves("b"));
  scenario.server.Set(SrvQuestion(), SrvAnswer({{".", 0}}, 5));
  for (int i = 0; i < 100 && scenario.Serves("a") && scenario.Serves("b"); ++i) scenario.Play(0.1);
  CHECK(scenario.Serves("a") != scenario.Serves("b"));  // one answer alone does not drain all
  scenario.Play(5);
  CHECK(!scenario.Serves("a"));
  CHECK(!scenario.Serves("b"));
}

TEST_CASE("srv: strangers are passed over, and the partner's own is added where the operators say so") {
  Scenario scenario;
  scenario.server.Set(AddressQuestion("c.example"), AddressAnswer("c.example", "127.0.0.3", 5));
  scenario.server.Set(
      SrvQuestion(),
      SrvAnswer({{"a.example", 80}, {"b.example", 80}, {"c.example", 80}, {"c.example", 81}}, 5));
  scenario.settings.srv_own = {{kSrvDestination, *net::ParseAddress("127.0.0.3:81")}};
  scenario.Start();
  scenario.Play(1);
  std::set<std::string> addresses;
  for (const auto& [id, record] : scenario.published) addresses.insert(net::FormatAddress(record.address));
  CHECK(addresses == std::set<std::string>{"127.0.0.1:80", "127.0.0.2:80", "127.0.0.3:81"});
  CHECK(scenario.source->Print()["targets_passed_over"] >= 1);
}

TEST_CASE("srv: a target without an address is no endpoint; one whose address fails takes nothing out") {
  Scenario scenario;
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 5));
  scenario.Start();
  scenario.Play(1);
  NameServer::Entry failing;
  failing.rcode = dns::Rcode::kServFail;
  scenario.server.Set(AddressQuestion("b.example"), failing);
  scenario.Play(30);
  CHECK(scenario.Serves("a"));
  CHECK(scenario.Serves("b"));
  NameServer::Entry none;  // the name is there, and has no address
  scenario.server.Set(AddressQuestion("b.example"), none);
  scenario.Play(15);
  CHECK(scenario.Serves("a"));
  CHECK(!scenario.Serves("b"));
}

TEST_CASE(
    "srv: an address of its own lifetime is asked for again alone, and a machine that moved is followed") {
  Scenario scenario;
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 3600));
  scenario.settings.srv_own = {{kSrvDestination, *net::ParseAddress("127.0.0.9:80")}};
  scenario.Start();
  scenario.Play(1);
  CHECK(scenario.published.size() == 2);
  const long before = scenario.server.datagrams();
  scenario.server.Set(AddressQuestion("b.example"), AddressAnswer("b.example", "127.0.0.9", 5));
  scenario.Play(5.1);
  CHECK(scenario.Serves("srv/b.example/127.0.0.9:80"));
  CHECK(!scenario.Serves("b"));
  CHECK(scenario.server.datagrams() - before <= 6);  // not the SRV record with them
}

TEST_CASE("srv: servers silent for ten minutes, failing or flapping each second leave somebody in service") {
  Scenario scenario;
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}}, 1));
  scenario.Start();
  scenario.Play(10);
  CHECK(!scenario.Serves("b"));
  scenario.server.SetSilent(true);
  const long before = scenario.server.datagrams();
  scenario.Play(600);
  CHECK(scenario.Serves("a"));
  CHECK(!scenario.Serves("b"));  // the last answer still holds
  CHECK(scenario.server.datagrams() - before <
        600 / 5 * 2 * 5);  // a few attempts every few seconds, for two names
  scenario.server.SetSilent(false);
  int serving_a = 0, changes = 0;
  bool last = scenario.Serves("b");
  for (int i = 0; i < 60; ++i) {
    scenario.server.Set(SrvQuestion(), i % 2 == 0 ? SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 1)
                                                  : SrvAnswer({{"a.example", 80}}, 1));
    scenario.Play(1);
    serving_a += scenario.Serves("a");
    changes += std::exchange(last, scenario.Serves("b")) != scenario.Serves("b");
  }
  CHECK(serving_a == 60);
  CHECK(changes <= 1);
}

TEST_CASE("srv: no such name, no such record and a name without one leave the set as it was") {
  Scenario scenario;
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 5));
  scenario.Start();
  scenario.Play(1);
  scenario.server.Remove(SrvQuestion());
  scenario.Play(30);
  CHECK(scenario.Serves("a"));
  CHECK(scenario.Serves("b"));
  CHECK(scenario.source->Print()["silent"]["7"] == "no such name");
  scenario.server.Set(SrvQuestion(), {});
  scenario.Play(70);
  CHECK(scenario.Serves("a"));
  CHECK(scenario.Serves("b"));
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}, {"b.example", 80}}, 5));
  scenario.Play(70);
  CHECK(scenario.source->Print()["silent"].empty());
}

TEST_CASE("srv: after the longest age the list stands alone") {
  Scenario scenario;
  scenario.settings.dns.stale = 60;
  scenario.server.Set(SrvQuestion(), SrvAnswer({{"a.example", 80}}, 5));
  scenario.Start();
  scenario.Play(1);
  CHECK(!scenario.Serves("b"));
  scenario.server.SetSilent(true);
  scenario.Play(50);
  CHECK(!scenario.Serves("b"));
  scenario.Play(40);
  CHECK(scenario.Serves("a"));
  CHECK(scenario.Serves("b"));
}

TEST_CASE("srv: 5,000 names are asked for again in a spread") {
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
  for (int i = 0; i < 500 && scenario.source->unanswered() > 0; ++i) scenario.Play(0.02);
  REQUIRE(scenario.source->unanswered() == 0);
  std::map<int, int> by_second;
  const long before = scenario.server.datagrams();
  const double from = scenario.clock.Now();
  for (int i = 0; i < 60; ++i) {
    const long at = scenario.server.datagrams();
    scenario.Play(1);
    by_second[i] = static_cast<int>(scenario.server.datagrams() - at);
  }
  int most = 0;
  for (const auto& [second, count] : by_second) most = std::max(most, count);
  MESSAGE("5,000 names with 60 s: at most "
          << most << " queries in a second, "
          << static_cast<double>(scenario.server.datagrams() - before) / (scenario.clock.Now() - from)
          << " in the mean");
  CHECK(scenario.server.datagrams() - before >= 4900);
  CHECK(most < 200);  // two and a half times the mean, and not 5,000 at once
}

// Guards against retries that keep an overloaded server overloaded: 5,000 names every 5 s, four tries each.
TEST_CASE("srv: 5,000 names that the server fails to answer are asked for again at a bounded rate") {
  Scenario scenario;
  scenario.settings.srv_names.clear();
  for (int i = 0; i < 5000; ++i) {
    const std::string name = "_api._tcp.p" + std::to_string(i) + ".example";
    scenario.settings.srv_names.emplace_back(name, i);
    lab::NameServer::Entry entry;
    entry.rcode = dns::Rcode::kServFail;
    scenario.server.Set(SrvQuestion(name), entry);
  }
  scenario.Start();
  for (int i = 0; i < 500 && scenario.source->unanswered() > 0; ++i) scenario.Play(0.02);
  REQUIRE(scenario.source->unanswered() == 0);
  const long before = scenario.server.datagrams();
  long most = 0;
  for (int second = 0; second < 60; ++second) {
    const long at = scenario.server.datagrams();
    scenario.Play(1);
    most = std::max(most, scenario.server.datagrams() - at);
  }
  MESSAGE("5,000 names that fail: at most " << most << " queries in a second");
  CHECK(scenario.server.datagrams() - before > 60);  // they are asked for all the same
  CHECK(most < 200);                                 // as where they are answered
}

}  // namespace
}  // namespace opalroute
