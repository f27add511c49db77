// Guards against an effect in two zones: a message whose key is deduplicated by each zone on its own may have
// run at an endpoint that only SRV had named. The relay assumed that this endpoint was in the first zone of
// the settings, and repeated the message at one that the list has in that zone. Runs the whole relay in the
// test process, on a clock that only the test moves.
#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "journal/journal.h"
#include "journal/persistent_clock.h"
#include "lab/capacity/minimal_http.h"
#include "lab/dns/fake_name_server.h"
#include "lab/fake_platform.h"
#include "lab/scenario.h"
#include "lab/simulated_clock.h"
#include "lab/sockets/relay_config.h"
#include "net/address.h"
#include "net/listener.h"
#include "relay/relay.h"
#include "tests/discovery/srv_records.h"

namespace opalroute {
namespace {

namespace fs = std::filesystem;
namespace raw = lab::raw;

const std::string kRequestId = "11";
constexpr double kWindowSeconds = 8;  // the deduplication window

// An endpoint that reads calls and closes their connections without a response, or with a 429 and a wait.
class ResettingEndpoint {
 public:
  ~ResettingEndpoint() { close(listener_); }
  sockaddr_in address() const { return net::BoundAddress(listener_); }
  // The number of calls with the request so far.
  int calls() const { return calls_; }
  void RejectWithWait(int milliseconds) {
    response_ = "HTTP/1.1 429 Too Many Requests\r\nX-RateLimit-Wait-Ms: " + std::to_string(milliseconds) +
                "\r\nContent-Length: 0\r\n\r\n";
  }

  void Poll() {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
    if (fd >= 0) connections_.push_back(fd);
    const auto is_done = [this](int connection) {
      std::string text;
      raw::ReadAll(connection, text);
      if (text.find("X-Txn: " + kRequestId) == std::string::npos) return false;
      ++calls_;
      raw::WriteAll(connection, response_);
      close(connection);
      return true;
    };
    connections_.erase(std::remove_if(connections_.begin(), connections_.end(), is_done), connections_.end());
  }

 private:
  const int listener_ = raw::Listen(*net::ParseAddress("127.0.0.1:0"));
  std::vector<int> connections_;
  int calls_ = 0;
  std::string response_;
};

// A relay whose list may have endpoint `listed` in the first zone, z0. SRV names it and `named`, which the
// operators assign to the same destination.
class SrvZoneFixture {
 public:
  SrvZoneFixture()
      : folder_(fs::temp_directory_path() / ("opalroute-srv-zone-test-" + std::to_string(getpid()))),
        loop_(clock_),
        name_server_(loop_),
        platform_(loop_) {
    fs::create_directories(folder_);
    name_server_.Set(AddressQuestion(kHost), AddressAnswer(kHost, "127.0.0.1", 60));
    const std::vector<SrvEndpoint> both = {{kHost, ntohs(named.address().sin_port)},
                                           {kHost, ntohs(listed.address().sin_port)}};
    name_server_.Set(SrvQuestion(), SrvAnswer(both, 2));
  }
  ~SrvZoneFixture() {
    if (client_ >= 0) close(client_);
    relay_.reset();
    fs::remove_all(folder_);
  }

  // Replaces the list. The zone of `named` is z1; until the list has it, only SRV knows the endpoint.
  void SetList(bool has_listed, bool has_named, const std::string& kind_of_named = "plain") {
    list_["generation"] = ++generation_;
    list_["reset"] = true;
    list_["instances"] = nlohmann::json::array();
    if (has_listed) AddToList("listed", listed.address(), "z0", "plain");
    if (has_named) AddToList("named", named.address(), "z1", kind_of_named);
    platform_.SetEndpointList(list_);
  }

  void StartRelay() {
    relay_.reset();
    const nlohmann::json request_class = {{"name", "notice-order"},
                                          {"effect", "deduplicated"},
                                          {"key_window_s", kWindowSeconds},
                                          {"aim_s", 2},
                                          {"deadline_s", 20},
                                          {"share", 1}};
    const lab::Scenario scenario =
        lab::ReadScenario({{"relays", 1},
                           {"zones", 2},
                           {"classes", {request_class}},
                           {"settings", {{"may_probe", false}, {"may_copy", false}}}});
    nlohmann::json settings_json = lab::SettingsJson(scenario, 0);
    for (nlohmann::json& row : settings_json["classes"]) row["group"] = "zone";
    const nlohmann::json file = {{"name", "n0"},
                                 {"listen", "127.0.0.1:0"},
                                 {"discovery", net::FormatAddress(platform_.address())},
                                 {"state", folder_.string()},
                                 {"seed", "1"},
                                 {"limits", {{"sockets", 1024}, {"disk_mb", 3}}},
                                 {"known", list_},
                                 {"settings", settings_json}};
    config_ = config::Parse(file, [](const char*) { return std::nullopt; });
    OperatorSettings settings;
    settings.dns.servers = {name_server_.address()};
    settings.srv_names = {{kSrvName, kSrvDestination}};
    settings.own_addresses = {{kSrvDestination, named.address()}};
    relay_ = std::make_unique<Relay>(loop_, config_, settings);
  }

