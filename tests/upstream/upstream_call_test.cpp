// A server-side flow whose message may not leave any more when its connection has come up.
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

class Watcher : public UpstreamCall::Owner {
 public:
  bool MaySend(const UpstreamCall&, const UpstreamCall::Member& member) override {
    return member.id == allowed;
  }
  bool RecordAttempt(const UpstreamCall&, const UpstreamCall::Member&) override { return records; }
  void OnOutcome(const UpstreamCall&, const UpstreamCall::Member& member, const AttemptOutcome& o) override {
    outcomes.emplace_back(member.id, o.outcome);
  }
  void OnWritten(int messages) override { written += messages; }
  void OnServedLate(RequestId) override {}
  void OnCallEnded(UpstreamCall&) override { ++over; }
  std::string allowed;
  bool records = true;
  std::vector<std::pair<std::string, Outcome>> outcomes;
  int over = 0, written = 0;
};

net::ClientBounds BoundsOf(int connections) {
  net::ClientBounds bounds;
  bounds.http = {4096, 32, 4096};
  bounds.request_bytes = 4096;
  bounds.connections = connections;
  bounds.connect_timeout = bounds.idle_timeout = 60;
  return bounds;
}

// The connection is up in the kernel at once, but the relay hears of it only in the next round of its loop:
// a wait or a drain that is told in between must stop the call before its first byte.
TEST_CASE("what may not leave any more sends no byte and has never run") {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = *net::ParseAddress("127.0.0.1:0");
  socklen_t size = sizeof(address);
  REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  REQUIRE(listen(listener, 8) == 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);

  const net::SystemClock clock;
  net::EventLoop loop(clock);
  net::HttpClient client(loop, BoundsOf(4));
  for (const std::string allowed : {"", "m2"}) {
    Watcher watcher;
    watcher.allowed = allowed;
    UpstreamCall::Member one, two;
    one.request_id = 1;
    one.id = "m1";
    two.request_id = 2;
    two.id = "m2";
    one.timeout_at = two.timeout_at = loop.Now() + 60;
    UpstreamCall flow(loop, client, 1, address, {one, two}, watcher);
    flow.Start();
    for (int i = 0; i < 2000 && watcher.outcomes.size() + allowed.size() / 2 < 2; ++i) loop.RunOnce(0.01);
    REQUIRE(watcher.outcomes.size() == 2 - allowed.size() / 2);
    CHECK(watcher.outcomes[0] == std::make_pair(std::string("m1"), Outcome::kNotSent));
    CHECK(watcher.written == (allowed.empty() ? 0 : 1));
    CHECK(watcher.over == (allowed.empty() ? 1 : 0));
  }
  const int fd = accept(listener, nullptr, nullptr);
  char bytes[4096];
  const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
  REQUIRE(count > 0);
  const std::string got(bytes, static_cast<std::size_t>(count));
  CHECK(got.find("POST /hook HTTP/1.1") == 0);  // the other one leaves alone, on the connection that was kept
  CHECK(got.find("X-Txn: m2") != std::string::npos);
  CHECK(got.find("m1") == std::string::npos);
  close(fd);
  close(listener);
}

// Guards against attempts that a restart would not know of, and against tries used up by this relay's own
// troubles.
TEST_CASE("what can't be recorded, or finds no connection of this relay's, has not left and is no try") {
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  std::vector<int> taken;
  const net::Listener listener(loop, *net::ParseAddress("127.0.0.1:0"), [&](int fd) { taken.push_back(fd); });
  for (const int connections : {1, 0}) {
    net::HttpClient client(loop, BoundsOf(connections));
    Watcher watcher;
    watcher.allowed = "m1";
    watcher.records = false;
    UpstreamCall::Member member;
    member.request_id = 1;
    member.id = "m1";
    member.timeout_at = loop.Now() + 60;
    UpstreamCall flow(loop, client, 1, listener.address(), {member}, watcher);
    flow.Start();
    for (int i = 0; i < 2000 && watcher.outcomes.empty(); ++i) loop.RunOnce(0.01);
    REQUIRE(watcher.outcomes.size() == 1);
    CHECK(watcher.outcomes[0].second == Outcome::kLocalShortage);
    CHECK(watcher.written == 0);
    CHECK(watcher.over == 1);
  }
  for (const int fd : taken) close(fd);
}

// The same for a probe, which counts as a call.
TEST_CASE("a probe that may not leave any more sends no byte, and fails nobody") {
  const net::SystemClock clock;
  net::EventLoop loop(clock);
  std::vector<int> taken;
  net::Listener listener(loop, *net::ParseAddress("127.0.0.1:0"), [&](int fd) { taken.push_back(fd); });
  net::HttpClient client(loop, BoundsOf(4));
  std::vector<Outcome> outcomes;
  HealthCheckCall probe(
      loop, client, 1, listener.address(), 60, [] { return false; },
      [&](HealthCheckCall&, const HealthCheckOutcome& outcome) { outcomes.push_back(outcome.outcome); });
  probe.Start();
  for (int i = 0; i < 2000 && (taken.empty() || outcomes.empty()); ++i) loop.RunOnce(0.01);
  CHECK(outcomes == std::vector<Outcome>{Outcome::kNotSent});
  char byte = 0;
  CHECK(recv(taken.at(0), &byte, 1, MSG_DONTWAIT) < 0);  // nothing has come
  close(taken.at(0));
}

}  // namespace
}  // namespace opalroute
