// Injects each documented error of each socket call at each point of an HTTP exchange that makes the call.
// Temporary errors are retried, errors that break a connection are reported to its owner, and nothing waits
// for an event that never comes.
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cerrno>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "net/address.h"
#include "net/datagram.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/listener.h"

namespace {

enum class Call { kSocket, kConnect, kAccept, kPoll, kEpollWait, kRead, kPeek, kWrite, kReceive };

// The first `passes` calls of one kind are made as usual, the next `failures` calls fail with `error`.
struct Fault {
  Call call{};
  int error = 0, passes = 0, failures = 0;
};
Fault fault;

bool ShouldFail(Call call) {
  if (call != fault.call || fault.failures == 0) return false;
  if (fault.passes > 0) {
    --fault.passes;
    return false;
  }
  --fault.failures;
  errno = fault.error;
  return true;
}

template <typename... Arguments>
long RealCall(long number, Arguments... arguments) {
  return syscall(number, arguments...);
}

}  // namespace

// Replace the functions of the C library in this executable.
extern "C" {

int socket(int domain, int type, int protocol) noexcept {
  return ShouldFail(Call::kSocket) ? -1 : static_cast<int>(RealCall(SYS_socket, domain, type, protocol));
}
// EINTR: the connection is still being established. Any other error: no connect is made, and none is pending
// on the socket.
int connect(int fd, const sockaddr* address, socklen_t size) {
  if (!ShouldFail(Call::kConnect)) return static_cast<int>(RealCall(SYS_connect, fd, address, size));
  if (errno != EINTR) return -1;
  const int result = static_cast<int>(RealCall(SYS_connect, fd, address, size));
  if (result == 0 || errno == EINPROGRESS) errno = EINTR;
  return -1;
}
int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  return ShouldFail(Call::kAccept) ? -1 : static_cast<int>(RealCall(SYS_accept4, fd, address, size, flags));
}
int poll(pollfd* fds, nfds_t count, int milliseconds) {
  if (ShouldFail(Call::kPoll)) return -1;
  timespec timeout{milliseconds / 1000, milliseconds % 1000 * 1'000'000L};
  timespec* const limit = milliseconds < 0 ? nullptr : &timeout;  // null: waits without a limit
  constexpr std::size_t kSignalSetBytes = 8;
  return static_cast<int>(RealCall(SYS_ppoll, fds, count, limit, nullptr, kSignalSetBytes));
}
int epoll_wait(int epoll, epoll_event* events, int most, int milliseconds) {
  if (ShouldFail(Call::kEpollWait)) return -1;
  return static_cast<int>(RealCall(SYS_epoll_pwait, epoll, events, most, milliseconds, nullptr, 8));
}
ssize_t readv(int fd, const iovec* parts, int count) {
  return ShouldFail(Call::kRead) ? -1 : RealCall(SYS_readv, fd, parts, count);
}
ssize_t recv(int fd, void* bytes, size_t size, int flags) {
  return ShouldFail(Call::kPeek) ? -1 : RealCall(SYS_recvfrom, fd, bytes, size, flags, nullptr, nullptr);
}
ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  return ShouldFail(Call::kWrite) ? -1 : RealCall(SYS_sendmsg, fd, message, flags);
}
ssize_t recvfrom(int fd, void* bytes, size_t size, int flags, sockaddr* from, socklen_t* from_size) {
  return ShouldFail(Call::kReceive) ? -1 : RealCall(SYS_recvfrom, fd, bytes, size, flags, from, from_size);
}

}  // extern "C"

namespace opalroute::net {
namespace {

constexpr HttpBounds kBounds{16 * 1024, 64, 1 << 20};
constexpr Seconds kTimeout = 0.5;  // an exchange takes less; all timeouts of client and server are longer

sockaddr_in AnyPort() { return *ParseAddress("127.0.0.1:0"); }

// Client and server on one loop. Repeated requests reuse the kept-alive connection.
class Exchange : private HttpServer::Handler, private HttpClient::Call {
 public:
  Exchange() : server_(loop_, AnyPort(), ServerSide(), *this), client_(loop_, ClientSide()) {}

  // Sends one more request. Returns whether the call ended within the timeout.
  bool SendRequest() {
    done_ = false;
    answered = broken = false;
    served = 0;
    client_.Start({server_.address(), 0}, *this);
    const Seconds until = loop_.Now() + kTimeout;
    while (!done_ && loop_.Now() < until) loop_.RunOnce(0.01);
    if (!done_) client_.Abandon(*this);
    return done_;
  }

