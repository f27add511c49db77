// Tests of clients that send a request on an idle connection without knowing its state.
#include "lab/sockets/unwatched_connection.h"

#include <doctest/doctest.h>

#include <optional>

#include "net/address.h"
#include "tests/support/manual_clock.h"
#include "tests/support/server_bounds.h"

namespace opalroute::lab {
namespace {

constexpr net::Seconds kFirstRequestTimeout = 2;
const char* const kRequest = "GET / HTTP/1.1\r\nHost: lab\r\n\r\n";

class Server : public net::HttpServer::Handler {
 public:
  net::HttpResponse OnRequest(net::HttpMessage&) override { return net::PlainTextResponse(200, "here"); }
  void OnResponseLost(std::uint64_t) override {}
};

class Request : public net::HttpClient::Call {
 public:
  std::string OnReady() override { return {}; }
  void OnResponse(net::HttpMessage& response) override { status = response.status; }
  void OnFailure(net::HttpClient::Failure reason, int) override { failure = reason; }
  int status = 0;
  std::optional<net::HttpClient::Failure> failure;
};

struct Fixture {
  net::ManualClock clock;
  net::EventLoop loop{clock};
  Server handler;
  net::HttpServer server{loop, *net::ParseAddress("127.0.0.1:0"),
                         net::TestServerBounds(4, kFirstRequestTimeout), handler};
  std::unique_ptr<UnwatchedConnection> connection = UnwatchedConnection::Connect(server.address());
  Request request;

  Fixture() { RunLoop(); }
  void RunLoop() {
    for (int turn = 0; turn < 20; ++turn) loop.RunOnce(0.001);
  }
  // The server closes the connection because no whole request has arrived in time.
  void PassFirstRequestTimeout() {
    clock.now += kFirstRequestTimeout + 0.1;
    RunLoop();
  }
};

TEST_CASE("lab: a request on an unwatched connection is answered while the server keeps it open") {
  Fixture f;
  REQUIRE(f.server.connections() == 1);
  CHECK(f.connection->Send(std::string_view(kRequest).substr(0, 10)));
  f.RunLoop();
  CHECK(f.connection->Send(std::string_view(kRequest).substr(10)));
  f.connection->Watch(f.loop, f.request);
  f.RunLoop();
  CHECK(f.request.status == 200);
  CHECK_FALSE(f.request.failure);
}

// Guards against a client that notices the close in time and sends nothing: no request would then race with
// it.
TEST_CASE("lab: a request on a connection that the server has closed is sent and fails") {
  Fixture f;
  f.PassFirstRequestTimeout();
  REQUIRE(f.server.connections() == 0);
  CHECK(f.connection->Send(kRequest));
  f.connection->Watch(f.loop, f.request);
  f.RunLoop();
  CHECK(f.request.status == 0);
  CHECK(f.request.failure == net::HttpClient::Failure::kReset);
}

TEST_CASE("lab: a request whose second half comes too late gets a 408") {
  Fixture f;
  CHECK(f.connection->Send(std::string_view(kRequest).substr(0, 10)));
  f.RunLoop();
  f.PassFirstRequestTimeout();
  f.connection->Send(std::string_view(kRequest).substr(10));
  f.connection->Watch(f.loop, f.request);
  f.RunLoop();
  CHECK(f.request.status == 408);
}

TEST_CASE("lab: a connection to an address without a listener sends nothing") {
  Fixture f;
  const sockaddr_in address = f.server.address();
  f.server.StopAccepting();
  const auto refused = UnwatchedConnection::Connect(address);
  CHECK((refused == nullptr || !refused->Send(kRequest)));
}

}  // namespace
}  // namespace opalroute::lab
