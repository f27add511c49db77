#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "lab/sockets/punctual_client.h"
#include "tests/support/single_relay.h"

namespace opalroute::lab {
namespace {

constexpr Seconds kInterval = 0.01;       // between the requests of a client
constexpr Seconds kLoadBefore = 0.6;      // until the list changes
constexpr Seconds kLoadAfter = 2.5;       // from then on
constexpr Seconds kOldIsGoneAfter = 1.5;  // until the list says so
constexpr Seconds kTolerance = 0.1;       // calls after the list has told a change
constexpr int kFirstDestination = 17, kSecondDestination = 18;

// One process of an endpoint. It counts the calls that should have gone to another process.
class EndpointProcess : private net::HttpServer::Handler {
 public:
  EndpointProcess(net::EventLoop& loop, const sockaddr_in& address, std::string prefix)
      : loop_(loop), prefix_(std::move(prefix)), server_(loop, address, FakeServerBounds(), *this) {}

  sockaddr_in address() const { return server_.address(); }
  int calls() const { return calls_; }
  int wrong_calls() const { return wrong_calls_; }
  // The list tells a change now. From kTolerance later on, only requests whose id begins with `prefix` belong
  // here; none if it is empty.
  void Expect(std::string prefix) {
    judged_from_ = loop_.Now() + kTolerance;
    prefix_ = std::move(prefix);
  }
  // Its connections stay, and another process can listen at its address.
  void StopAccepting() { server_.StopAccepting(); }

 private:
  net::HttpResponse OnRequest(net::HttpMessage& request) override {
    const std::string* id = request.Header("X-Txn");
    if (id == nullptr) return net::PlainTextResponse(200, "alive");
    ++calls_;
    const bool belongs_here = !prefix_.empty() && id->compare(0, prefix_.size(), prefix_) == 0;
    if (loop_.Now() >= judged_from_ && !belongs_here) ++wrong_calls_;
    return net::PlainTextResponse(200, "done");
  }
  void OnResponseLost(std::uint64_t) override {}

  net::EventLoop& loop_;
  std::string prefix_;
  Seconds judged_from_ = 0;
  int calls_ = 0, wrong_calls_ = 0;
  net::HttpServer server_;
};

std::string Instance(const std::string& id, const sockaddr_in& address, int destination,
                     const std::string& lifecycle, long long started_at_ms) {
  return R"({"instanceId":")" + id + R"(","hostPort":")" + net::FormatAddress(address) +
         R"(","zone":"ground","machineType":"small","cell":)" + std::to_string(destination) +
         R"(,"lifecycle":")" + lifecycle + R"(","weight":1000,"startedAtMs":)" +
         std::to_string(started_at_ms) + "}";
}

std::string List(int generation, bool complete, const std::vector<std::string>& instances) {
  std::string rows;
  for (const std::string& instance : instances) rows += (rows.empty() ? "" : ",") + instance;
  return R"({"generation":)" + std::to_string(generation) + R"(,"reset":)" + (complete ? "true" : "false") +
         R"(,"instances":[)" + rows + "]}";
}

const sockaddr_in kAnyPort = *net::ParseAddress("127.0.0.1:0");

// A relay, two endpoints of two destinations, and a client of each destination.
class IdentityRun {
 public:
  IdentityRun()
      : relay_([](nlohmann::json&) {}),
        one_(std::make_unique<EndpointProcess>(relay_.loop(), kAnyPort, "one")),
        two_(std::make_unique<EndpointProcess>(relay_.loop(), kAnyPort, "two")) {
    PublishComplete({Instance("one", one_->address(), kFirstDestination, "ready", 0),
                     Instance("two", two_->address(), kSecondDestination, "ready", 0)});
    relay_.RunFor(0.3);
    for (const auto& [destination, name] :
         {std::pair{kFirstDestination, "one"}, {kSecondDestination, "two"}}) {
      clients_.push_back(std::make_unique<PunctualClient>(relay_.loop(), relay_.process().address(),
                                                          ClientRequestFields{"status", "nord", destination},
                                                          name));
      clients_.back()->Start(kInterval);
    }
    relay_.RunFor(kLoadBefore);
    REQUIRE(one_->calls() > 10);
    REQUIRE(two_->calls() > 10);
  }

  SingleRelay& relay() { return relay_; }
  EndpointProcess& one() { return *one_; }
  EndpointProcess& two() { return *two_; }