  bool answered = false, broken = false;
  HttpClient::Failure failure{};
  int served = 0;  // requests that the server has received

 private:
  static ServerBounds ServerSide() {
    ServerBounds bounds;
    bounds.http = kBounds;
    bounds.response_bytes = 4096;
    bounds.connections = 16;
    bounds.requests_per_turn = 4;
    bounds.first_request_timeout = bounds.request_timeout = bounds.idle_timeout =
        bounds.crowded_idle_timeout = bounds.linger_timeout = 10;
    bounds.silent_timeout = 2;
    bounds.linger_bytes = 4096;
    return bounds;
  }
  static ClientBounds ClientSide() {
    ClientBounds bounds;
    bounds.http = kBounds;
    bounds.request_bytes = 4096;
    bounds.connections = 4;
    bounds.connect_timeout = bounds.idle_timeout = bounds.response_timeout = bounds.response_rest_timeout =
        10;
    return bounds;
  }
  HttpResponse OnRequest(HttpMessage&) override {
    ++served;
    return {200, {}, "well", 0};
  }
  void OnResponseLost(std::uint64_t) override {}
  std::string OnReady() override { return FormatRequest("POST", "/", {{"Host", "test"}}, "text"); }
  void OnResponse(HttpMessage& response) override {
    answered = response.status == 200 && response.body == "well";
    done_ = true;
  }
  void OnFailure(HttpClient::Failure how, int) override {
    failure = how;
    done_ = broken = true;
  }

