// Connections and the two sides of HTTP on loopback sockets, without a relay.
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
#include "tests/support/hand_clock.h"
#include "tests/support/server_bounds.h"

namespace opalroute::net {
namespace {

class Taker : public Connection::Owner {
 public:
  void OnData(Connection& connection) override {
    taken += connection.in().size();
    while (!connection.in().empty()) connection.in().Consume(connection.in().size());
  }
  void OnEnd(Connection&, Connection::End) override { ended = true; }
  std::size_t taken = 0;
  bool ended = false;
};

// Guards against a sender at full speed that holds the thread, and against an edge that is lost meanwhile.
TEST_CASE("a connection reads no more in a turn than its ring holds, and goes on in the next") {
  const SystemClock clock;
  EventLoop loop(clock);
  int ends[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  const std::string bytes(32 * 1024, 'x');
  REQUIRE(send(ends[1], bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
  Taker taker;
  const auto connection = Connection::Adopt(loop, ends[0], taker, 1024, 1024);
  for (std::size_t turn = 1; turn <= 32; ++turn) {
    loop.RunOnce(0);
    CHECK(taker.taken == turn * 1024);
  }
  close(ends[1]);
  loop.RunOnce(0);
  CHECK(taker.ended);
}

class Wide : public HttpServer::Handler {
 public:
  HttpAnswer OnRequest(HttpMessage&) override { return {200, {}, std::string(3000, 'x'), 0}; }
  void OnAnswerLost(std::uint64_t) override {}
};

sockaddr_in Loopback() { return *ParseAddress("127.0.0.1:0"); }

// Guards against answers that are dropped since the client has not read the ones before them.
TEST_CASE("pipelined requests are all answered, however slowly the client reads") {
  const SystemClock clock;
  EventLoop loop(clock);
  const ServerBounds bounds = BoundsOf(4, 60);
  Wide handler;
  HttpServer server(loop, Loopback(), bounds, handler);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int small = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
  const sockaddr_in to = server.address();
  REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  constexpr int kRequests = 3000;  // their answers are more than any socket buffer here takes
  std::string out;
  for (int i = 0; i < kRequests; ++i) out += "GET / HTTP/1.1\r\n\r\n";
  std::size_t got = 0;
  const std::size_t whole = kRequests * WriteAnswer(200, {}, std::string(3000, 'x')).size();
  for (int idle = 0; idle < 2000 && got < whole;) {
    const ssize_t sent = out.empty() ? 0 : send(fd, out.data(), out.size(), MSG_NOSIGNAL);
    if (sent > 0) out.erase(0, static_cast<std::size_t>(sent));
    loop.RunOnce(0);
    char bytes[65536];
    const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
    if (count > 0) got += static_cast<std::size_t>(count);
    idle = count > 0 || sent > 0 ? 0 : idle + 1;
    if (idle > 0) usleep(1000);
  }
  CHECK(got == whole);
  close(fd);
}

// Guards against a full table that lets in one newcomer at a time: clients that ask once and hold on, more of
// them than there are places, are all answered at once.
TEST_CASE("clients that ask once and stay give way to newcomers without a wait") {
  const SystemClock clock;
  EventLoop loop(clock);
  ServerBounds bounds;
  bounds.http = {4096, 16, 4096};
  bounds.answer_bytes = 4096;
  bounds.connections = 8;
  bounds.reject_connections = 1;
  bounds.requests_a_turn = 4;
  bounds.first_time = bounds.request_time = bounds.idle_time = bounds.linger_time = 60;
  bounds.rest_time = bounds.silent_time = 60;  // nothing but an answer makes room here
  Wide handler;
  HttpServer server(loop, Loopback(), bounds, handler);
  const sockaddr_in to = server.address();
  std::vector<int> fds;
  int answered = 0;
  for (int i = 0; i < 40; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0);
    fds.push_back(fd);
    if (i % 2 == 0) continue;
    for (int turn = 0; turn < 5; ++turn) loop.RunOnce(0.002);  // accepted, and nothing said yet
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

// Guards against clients that leave connections open and use them no more: at the bound of their own they
// could open no further one, though the table here had room for theirs.
TEST_CASE("connections rest for less once they take more than half of the table") {
  HandClock clock;
  EventLoop loop(clock);
  ServerBounds bounds;
  bounds.http = {4096, 16, 4096};
  bounds.answer_bytes = 4096;
  bounds.connections = 8;
  bounds.requests_a_turn = 1;
  bounds.first_time = bounds.request_time = bounds.linger_time = 60;
  bounds.idle_time = 10;
  bounds.rest_time = 0.5;
  Wide handler;
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
  CHECK(server.connections() == 4);  // the two that came when half was taken
  clock.now += 10;
  loop.RunOnce(0);
  CHECK(server.connections() == 0);
  for (const int fd : fds) close(fd);
}

class Asking : public HttpClient::Call {
 public:
  std::string OnReady() override { return WriteRequest("GET", "/", {}, ""); }
  void OnAnswer(HttpMessage& answer) override { status = answer.status; }
  void OnBroken(HttpClient::Broken how, int) override {
    broken = true;
    why = how;
  }
  int status = 0;
  bool broken = false;
  HttpClient::Broken why{};
};

// Guards against a peer that inherits the connections of another that had its address, against tables that
// grow with every peer that was ever called, and against blaming a peer for our own full table.
TEST_CASE("peers at one address share no connection, and are forgotten with their last one") {
  const SystemClock clock;
  EventLoop loop(clock);
  const ServerBounds serve = BoundsOf(4, 60);
  Wide handler;
  HttpServer server(loop, Loopback(), serve, handler);
  ClientBounds bounds;
  bounds.http = {4096, 16, 4096};
  bounds.request_bytes = 4096;
  bounds.connections = 1;
  bounds.connect_time = bounds.idle_time = bounds.answer_time = 60;
  HttpClient client(loop, bounds);
  const auto run = [&](std::uint64_t number) {
    Asking call;
    client.Start({server.address(), number}, call);
    for (int i = 0; i < 2000 && call.status == 0; ++i) loop.RunOnce(0.01);
    return call.status;
  };
  CHECK(run(1) == 200);
  CHECK(run(1) == 200);
  CHECK(client.opened() == 1);
  CHECK(run(2) == 200);  // the table is full: the idle connection of the other goes
  CHECK(client.opened() == 2);
  CHECK(client.connections() == 1);
  Asking holds, refused;
  client.Start({server.address(), 2}, holds);
  client.Start({server.address(), 3}, refused);
  CHECK(refused.broken);
  CHECK(refused.why == HttpClient::Broken::kNoRoom);
  CHECK(client.Abandon(holds).written);
  loop.RunOnce(0);
  CHECK(client.places() == 0);
}

}  // namespace
}  // namespace opalroute::net
