// Tests calls and health checks that must no longer be sent once their connection is established.
#include "upstream/upstream_call.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/listener.h"
#include "upstream/health_check_call.h"

namespace opalroute {
namespace {

class RecordingOwner : public UpstreamCall::Owner {
 public:
  bool MaySend(const UpstreamCall&, const UpstreamCall::Attempt& attempt) override {
    return attempt.id == sendable_id;
  }
  bool RecordAttempt(const UpstreamCall&, const UpstreamCall::Attempt&) override { return records; }
  void OnOutcome(const UpstreamCall&, const UpstreamCall::Attempt& attempt, const AttemptOutcome& o,
                 ResponsePairing) override {
    outcomes.emplace_back(attempt.id, o.outcome);
  }
  void OnWritten(const UpstreamCall&, int requests) override { written += requests; }
  void OnEndedLate(const UpstreamCall&, const UpstreamCall::Attempt&, Outcome) override {}
  void OnCallEnded(UpstreamCall&) override { ++calls_ended; }
  std::string sendable_id;
  bool records = true;
  std::vector<std::pair<std::string, Outcome>> outcomes;
  int calls_ended = 0, written = 0;
};

net::ClientBounds BoundsOf(int connections) {
  net::ClientBounds bounds;
  bounds.http = {4096, 32, 4096};
  bounds.request_bytes = 4096;
  bounds.connections = connections;
  bounds.connect_timeout = bounds.idle_timeout = 60;
  return bounds;
}

// The kernel establishes the connection immediately, but the relay learns of it in the next iteration of its
// event loop. A Retry-After or a drain that arrives in between must stop the call before its first byte.
TEST_CASE("a request that may no longer be sent sends no byte and counts as not sent") {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = *net::ParseAddress("127.0.0.1:0");
  socklen_t size = sizeof(address);
  REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  REQUIRE(listen(listener, 8) == 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);

  const net::SystemClock clock;
  net::EventLoop loop(clock);
  net::HttpClient client(loop, BoundsOf(4));
  for (const std::string sendable_id : {"", "m2"}) {
    RecordingOwner owner;
    owner.sendable_id = sendable_id;
    UpstreamCall::Attempt one, two;
    one.request_id = 1;
    one.id = "m1";
    two.request_id = 2;
    two.id = "m2";
    one.timeout_at = two.timeout_at = loop.Now() + 60;
    UpstreamCall call(loop, client, 1, {address, 1}, {one, two}, owner);
    call.Start();
    for (int i = 0; i < 2000 && owner.outcomes.size() + sendable_id.size() / 2 < 2; ++i) loop.RunOnce(0.01);
    REQUIRE(owner.outcomes.size() == 2 - sendable_id.size() / 2);
    CHECK(owner.outcomes[0] == std::make_pair(std::string("m1"), Outcome::kNotSent));
    CHECK(owner.written == (sendable_id.empty() ? 0 : 1));
    CHECK(owner.calls_ended == (sendable_id.empty() ? 1 : 0));
  }
  const int fd = accept(listener, nullptr, nullptr);
  char bytes[4096];
  const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
  REQUIRE(count > 0);
  const std::string got(bytes, static_cast<std::size_t>(count));
  CHECK(got.find("POST /hook HTTP/1.1") == 0);  // m2 is sent alone, on the connection that was kept
  CHECK(got.find("X-Txn: m2") != std::string::npos);
  CHECK(got.find("m1") == std::string::npos);
  close(fd);
  close(listener);
}

// Guards against sending attempts that are not in the journal and that a restart would not know of, and
// against attempts used up by a shortage of the relay itself.
TEST_CASE("a request that can't be recorded, or for which the relay has no connection left, is not sent") {
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  std::vector<int> accepted;
  const net::Listener listener(loop, *net::ParseAddress("127.0.0.1:0"),
                               [&](int fd) { accepted.push_back(fd); });
  for (const int connections : {1, 0}) {
    net::HttpClient client(loop, BoundsOf(connections));
    RecordingOwner owner;
    owner.sendable_id = "m1";
    owner.records = false;
    UpstreamCall::Attempt attempt;
    attempt.request_id = 1;
    attempt.id = "m1";
    attempt.timeout_at = loop.Now() + 60;
    UpstreamCall call(loop, client, 1, {listener.address(), 1}, {attempt}, owner);
    call.Start();
    for (int i = 0; i < 2000 && owner.outcomes.empty(); ++i) loop.RunOnce(0.01);
    REQUIRE(owner.outcomes.size() == 1);
    CHECK(owner.outcomes[0].second == Outcome::kLocalShortage);
    CHECK(owner.written == 0);
    CHECK(owner.calls_ended == 1);
  }
  for (const int fd : accepted) close(fd);
}

// Guards against the same for a health check, which counts as a call.
TEST_CASE("a health check that may no longer be sent sends no byte and counts as not sent") {
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  std::vector<int> accepted;
  net::Listener listener(loop, *net::ParseAddress("127.0.0.1:0"), [&](int fd) { accepted.push_back(fd); });
  net::HttpClient client(loop, BoundsOf(4));
  std::vector<Outcome> outcomes;
  HealthCheckCall health_check(
      loop, client, 1, {listener.address(), 1}, 60, [] { return false; },
      [&](HealthCheckCall&, const HealthCheckOutcome& outcome) { outcomes.push_back(outcome.outcome); });
  health_check.Start();
  for (int i = 0; i < 2000 && (accepted.empty() || outcomes.empty()); ++i) loop.RunOnce(0.01);
  CHECK(outcomes == std::vector<Outcome>{Outcome::kNotSent});
  char byte = 0;
  CHECK(recv(accepted.at(0), &byte, 1, MSG_DONTWAIT) < 0);  // nothing was sent
  close(accepted.at(0));
}

}  // namespace
}  // namespace opalroute
