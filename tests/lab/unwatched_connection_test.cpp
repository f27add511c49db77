// Clients that send a request on a connection whatever has become of it.
#include "lab/sockets/unwatched_connection.h"

#include <doctest/doctest.h>

#include <optional>

#include "net/address.h"
#include "tests/support/hand_clock.h"
#include "tests/support/server_bounds.h"

namespace opalroute::lab {
namespace {

constexpr net::Seconds kFirstRequestWithin = 2;
const char* const kRequest = "GET / HTTP/1.1\r\nHost: lab\r\n\r\n";

class Server : public net::HttpServer::Handler {
 public:
  net::HttpResponse OnRequest(net::HttpMessage&) override { return net::PlainTextResponse(200, "here"); }
  void OnResponseLost(std::uint64_t) override {}
};

class Request : public net::HttpClient::Call {
 public:
  std::string OnReady() override { return {}; }
  void OnResponse(net::HttpMessage& answer) override { status = answer.status; }
  void OnFailure(net::HttpClient::Failure how, int) override { broken = how; }
  int status = 0;
  std::optional<net::HttpClient::Failure> broken;
};

struct Meeting {
  net::ManualClock clock;
  net::EventLoop loop{clock};
  Server handler;
  net::HttpServer server{loop, *net::ParseAddress("127.0.0.1:0"),
                         net::TestServerBounds(4, kFirstRequestWithin), handler};
  std::unique_ptr<UnwatchedConnection> connection = UnwatchedConnection::Connect(server.address());
  Request request;

  Meeting() { Turns(); }
  void Turns() {
    for (int turn = 0; turn < 20; ++turn) loop.RunOnce(0.001);
  }
  void GiveUp() {
    clock.now += kFirstRequestWithin + 0.1;
    Turns();
  }
};

TEST_CASE("lab: a request on a connection that nobody watched is answered while the server keeps it") {
  Meeting m;
  REQUIRE(m.server.connections() == 1);
  CHECK(m.connection->Send(std::string_view(kRequest).substr(0, 10)));
  m.Turns();
  CHECK(m.connection->Send(std::string_view(kRequest).substr(10)));
  m.connection->Watch(m.loop, m.request);
  m.Turns();
  CHECK(m.request.status == 200);
  CHECK_FALSE(m.request.broken);
}

// Guards against a client that hears of the end in time and sends nothing: then no request crosses it.
TEST_CASE("lab: a request goes out on a connection that the server has closed, and breaks with it") {
  Meeting m;
  m.GiveUp();
  REQUIRE(m.server.connections() == 0);
  CHECK(m.connection->Send(kRequest));
  m.connection->Watch(m.loop, m.request);
  m.Turns();
  CHECK(m.request.status == 0);
  CHECK(m.request.broken == net::HttpClient::Failure::kReset);
}

TEST_CASE("lab: a request that comes in two halves too far apart hears why, and no more is sent") {
  Meeting m;
  CHECK(m.connection->Send(std::string_view(kRequest).substr(0, 10)));
  m.Turns();
  m.GiveUp();
  m.connection->Send(std::string_view(kRequest).substr(10));
  m.connection->Watch(m.loop, m.request);
  m.Turns();
  CHECK(m.request.status == 408);
}

TEST_CASE("lab: nobody listens, and the connection takes nothing") {
  Meeting m;
  const sockaddr_in address = m.server.address();
  m.server.StopAccepting();
  const auto refused = UnwatchedConnection::Connect(address);
  CHECK((refused == nullptr || !refused->Send(kRequest)));
}

}  // namespace
}  // namespace opalroute::lab
