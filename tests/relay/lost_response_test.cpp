// Guards against a request that is lost: its 202 could not be written, a call of it was out, and a copy of it
// that came on another connection was answered 202 although nobody would deliver it any more. Runs the whole
// relay in the test process, on a clock that only the test moves; the executable replaces sendmsg to withhold
// a response.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "lab/capacity/minimal_http.h"
#include "lab/fake_platform.h"
#include "lab/scenario.h"
#include "lab/simulated_clock.h"
#include "lab/sockets/relay_config.h"
#include "net/address.h"
#include "net/http.h"
#include "net/listener.h"
#include "relay/relay.h"

namespace {

// The first 202 that is written while `withholding` is not written, and its connection accepts no further
// bytes.
bool withholding = false;
int withheld_connection = -1;

bool IsAccepted(const msghdr& message) {
  constexpr char kAccepted[] = "HTTP/1.1 202";
  constexpr std::size_t kLength = sizeof(kAccepted) - 1;
  return message.msg_iovlen > 0 && message.msg_iov[0].iov_len >= kLength &&
         std::memcmp(message.msg_iov[0].iov_base, kAccepted, kLength) == 0;
}

}  // namespace

extern "C" ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  if (withholding && withheld_connection < 0 && IsAccepted(*message)) withheld_connection = fd;
  if (withholding && fd == withheld_connection) {
    errno = EAGAIN;
    return -1;
  }
  return syscall(SYS_sendmsg, fd, message, flags);
}

namespace opalroute {
namespace {

namespace fs = std::filesystem;
namespace raw = lab::raw;

constexpr int kDestination = 7;
constexpr double kStep = 0.002;
constexpr double kBetweenEvents = 0.03;
constexpr double kRemaining = 2;  // until the request's deadline
constexpr double kTolerance = 0.3;
const std::string kId = "11";

enum class Event { kClientIsLost, kCopy, kOtherContent, kServed, kReset, kRejected };
constexpr Event kEvents[] = {Event::kClientIsLost, Event::kCopy,  Event::kOtherContent,
                             Event::kServed,       Event::kReset, Event::kRejected};

lab::Scenario ScenarioOf(const std::string& effect) {
  nlohmann::json request_class = {{"name", "class"}, {"effect", effect}, {"key_window_s", 5},
                                  {"aim_s", 1},      {"deadline_s", 5},  {"share", 1}};
  return lab::ReadScenario({{"relays", 1},
                            {"classes", {request_class}},
                            {"settings", {{"may_probe", false}, {"may_copy", false}}}});
}

// An endpoint whose calls the test answers one by one.
class ManualEndpoint {
 public:
  enum class CallState { kOpen, kServed, kReset, kRejected, kCancelled };

  ManualEndpoint() : listener_(raw::Listen(*net::ParseAddress("127.0.0.1:0"))) {}
  ~ManualEndpoint() {
    for (const Connection& connection : connections_) close(connection.fd);
    close(listener_);
  }
  std::string address() const { return net::FormatAddress(net::BoundAddress(listener_)); }

