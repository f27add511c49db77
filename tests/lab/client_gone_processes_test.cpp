#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/capacity/minimal_http.h"
#include "tests/support/single_relay.h"

namespace opalroute::lab {
namespace {

enum class Close { kEnd, kReset };

constexpr int kDestination = 9;
constexpr Seconds kAnswerTimeout = 2;
constexpr Seconds kDeadline = 6;  // of each request
constexpr std::size_t kHandedInAgain = 20;
const std::string kBody(600, 'x');  // so that the relay does not read a long burst at once

// An endpoint that serves every call and counts the calls of each request.
class CountingEndpoint : private net::HttpServer::Handler {
 public:
  explicit CountingEndpoint(net::EventLoop& loop)
      : server_(loop, *net::ParseAddress("127.0.0.1:0"), FakeServerBounds(), *this) {}
  std::string address() const { return net::FormatAddress(server_.address()); }
  const std::map<std::string, int>& calls() const { return calls_; }
  // Calls beyond the first one of each request.
  int RepeatedCalls() const {
    int repeated = 0;
    for (const auto& [id, calls] : calls_) repeated += calls - 1;
    return repeated;
  }

 private:
  net::HttpResponse OnRequest(net::HttpMessage& request) override {
    const std::string* id = request.Header("X-Txn");
    if (id != nullptr) ++calls_[*id];
    return net::PlainTextResponse(200, "done");
  }
  void OnResponseLost(std::uint64_t) override {}

  net::HttpServer server_;
  std::map<std::string, int> calls_;
};

class RelayWithCountingEndpoint {
 public:
  RelayWithCountingEndpoint()
      : relay_([](nlohmann::json& config) {
          config["settings"]["limits"]["openCap"] = 200;
          config["settings"]["limits"]["secondCopies"] = false;
        }),
        endpoint_(relay_.loop()) {
    const std::string instances =
        R"({"generation":50,"reset":true,"instances":[{"instanceId":"counting","hostPort":")" +
        endpoint_.address() + R"(","zone":"ground","machineType":"small","cell":)" +
        std::to_string(kDestination) + R"(,"lifecycle":"ready","weight":1000,"startedAtMs":0}]})";
    relay_.discovery().Publish(instances, instances);
    relay_.RunFor(0.3);
  }

  SingleRelay& relay() { return relay_; }
  const CountingEndpoint& endpoint() const { return endpoint_; }

  static std::string Request(const std::string& id, const std::string& request_class,
                             const std::string& body = kBody) {
    net::Headers headers = {{"Host", "app.svc"},
                            {"X-Txn", id},
                            {"X-Lane", request_class},
                            {"X-Org", "nord"},
                            {"X-Remaining-Ms", "6000"},
                            {"X-Addressing", "dest=" + std::to_string(kDestination)},
                            {"Idempotency-Key", "key-" + id}};
    return net::FormatRequest("POST", "/api", headers, body);
  }

  // Sends the requests on one connection and closes it at once.
  void SendAndLeave(const std::vector<std::string>& ids, const std::string& request_class, Close how,
                    const std::string& body = kBody) {
    const int fd = raw::Connect(relay_.process().address());
    std::string text;
    for (const std::string& id : ids) text += Request(id, request_class, body);
    raw::WriteAll(fd, text);
    const linger reset{1, 0};
    if (how == Close::kReset) setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(fd);
  }

  // Sends one request and returns the status of its answer; 0: none.
  int Ask(const std::string& id, const std::string& request_class, const std::string& body = kBody) {
    const std::string answer = Exchange(Request(id, request_class, body));
    constexpr std::size_t kStatusAt = 9;
    return answer.size() < kStatusAt + 3 ? 0 : std::stoi(answer.substr(kStatusAt, 3));
  }

  // Attempts of the relay after which a class other than payment allows another one.
  int UnansweredAttempts() {
    const nlohmann::json counters = Counters();
    int attempts = 0;
    for (const char* key : {"timeouts", "resets", "cancelled", "doubted_outcomes"})
      attempts += counters.at(key).get<int>();
    return attempts;
  }
  nlohmann::json Counters() {
    const std::string answer = Exchange(net::FormatRequest("GET", "/counters", {{"Host", "app.svc"}}, ""));
    return nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n")));
  }

 private:
  std::string Exchange(const std::string& request) {
    const int fd = raw::Connect(relay_.process().address());
    raw::WriteAll(fd, request);
    std::string answer;
    relay_.RunUntil(kAnswerTimeout,
                    [&] { return !raw::ReadAll(fd, answer) || raw::CompleteMessageLength(answer) > 0; });
    close(fd);
    return answer;
  }

  SingleRelay relay_;
  CountingEndpoint endpoint_;
};