  void PublishComplete(const std::vector<std::string>& instances) {
    const std::string list = List(++generation_, true, instances);
    relay_.discovery().Publish(list, list);
  }
  // `complete`: the resulting list.
  void PublishChanges(const std::vector<std::string>& changes, const std::vector<std::string>& complete) {
    ++generation_;
    relay_.discovery().Publish(List(generation_, false, changes), List(generation_, true, complete));
  }

 private:
  int generation_ = 60;
  SingleRelay relay_;
  std::unique_ptr<EndpointProcess> one_, two_;
  std::vector<std::unique_ptr<PunctualClient>> clients_;
};

enum class OldIsGone { kBefore, kInTheSameUpdate, kLater };

void CheckAddressOfAnotherInstance(OldIsGone when, bool with_kill) {
  IdentityRun run;
  const sockaddr_in address = run.one().address();
  const std::string two = Instance("two", run.two().address(), kSecondDestination, "ready", 0);
  const std::string old_gone = Instance("one", address, kFirstDestination, "gone", 0);
  const std::string old_draining = Instance("one", address, kFirstDestination, "draining", 0);
  const std::string newcomer = Instance("newcomer", address, kSecondDestination, "ready", 1000);
  run.one().Expect("two");
  if (when == OldIsGone::kBefore) run.PublishChanges({old_gone}, {two});
  if (when == OldIsGone::kInTheSameUpdate) run.PublishChanges({old_gone, newcomer}, {two, newcomer});
  if (when == OldIsGone::kBefore) run.PublishChanges({newcomer}, {two, newcomer});
  if (when == OldIsGone::kLater) {
    const std::string old = Instance("one", address, kFirstDestination, "ready", 0);
    run.PublishChanges({newcomer}, {old, two, newcomer});
    run.relay().RunFor(kOldIsGoneAfter / 2);
    run.PublishChanges({old_draining}, {old_draining, two, newcomer});
    if (with_kill) run.relay().KillAndRestart();
    run.relay().RunFor(kOldIsGoneAfter / 2);
    run.PublishChanges({old_gone}, {two, newcomer});
  }
  run.relay().RunFor(kLoadAfter);
  MESSAGE("calls ", run.one().calls(), ", of the other destination ", run.one().wrong_calls());
  CHECK(run.one().wrong_calls() == 0);
  CHECK(run.two().wrong_calls() == 0);
}

TEST_CASE("processes: no call goes to an address that the list has given to another instance") {
  for (const OldIsGone when : {OldIsGone::kBefore, OldIsGone::kInTheSameUpdate, OldIsGone::kLater})
    CheckAddressOfAnotherInstance(when, false);
  CheckAddressOfAnotherInstance(OldIsGone::kLater, true);
}

TEST_CASE("processes: no call goes to the former process of an instance that has started anew") {
  IdentityRun run;
  const sockaddr_in address = run.one().address();
  run.one().StopAccepting();
  EndpointProcess restarted(run.relay().loop(), address, "one");
  const int calls_before = run.one().calls();
  run.one().Expect("");
  const std::string one = Instance("one", address, kFirstDestination, "ready", 1'700'000'000'000);
  run.PublishChanges({one}, {one, Instance("two", run.two().address(), kSecondDestination, "ready", 0)});
  run.relay().RunFor(kLoadAfter);
  MESSAGE("calls of the former process ", run.one().calls() - calls_before, ", too late ",
          run.one().wrong_calls());
  CHECK(run.one().wrong_calls() == 0);
  CHECK(restarted.calls() > 20);
  CHECK(restarted.wrong_calls() == 0);
}

TEST_CASE("processes: no call goes to the wrong instance when two instances swap addresses") {
  IdentityRun run;
  run.one().Expect("two");
  run.two().Expect("one");
  const std::string one = Instance("one", run.two().address(), kFirstDestination, "ready", 1000);
  const std::string two = Instance("two", run.one().address(), kSecondDestination, "ready", 1000);
  run.PublishChanges({one, two}, {one, two});
  run.relay().RunFor(kLoadAfter);
  CHECK(run.one().wrong_calls() == 0);
  CHECK(run.two().wrong_calls() == 0);
  CHECK(run.one().calls() > 100);
  CHECK(run.two().calls() > 100);
}

}  // namespace
}  // namespace opalroute::lab
