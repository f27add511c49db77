// Tests of Connection, HttpServer and HttpClient on local sockets, without a relay.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "net/address.h"
#include "net/connection.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "tests/support/manual_clock.h"
#include "tests/support/server_bounds.h"

namespace opalroute::net {
namespace {

class CountingOwner : public Connection::Owner {
 public:
  void OnData(Connection& connection) override {
    received += connection.in().size();
    while (!connection.in().empty()) connection.in().Consume(connection.in().size());
  }
  void OnClosed(Connection&, Connection::CloseReason) override { closed = true; }
  std::size_t received = 0;
  bool closed = false;
};

// Guards against a sender at full speed that occupies the thread, and against losing the edge-triggered event
// when reading stops early.
TEST_CASE("a connection reads no more than its buffer holds per loop iteration, and continues in the next") {
  const SystemClock clock;
  EventLoop loop(clock);
  int ends[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  const std::string bytes(32 * 1024, 'x');
  REQUIRE(send(ends[1], bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
  CountingOwner owner;
  const auto connection = Connection::Adopt(loop, ends[0], owner, {1024, 1024});
  for (std::size_t turn = 1; turn <= 32; ++turn) {
    loop.RunOnce(0);
    CHECK(owner.received == turn * 1024);
  }
  close(ends[1]);
  loop.RunOnce(0);
  CHECK(owner.closed);
}

class LargeResponseHandler : public HttpServer::Handler {
 public:
  HttpResponse OnRequest(HttpMessage&) override { return {200, {}, std::string(3000, 'x'), 0}; }
  void OnResponseLost(std::uint64_t) override {}
};

sockaddr_in Loopback() { return *ParseAddress("127.0.0.1:0"); }

// Guards against dropping responses because the client has not yet read the previous ones.
TEST_CASE("pipelined requests are all answered, however slowly the client reads") {
  const SystemClock clock;
  EventLoop loop(clock);
  const ServerBounds bounds = TestServerBounds(4, 60);
  LargeResponseHandler handler;
  HttpServer server(loop, Loopback(), bounds, handler);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int small = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
  const sockaddr_in to = server.address();
  REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  constexpr int kRequests = 3000;  // the responses exceed the socket buffers
  std::string out;
  for (int i = 0; i < kRequests; ++i) out += "GET / HTTP/1.1\r\n\r\n";
  std::size_t got = 0;
  const std::size_t expected = kRequests * FormatResponse(200, {}, std::string(3000, 'x')).size();
  for (int idle = 0; idle < 2000 && got < expected;) {
    const ssize_t sent = out.empty() ? 0 : send(fd, out.data(), out.size(), MSG_NOSIGNAL);
    if (sent > 0) out.erase(0, static_cast<std::size_t>(sent));
    loop.RunOnce(0);
    char bytes[65536];
    const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
    if (count > 0) got += static_cast<std::size_t>(count);
    idle = count > 0 || sent > 0 ? 0 : idle + 1;
    if (idle > 0) usleep(1000);
  }
  CHECK(got == expected);
  close(fd);
}

// Guards against a full server that accepts only one new connection at a time: clients that send one request
// and keep their connections open, more of them than the connection limit, are all answered without a wait.
TEST_CASE("a full server closes idle connections for new clients without a wait") {
  const SystemClock clock;
  EventLoop loop(clock);
  ServerBounds bounds;
  bounds.http = {4096, 16, 4096};
  bounds.response_bytes = 4096;
  bounds.connections = 8;
  bounds.reject_connections = 1;
  bounds.requests_per_turn = 4;
  bounds.first_request_timeout = bounds.request_timeout = bounds.idle_timeout = bounds.linger_timeout = 60;
  // So long that only connections that were just answered can make room.
  bounds.crowded_idle_timeout = bounds.silent_timeout = 60;
  LargeResponseHandler handler;
  HttpServer server(loop, Loopback(), bounds, handler);
  const sockaddr_in to = server.address();
  std::vector<int> fds;
  int answered = 0;
  for (int i = 0; i < 40; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0);
    fds.push_back(fd);
    if (i % 2 == 0) continue;
    for (int turn = 0; turn < 5; ++turn) loop.RunOnce(0.002);  // accepted, no request sent yet
    for (int j = i - 1; j <= i; ++j) send(fds[j], "GET / HTTP/1.1\r\n\r\n", 18, MSG_NOSIGNAL);
    for (int turn = 0; turn < 20; ++turn) loop.RunOnce(0.002);
    for (int j = i - 1; j <= i; ++j) {
      char byte = 0;
      answered += recv(fds[j], &byte, 1, MSG_DONTWAIT) == 1 ? 1 : 0;
    }
  }
  CHECK(answered == 40);
  for (const int fd : fds) close(fd);
}

// Guards against clients that leave unused connections open: once they reach their own connection limit they
// can't open another one, even though the server would accept it.
TEST_CASE("the idle timeout is shorter while more than half of the connections are in use") {
  ManualClock clock;
  EventLoop loop(clock);
  ServerBounds bounds;
  bounds.http = {4096, 16, 4096};
  bounds.response_bytes = 4096;
  bounds.connections = 8;
  bounds.requests_per_turn = 1;
  bounds.first_request_timeout = bounds.request_timeout = bounds.linger_timeout = 60;
  bounds.idle_timeout = 10;
  bounds.crowded_idle_timeout = 0.5;
  LargeResponseHandler handler;
  HttpServer server(loop, Loopback(), bounds, handler);
  const sockaddr_in to = server.address();
  std::vector<int> fds;
  for (int i = 0; i < 6; ++i) {
    fds.push_back(socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(connect(fds[i], reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0);
    send(fds[i], "GET / HTTP/1.1\r\n\r\n", 18, MSG_NOSIGNAL);
    char byte = 0;
    for (int turn = 0; turn < 2000 && recv(fds[i], &byte, 1, MSG_DONTWAIT) != 1; ++turn) loop.RunOnce(0.001);
  }
  CHECK(server.connections() == 6);
  clock.now += 0.6;
  loop.RunOnce(0);
  CHECK(server.connections() == 4);  // the last two were answered when more than half were in use
  clock.now += 10;
  loop.RunOnce(0);
  CHECK(server.connections() == 0);
  for (const int fd : fds) close(fd);
}

class RecordingCall : public HttpClient::Call {
 public:
  std::string OnReady() override { return FormatRequest("GET", "/", {}, ""); }
  void OnResponse(HttpMessage& response) override { status = response.status; }
  void OnFailure(HttpClient::Failure how, int) override {
    broken = true;
    failure = how;
  }
  int status = 0;
  bool broken = false;
  HttpClient::Failure failure{};
};

// Guards against reusing the connections of a former peer at the same address, against a map that grows with
// every peer ever called, and against reporting the client's own connection limit as a failure of the peer.
TEST_CASE("peers at one address share no connections, and their pools are removed with the last one") {
  const SystemClock clock;
  EventLoop loop(clock);
  const ServerBounds server_bounds = TestServerBounds(4, 60);
  LargeResponseHandler handler;
  HttpServer server(loop, Loopback(), server_bounds, handler);
  ClientBounds bounds;
  bounds.http = {4096, 16, 4096};
  bounds.request_bytes = 4096;
  bounds.connections = 1;
  bounds.connect_timeout = bounds.idle_timeout = bounds.response_timeout = 60;
  HttpClient client(loop, bounds);
  const auto call_peer = [&](std::uint64_t number) {
    RecordingCall call;
    client.Start({server.address(), number}, call);
    for (int i = 0; i < 2000 && call.status == 0; ++i) loop.RunOnce(0.01);
    return call.status;
  };
  CHECK(call_peer(1) == 200);
  CHECK(call_peer(1) == 200);
  CHECK(client.opened() == 1);
  CHECK(call_peer(2) == 200);  // at the limit: the idle connection to peer 1 is closed
  CHECK(client.opened() == 2);
  CHECK(client.connections() == 1);
  RecordingCall pending, refused;
  client.Start({server.address(), 2}, pending);
  client.Start({server.address(), 3}, refused);
  CHECK(refused.broken);
  CHECK(refused.failure == HttpClient::Failure::kNoLocalConnection);
  CHECK(client.Abandon(pending).written);
  loop.RunOnce(0);
  CHECK(client.pool_count() == 0);
}

}  // namespace
}  // namespace opalroute::net