  void Poll() {
    for (int fd = Accept(); fd >= 0; fd = Accept()) connections_.push_back({fd, {}, {}});
    for (Connection& connection : connections_) Read(connection);
  }
  // Answers the oldest open call, if there is one, or resets its connection.
  void Answer(CallState state) {
    for (Connection& connection : connections_) {
      if (connection.fd < 0 || connection.calls.empty() || connection.calls.back() != CallState::kOpen)
        continue;
      connection.calls.back() = state;
      if (state == CallState::kServed)
        raw::WriteAll(connection.fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      if (state == CallState::kRejected)
        raw::WriteAll(connection.fd, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
      if (state == CallState::kReset) Close(connection);
      return;
    }
  }
  int Count(CallState state) const {
    long count = 0;
    for (const Connection& c : connections_) count += std::count(c.calls.begin(), c.calls.end(), state);
    return static_cast<int>(count);
  }
  int CallsThatMayHaveRun() const {
    return Count(CallState::kOpen) + Count(CallState::kServed) + Count(CallState::kReset) +
           Count(CallState::kCancelled);
  }

 private:
  struct Connection {
    int fd = -1;
    std::string bytes;
    std::vector<CallState> calls;
  };

  int Accept() const { return accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); }
  static void Read(Connection& connection) {
    if (connection.fd < 0) return;
    const bool open = raw::ReadAll(connection.fd, connection.bytes);
    if (const std::size_t length = raw::CompleteMessageLength(connection.bytes)) {
      connection.bytes.erase(0, length);
      connection.calls.push_back(CallState::kOpen);
    }
    if (open) return;
    if (!connection.calls.empty() && connection.calls.back() == CallState::kOpen)
      connection.calls.back() = CallState::kCancelled;
    Close(connection);
  }
  static void Close(Connection& connection) {
    const linger reset{1, 0};
    setsockopt(connection.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(std::exchange(connection.fd, -1));
  }

  const int listener_;
  std::vector<Connection> connections_;
};

// What becomes of calls until Finish: they wait for their answers, so the request may have run, or each is
// rejected.
enum class CallsBefore { kOpen, kRejected };

// One request whose 202 is withheld, and what happens to it.
class LostResponseRun {
 public:
  LostResponseRun(const std::string& effect, CallsBefore calls)
      : folder_(fs::temp_directory_path() / ("opalroute-lost-response-" + std::to_string(getpid()))),
        calls_(calls),
        loop_(clock_),
        platform_(loop_) {
    fs::remove_all(folder_);
    fs::create_directories(folder_);
    nlohmann::json list = {{"generation", 1}, {"reset", true}, {"instances", nlohmann::json::array()}};
    list["instances"].push_back({{"instanceId", "e"},
                                 {"hostPort", endpoint_.address()},
                                 {"zone", "z0"},
                                 {"machineType", "plain"},
                                 {"cell", kDestination},
                                 {"lifecycle", "ready"}});
    platform_.SetEndpointList(list);
    const nlohmann::json file = {{"name", "n0"},
                                 {"listen", "127.0.0.1:0"},
                                 {"discovery", net::FormatAddress(platform_.address())},
                                 {"state", folder_.string()},
                                 {"seed", "1"},
                                 {"limits", {{"sockets", 1024}, {"disk_mb", 3}}},
                                 {"known", list},
                                 {"settings", lab::SettingsJson(ScenarioOf(effect), 0)}};
    config_ = config::Parse(file, [](const char*) { return std::nullopt; });
    relay_ = std::make_unique<Relay>(loop_, config_);
    withholding = true;
    withheld_connection = -1;
    client_ = Send("body");
    Run(kBetweenEvents);
    const auto expected =
        calls == CallsBefore::kOpen ? ManualEndpoint::CallState::kOpen : ManualEndpoint::CallState::kRejected;
    sent_ = endpoint_.Count(expected) > 0 && withheld_connection >= 0;
  }
  ~LostResponseRun() {
    withholding = false;
    if (client_ >= 0) close(client_);
    relay_.reset();
    fs::remove_all(folder_);
  }

  // Whether a call has begun and the 202 is withheld.
  bool sent() const { return sent_; }

  void Do(Event event) {
    switch (event) {
      case Event::kClientIsLost:
        LoseClient();
        break;
      case Event::kCopy:
        HandIn("body");
        break;
      case Event::kOtherContent: {
        const bool may_have_run = endpoint_.CallsThatMayHaveRun() > 0;
        const int status = HandIn("other");
        if (may_have_run) CHECK(status == 409);
        break;
      }
      case Event::kServed:
        endpoint_.Answer(ManualEndpoint::CallState::kServed);
        break;
      case Event::kReset:
        endpoint_.Answer(ManualEndpoint::CallState::kReset);
        break;
      case Event::kRejected:
        endpoint_.Answer(ManualEndpoint::CallState::kRejected);
        break;
    }
    Run(kBetweenEvents);
  }

  // Serves all calls that come from now on, until the end that is owed has come or its time is over.
  void Finish() {
    withholding = false;
    calls_ = CallsBefore::kOpen;
    const double until = clock_.Now() + kRemaining + kTolerance;
    while (clock_.Now() < until && !(IsOver() && (client_ < 0 || accepted_))) {
      endpoint_.Answer(ManualEndpoint::CallState::kServed);
      Run(kStep);
      if (client_ >= 0 && StatusOf(client_) == 202) accepted_ = true;
    }
  }
  // A client has read that the request is taken on.
  bool accepted() const { return accepted_; }
  bool IsOver() const {
    return endpoint_.Count(ManualEndpoint::CallState::kServed) > 0 ||
           platform_.notifications().count(kId) > 0;
  }
  const ManualEndpoint& endpoint() const { return endpoint_; }

 private:
  int Send(const std::string& body) const {
    const net::Headers headers = {{"Host", "a"},
                                  {"X-Txn", kId},
                                  {"X-Lane", "class"},
                                  {"X-Org", "lab"},
                                  {"X-Remaining-Ms", std::to_string(static_cast<int>(kRemaining * 1000))},
                                  {"Idempotency-Key", "k"},
                                  {"X-Addressing", "dest=" + std::to_string(kDestination)}};
    const int fd = raw::Connect(relay_->address());
    raw::WriteAll(fd, net::FormatRequest("POST", "/api", headers, body));
    return fd;
  }
  // Returns the status of what the connection has received; 0: nothing yet.
  static int StatusOf(int fd) {
    constexpr std::size_t kStatusAt = 9, kStatusLength = 3;
    std::string text;
    raw::ReadAll(fd, text);
    return text.size() < kStatusAt + kStatusLength ? 0 : std::stoi(text.substr(kStatusAt, kStatusLength));
  }
  int HandIn(const std::string& body) {
    const int fd = Send(body);
    Run(kBetweenEvents);
    const int status = StatusOf(fd);
    CHECK((status == 202 || status == 409 || status == 503));
    if (status == 202) accepted_ = true;
    close(fd);
    return status;
  }
  void LoseClient() {
    if (client_ < 0) return;
    const linger reset{1, 0};
    setsockopt(client_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(std::exchange(client_, -1));
    Run(kStep);
    withholding = false;  // the relay's side of the connection is closed: another one may get its number
  }
  void Run(double seconds) {
    for (const double until = clock_.Now() + seconds; clock_.Now() < until; clock_.Advance(kStep)) {
      loop_.RunOnce(0);
      sent_bytes_.Wait();
      endpoint_.Poll();
      if (calls_ == CallsBefore::kRejected) endpoint_.Answer(ManualEndpoint::CallState::kRejected);
    }
  }

  const fs::path folder_;
  CallsBefore calls_;
  lab::SimulatedClock clock_;
  net::EventLoop loop_;
  lab::FakePlatform platform_;
  ManualEndpoint endpoint_;
  Config config_;
  std::unique_ptr<Relay> relay_;
  const lab::LoopbackBarrier sent_bytes_;
  int client_ = -1;
  bool sent_ = false, accepted_ = false;
};

std::string NameOf(const std::vector<Event>& events) {
  constexpr const char* kNames[] = {"lost", "copy", "other", "served", "reset", "rejected"};
  std::string name;
  for (const Event event : events) name += std::string(" ") + kNames[static_cast<int>(event)];
  return name;
}

void CheckOrder(const std::string& effect, CallsBefore calls, const std::vector<Event>& events,
                int& copies_answered) {
  CAPTURE(effect);
  const std::string order = NameOf(events);
  CAPTURE(order);
  CAPTURE(static_cast<int>(calls));
  LostResponseRun run(effect, calls);
  REQUIRE(run.sent());
  for (const Event event : events) run.Do(event);
  run.Finish();
  if (run.accepted()) CHECK(run.IsOver());
  if (effect == "at_most_once") CHECK(run.endpoint().CallsThatMayHaveRun() <= 1);
  copies_answered += run.accepted() && events.front() == Event::kClientIsLost;
}

// Calls `check` with each order of up to `length` events.
template <typename Check>
void ForEachOrder(std::size_t length, std::vector<Event>& events, const Check& check) {
  if (!events.empty()) check(events);
  if (events.size() == length) return;
  for (const Event event : kEvents) {
    events.push_back(event);
    ForEachOrder(length, events, check);
    events.pop_back();
  }
}

void CheckAllOrders(CallsBefore calls) {
  constexpr std::size_t kLength = 3;
  for (const std::string effect : {"idempotent", "deduplicated", "at_most_once"}) {
    int copies_answered = 0;
    std::vector<Event> events;
    ForEachOrder(kLength, events,
                 [&](const auto& order) { CheckOrder(effect, calls, order, copies_answered); });
    MESSAGE(effect, ": a copy was answered 202 after its client was lost first in ", copies_answered,
            " orders");
    CHECK(copies_answered > 0);
  }
}

TEST_CASE("lost response: a request that may have run and whose copy is answered 202 is brought to an end") {
  CheckAllOrders(CallsBefore::kOpen);
}

TEST_CASE(
    "lost response: a request that was rejected so far and whose copy is answered 202 is brought to an end") {
  CheckAllOrders(CallsBefore::kRejected);
}

}  // namespace
}  // namespace opalroute