  void SendRequest() {
    client_ = raw::Connect(relay_->address());
    raw::WriteAll(client_, "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: " + kRequestId +
                               "\r\nX-Lane: notice-order\r\nX-Org: lab\r\nX-Remaining-Ms: 20000\r\n"
                               "Idempotency-Key: k\r\nX-Addressing: dest=7\r\nContent-Length: 0\r\n\r\n");
  }

  void Run(double seconds) {
    constexpr double kStep = 0.001;
    const lab::LoopbackBarrier sent;
    for (const double until = clock_.Now() + seconds; clock_.Now() < until; clock_.Advance(kStep)) {
      loop_.RunOnce(0);
      sent.Wait();
      named.Poll();
      listed.Poll();
    }
  }
  void RunUntilNamedIsCalled() {
    for (int i = 0; i < 300 && named.calls() == 0; ++i) Run(0.01);
    REQUIRE(named.calls() > 0);
  }

  // As a process of an earlier version recorded it: with an assumed zone.
  void WriteEarlierJournal() {
    PersistentClock clock(clock_, folder_.string());
    REQUIRE(clock.Persist());
    JournalEntry entry;
    entry.id = kRequestId;
    entry.request_class = "notice-order";
    entry.tenant = "lab";
    entry.key = "k";
    entry.destination = kSrvDestination;
    entry.deadline = clock.Micros() + 20'000'000;
    Journal journal(folder_.string(), 1 << 20);
    REQUIRE(journal.RecordAccepted(entry));
    const std::string endpoint = std::string("srv/") + kHost + "/" + net::FormatAddress(named.address());
    REQUIRE(journal.RecordAttempt(kRequestId, {endpoint, "z0", clock.Micros(), true}));
  }

  ResettingEndpoint named, listed;

 private:
  static constexpr char kHost[] = "named.example";

  void AddToList(const std::string& id, const sockaddr_in& address, const std::string& zone,
                 const std::string& kind) {
    list_["instances"].push_back({{"instanceId", id},
                                  {"hostPort", net::FormatAddress(address)},
                                  {"zone", zone},
                                  {"machineType", kind},
                                  {"cell", kSrvDestination},
                                  {"lifecycle", "ready"}});
  }

  const fs::path folder_;
  lab::SimulatedClock clock_;
  net::EventLoop loop_;
  lab::FakeNameServer name_server_;
  lab::FakePlatform platform_;
  nlohmann::json list_;
  int generation_ = 0;
  Config config_;
  std::unique_ptr<Relay> relay_;
  int client_ = -1;
};

TEST_CASE("srv zone: a message that may have run where only SRV named the endpoint goes to no other one") {
  SrvZoneFixture fixture;
  fixture.SetList(false, false);
  fixture.StartRelay();
  fixture.Run(1);
  fixture.SendRequest();
  fixture.RunUntilNamedIsCalled();
  SUBCASE("once the list names another endpoint") { fixture.SetList(true, false); }
  SUBCASE("once the list names both") { fixture.SetList(true, true); }
  SUBCASE("after a restart with the other endpoint alone in the list") {
    fixture.SetList(true, false);
    fixture.StartRelay();
  }
  SUBCASE("after a restart with both in the list") {
    fixture.SetList(true, true);
    fixture.StartRelay();
  }
  fixture.Run(kWindowSeconds + 2);
  CHECK(fixture.listed.calls() == 0);
}

TEST_CASE("srv zone: the zone that an earlier version assumed for an endpoint of SRV counts as unknown") {
  SrvZoneFixture fixture;
  fixture.SetList(true, false);
  fixture.WriteEarlierJournal();
  fixture.StartRelay();
  fixture.Run(kWindowSeconds + 2);
  CHECK(fixture.listed.calls() == 0);
}

// The other side: what the list has said of the zone is used, also over a restart.
TEST_CASE("srv zone: a message that may have run at an endpoint of a known zone is repeated in that zone") {
  SrvZoneFixture fixture;
  fixture.SetList(false, false);
  fixture.StartRelay();
  fixture.Run(1);
  fixture.SetList(false, true);
  fixture.Run(3);
  fixture.SendRequest();
  fixture.RunUntilNamedIsCalled();
  SUBCASE("by the same process") {}
  SUBCASE("by the next process") { fixture.StartRelay(); }
  const int calls = fixture.named.calls();
  fixture.SetList(true, true);
  fixture.Run(kWindowSeconds + 2);
  CHECK(fixture.named.calls() > calls);
  CHECK(fixture.listed.calls() == 0);
}

// Guards against calls within a Retry-After: the relay assumed that an endpoint that only SRV named was of
// the first kind. When the list named another one, with limits of its own, the wait of its 429 was forgotten.
TEST_CASE("srv kind: the wait that an endpoint has asked for holds once the list names its kind") {
  constexpr double kWaitSeconds = 5;
  SrvZoneFixture fixture;
  fixture.SetList(false, false);
  fixture.StartRelay();
  fixture.Run(1);
  fixture.named.RejectWithWait(static_cast<int>(1000 * kWaitSeconds));
  fixture.SendRequest();
  fixture.RunUntilNamedIsCalled();
  fixture.SetList(false, true, "apart");
  fixture.Run(kWaitSeconds - 0.5);
  CHECK(fixture.named.calls() == 1);
  fixture.Run(5);
  CHECK(fixture.named.calls() > 1);
}

}  // namespace
}  // namespace opalroute