std::vector<std::string> Ids(const std::string& prefix, int count) {
  std::vector<std::string> ids;
  for (int i = 0; i < count; ++i) ids.push_back(prefix + "-" + std::to_string(i));
  return ids;
}

const std::vector<std::string> kClasses = {"payment", "order", "status"};
constexpr int kFitsIntoTheSocket = 60;  // requests that the system takes in while the relay is stopped

TEST_CASE("processes: no request is sent whose client had left before the relay read it") {
  RelayWithCountingEndpoint run;
  for (const std::string& request_class : kClasses)
    for (const Close how : {Close::kEnd, Close::kReset}) {
      run.relay().process().Freeze();
      run.SendAndLeave(Ids(request_class + (how == Close::kEnd ? "-end" : "-reset"), kFitsIntoTheSocket),
                       request_class, how);
      run.relay().process().Thaw();
      run.relay().RunFor(1);
      CAPTURE(request_class);
      CHECK(run.endpoint().calls().empty());
    }
}

// The clients send a burst, leave, and hand in the first requests of the burst again.
class ComingAgain {
 public:
  void Run(const std::string& request_class, int burst, Close how, Seconds pause, bool with_kill) {
    const std::vector<std::string> ids = Ids("round" + std::to_string(++round_), burst);
    run_.SendAndLeave(ids, request_class, how);
    run_.relay().RunFor(pause);
    if (with_kill) run_.relay().KillAndRestart();
    for (std::size_t i = 0; i < std::min(kHandedInAgain, ids.size()); ++i) {
      const int status = run_.Ask(ids[i], request_class);
      if (status == kAccepted) accepted_.insert(ids[i]);
      CHECK((status == kAccepted || status == kRejected));
    }
  }
  // `allowed`: calls that may repeat an earlier one.
  void Check(const std::function<int(RelayWithCountingEndpoint&)>& allowed) {
    const auto is_over = [this](const std::string& id) {
      const bool notified =
          run_.relay().discovery().notifications().find("\"" + id + "\"") != std::string::npos;
      return notified || run_.endpoint().calls().count(id) > 0;
    };
    const auto open = [&] {
      return std::count_if(accepted_.begin(), accepted_.end(), [&](const auto& id) { return !is_over(id); });
    };
    run_.relay().RunUntil(kDeadline + 1, [&] { return open() == 0; });
    CHECK(open() == 0);
    const nlohmann::json counters = run_.Counters();
    MESSAGE("202s that could not be written ", counters.at("lost_responses").get<int>(),
            ", requests dropped for it ", counters.at("withdrawn").get<int>(), ", answered 202 ",
            accepted_.size());
    CHECK(accepted_.size() > 100);
    CHECK(run_.endpoint().RepeatedCalls() <= allowed(run_));
  }

 private:
  static constexpr int kAccepted = 202, kRejected = 503;

  RelayWithCountingEndpoint run_;
  std::set<std::string> accepted_;
  int round_ = 0;
};

const std::vector<int> kBursts = {10, 40, 100, 300, 300, 300};

void RunBursts(ComingAgain& run, const std::string& request_class) {
  for (const int burst : kBursts)
    for (const Close how : {Close::kEnd, Close::kReset})
      for (const Seconds pause : {0.0, 0.05}) run.Run(request_class, burst, how, pause, false);
}

TEST_CASE("processes: a request that comes again after its client has left runs once") {
  for (const std::string& request_class : kClasses) {
    CAPTURE(request_class);
    ComingAgain run;
    RunBursts(run, request_class);
    run.Check([&](RelayWithCountingEndpoint& relay) {
      return request_class == "payment" ? 0 : relay.UnansweredAttempts();
    });
  }
}

// Of the other classes, a call that was out at the kill may be repeated.
TEST_CASE("processes: a payment that comes again after its client has left and a kill runs once") {
  ComingAgain run;
  for (const int burst : kBursts)
    for (const Close how : {Close::kEnd, Close::kReset}) {
      run.Run("payment", burst, how, 0, false);
      run.Run("payment", burst, how, 0, true);
    }
  run.Check([](RelayWithCountingEndpoint&) { return 0; });
}

TEST_CASE("processes: an id that has run is refused with other content, also by the next process") {
  RelayWithCountingEndpoint run;
  CHECK(run.Ask("same-id", "payment") == 202);
  run.relay().RunFor(0.5);
  CHECK(run.Ask("same-id", "payment", "other") == 409);
  run.relay().KillAndRestart();
  CHECK(run.Ask("same-id", "payment", "other") == 409);
  CHECK(run.Ask("same-id", "payment") == 202);
  run.relay().RunFor(0.5);
  CHECK(run.endpoint().calls().at("same-id") == 1);
}

}  // namespace
}  // namespace opalroute::lab