  const SystemClock clock_;
  EventLoop loop_{clock_};
  HttpServer server_;
  HttpClient client_;
  bool done_ = false;
};

enum class Expected {
  kPasses,   // answered: the error is temporary, or does not concern this connection
  kLocal,    // answered, or the call fails with kNoLocalConnection
  kRefused,  // the call fails with kNotConnected
  kBreaks,   // answered on another connection, or failed: with kReset if the server has received the request
};

struct FaultCase {
  Call call;
  const char* name;
  Expected expected;
  std::vector<int> errors;
};

const std::vector<FaultCase>& FaultCases() {
  static const std::vector<FaultCase> cases = {
      {Call::kSocket, "socket", Expected::kLocal, {EMFILE, ENFILE, ENOBUFS, ENOMEM}},
      {Call::kConnect,
       "connect",
       Expected::kLocal,
       {EADDRNOTAVAIL, EADDRINUSE, EAGAIN, ENOBUFS, ENOMEM, ENETUNREACH, ENETDOWN, EACCES, EPERM}},
      {Call::kConnect, "connect", Expected::kRefused, {ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ECONNRESET}},
      {Call::kConnect, "connect", Expected::kPasses, {EINTR}},
      {Call::kAccept,
       "accept4",
       Expected::kPasses,
       {ECONNABORTED, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM, EPROTO, ENETDOWN, ENETUNREACH,
        EHOSTUNREACH, EHOSTDOWN, ENONET, ENOPROTOOPT, EOPNOTSUPP}},
      {Call::kPoll, "poll", Expected::kPasses, {EINTR, ENOMEM}},
      {Call::kEpollWait, "epoll_wait", Expected::kPasses, {EINTR}},
      {Call::kRead, "readv", Expected::kPasses, {EINTR, ENOMEM, ENOBUFS}},
      {Call::kRead, "readv", Expected::kBreaks, {ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, EIO}},
      {Call::kPeek, "recv", Expected::kPasses, {EINTR, ENOMEM}},
      {Call::kWrite, "sendmsg", Expected::kPasses, {EINTR, ENOBUFS, ENOMEM}},
      {Call::kWrite, "sendmsg", Expected::kBreaks, {ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH}},
  };
  return cases;
}

void CheckOutcome(const Exchange& exchange, Expected expected) {
  CHECK(exchange.served <= 1);
  switch (expected) {
    case Expected::kPasses:
      CHECK(exchange.answered);
      break;
    case Expected::kLocal:
      CHECK((exchange.answered || exchange.failure == HttpClient::Failure::kNoLocalConnection));
      break;
    case Expected::kRefused:
      CHECK(exchange.failure == HttpClient::Failure::kNotConnected);
      break;
    case Expected::kBreaks:
      if (exchange.served > 0 && exchange.broken) CHECK(exchange.failure == HttpClient::Failure::kReset);
      break;
  }
}

// Injects the fault into each call of its kind in turn, on a new connection and on a kept-alive one.
void RunFaultCase(const FaultCase& fault_case, int error, int in_a_row) {
  bool injected = true;
  int positions = 0;
  for (int passes = 0; injected; ++passes) {
    CAPTURE(passes);
    Exchange exchange;
    fault = {fault_case.call, error, passes, in_a_row};
    for (int request = 0; request < 2 && fault.failures > 0; ++request) {
      CAPTURE(request);
      CHECK_MESSAGE(exchange.SendRequest(), "the call waits for an event that never comes");
      const bool injected_now = fault.failures < in_a_row;
      CheckOutcome(exchange, injected_now ? fault_case.expected : Expected::kPasses);
    }
    injected = fault.failures < in_a_row;
    fault = {};
    positions += injected ? 1 : 0;
    CHECK(exchange.SendRequest());
    CHECK((!injected || exchange.answered || exchange.broken));
  }
  CHECK(positions > 0);
}

TEST_CASE("socket faults: each documented error of each call at each point of an exchange") {
  for (const FaultCase& fault_case : FaultCases())
    for (const int error : fault_case.errors)
      for (const int in_a_row : {1, 3}) {
        if (in_a_row > 1 && fault_case.expected != Expected::kPasses) continue;
        CAPTURE(fault_case.name);
        CAPTURE(error);
        CAPTURE(in_a_row);
        RunFaultCase(fault_case, error, in_a_row);
      }
}

// Guards against a call that keeps waiting after its connection was dropped and no other one is opened.
TEST_CASE(
    "socket faults: a connection closed right after it is established fails the call that waits for it") {
  class Caller : public HttpClient::Call {
   public:
    std::string OnReady() override { return "GET / HTTP/1.1\r\n\r\n"; }
    void OnResponse(HttpMessage&) override {}
    void OnFailure(HttpClient::Failure, int) override { broken = true; }
    bool broken = false;
  };
  const SystemClock clock;
  EventLoop loop(clock);
  const Listener listener(loop, AnyPort(), [](int fd) { close(fd); });
  ClientBounds bounds;
  bounds.http = kBounds;
  bounds.request_bytes = 4096;
  bounds.connections = 4;
  bounds.connect_timeout = bounds.idle_timeout = bounds.response_timeout = bounds.response_rest_timeout = 10;
  HttpClient client(loop, bounds);
  Caller caller;
  client.Start({listener.address(), 0}, caller);
  const Seconds until = loop.Now() + kTimeout;
  while (!caller.broken && loop.Now() < until) {
    usleep(1000);  // so that one iteration sees both the connect and the close
    loop.RunOnce(0.01);
  }
  CHECK(caller.broken);
}

TEST_CASE("socket faults: a listener accepts all pending connections after accept has failed for a while") {
  const SystemClock clock;
  EventLoop loop(clock);
  std::vector<int> accepted;
  const Listener listener(loop, AnyPort(), [&](int fd) { accepted.push_back(fd); });
  const sockaddr_in address = listener.address();
  std::vector<int> callers;
  for (int i = 0; i < 2; ++i) {
    callers.push_back(static_cast<int>(syscall(SYS_socket, AF_INET, SOCK_STREAM, 0)));
    REQUIRE(syscall(SYS_connect, callers.back(), &address, sizeof(address)) == 0);
  }
  fault = {Call::kAccept, ENFILE, 1, 5};
  const Seconds until = loop.Now() + kTimeout;
  while (accepted.size() < 2 && loop.Now() < until) loop.RunOnce(0.01);
  CHECK(accepted.size() == 2);
  fault = {};
  for (const int fd : accepted) close(fd);
  for (const int fd : callers) close(fd);
}

TEST_CASE("socket faults: a pending error of a sent datagram does not hide received datagrams") {
  const SystemClock clock;
  EventLoop loop(clock);
  std::vector<std::string> taken;
  DatagramSocket to(loop, AnyPort(), 100,
                    [&](const sockaddr_in&, const std::string& bytes) { taken.push_back(bytes); });
  DatagramSocket from(loop, AnyPort(), 100, [](const sockaddr_in&, const std::string&) {});
  for (const char* text : {"one", "two"}) REQUIRE(from.Send(to.address(), text));
  fault = {Call::kReceive, EHOSTUNREACH, 0, 1};
  const Seconds until = loop.Now() + kTimeout;
  while (taken.size() < 2 && loop.Now() < until) loop.RunOnce(0.01);
  CHECK(taken.size() == 2);
  fault = {};
}

}  // namespace
}  // namespace opalroute::net
