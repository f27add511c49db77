// Each documented error of each socket call, at each place where an exchange over HTTP makes it: what passes
// soon is tried again, what breaks a connection is told to its owner, and nothing waits for an event that
// never comes.
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cerrno>
#include <memory>
#include <string>
#include <vector>

#include "net/address.h"
#include "net/datagram.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/listener.h"

namespace {

enum class Call { kSocket, kConnect, kAccept, kPoll, kWait, kRead, kPeek, kWrite, kReceive };

// So many calls of one kind pass, then so many fail.
struct Fault {
  Call call{};
  int error = 0, passes = 0, failures = 0;
};
Fault fault;

bool Fails(Call call) {
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
long Pass(long number, Arguments... arguments) {
  return syscall(number, arguments...);
}

}  // namespace

// In place of the C library's, for this executable alone.
extern "C" {

int socket(int domain, int type, int protocol) noexcept {
  return Fails(Call::kSocket) ? -1 : static_cast<int>(Pass(SYS_socket, domain, type, protocol));
}
// Interrupted, it goes on all the same; refused, it has told the socket's error.
int connect(int fd, const sockaddr* address, socklen_t size) {
  if (!Fails(Call::kConnect)) return static_cast<int>(Pass(SYS_connect, fd, address, size));
  if (errno != EINTR) return -1;
  const int result = static_cast<int>(Pass(SYS_connect, fd, address, size));
  if (result == 0 || errno == EINPROGRESS) errno = EINTR;
  return -1;
}
int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  return Fails(Call::kAccept) ? -1 : static_cast<int>(Pass(SYS_accept4, fd, address, size, flags));
}
int poll(pollfd* fds, nfds_t count, int milliseconds) {
  return Fails(Call::kPoll) ? -1 : static_cast<int>(Pass(SYS_poll, fds, count, milliseconds));
}
int epoll_wait(int epoll, epoll_event* events, int most, int milliseconds) {
  if (Fails(Call::kWait)) return -1;
  return static_cast<int>(Pass(SYS_epoll_pwait, epoll, events, most, milliseconds, nullptr, 8));
}
ssize_t readv(int fd, const iovec* parts, int count) {
  return Fails(Call::kRead) ? -1 : Pass(SYS_readv, fd, parts, count);
}
ssize_t recv(int fd, void* bytes, size_t size, int flags) {
  return Fails(Call::kPeek) ? -1 : Pass(SYS_recvfrom, fd, bytes, size, flags, nullptr, nullptr);
}
ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  return Fails(Call::kWrite) ? -1 : Pass(SYS_sendmsg, fd, message, flags);
}
ssize_t recvfrom(int fd, void* bytes, size_t size, int flags, sockaddr* from, socklen_t* from_size) {
  return Fails(Call::kReceive) ? -1 : Pass(SYS_recvfrom, fd, bytes, size, flags, from, from_size);
}

}  // extern "C"

namespace opalroute::net {
namespace {

constexpr HttpBounds kBounds{16 * 1024, 64, 1 << 20};
constexpr Seconds kSoon = 0.5;  // by then an exchange is over; none of the sides' own times is as short

sockaddr_in AnyPort() { return *ParseAddress("127.0.0.1:0"); }

// Both sides on one loop: a client asks twice on a kept connection, and a server answers.
class Exchange : private HttpServer::Handler, private HttpClient::Call {
 public:
  Exchange() : server_(loop_, AnyPort(), ServerSide(), *this), client_(loop_, ClientSide()) {}

  // Asks once more. Returns whether the call was over soon.
  bool Ask() {
    over_ = false;
    answered = broken = false;
    served = 0;
    client_.Start({server_.address(), 0}, *this);
    const Seconds until = loop_.Now() + kSoon;
    while (!over_ && loop_.Now() < until) loop_.RunOnce(0.01);
    if (!over_) client_.Abandon(*this);
    return over_;
  }

  bool answered = false, broken = false;
  HttpClient::Broken how{};
  int served = 0;  // requests that the server has read

 private:
  static ServerBounds ServerSide() {
    ServerBounds bounds;
    bounds.http = kBounds;
    bounds.answer_bytes = 4096;
    bounds.connections = 16;
    bounds.requests_a_turn = 4;
    bounds.first_time = bounds.request_time = bounds.idle_time = bounds.rest_time = bounds.linger_time = 10;
    bounds.silent_time = 2;
    bounds.linger_bytes = 4096;
    return bounds;
  }
  static ClientBounds ClientSide() {
    ClientBounds bounds;
    bounds.http = kBounds;
    bounds.request_bytes = 4096;
    bounds.connections = 4;
    bounds.connect_time = bounds.idle_time = bounds.answer_time = bounds.rest_time = 10;
    return bounds;
  }
  HttpAnswer OnRequest(HttpMessage&) override {
    ++served;
    return {200, {}, "well", 0};
  }
  void OnAnswerLost(std::uint64_t) override {}
  std::string OnReady() override { return WriteRequest("POST", "/", {{"Host", "test"}}, "text"); }
  void OnAnswer(HttpMessage& answer) override {
    answered = answer.status == 200 && answer.body == "well";
    over_ = true;
  }
  void OnBroken(HttpClient::Broken broke, int) override {
    how = broke;
    over_ = broken = true;
  }

  const SystemClock clock_;
  EventLoop loop_{clock_};
  HttpServer server_;
  HttpClient client_;
  bool over_ = false;
};

enum class Expected {
  kPasses,   // answered: the error passes, or says nothing of this connection
  kLocal,    // answered, or the caller hears that there is no connection of its own
  kRefused,  // the caller hears that the other side has not taken the connection
  kBreaks,   // answered on another connection or broken, and what was read is never told as unwritten
};

struct Row {
  Call call;
  const char* name;
  Expected expected;
  std::vector<int> errors;
};

const std::vector<Row>& Rows() {
  static const std::vector<Row> rows = {
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
      {Call::kWait, "epoll_wait", Expected::kPasses, {EINTR}},
      {Call::kRead, "readv", Expected::kPasses, {EINTR, ENOMEM, ENOBUFS}},
      {Call::kRead, "readv", Expected::kBreaks, {ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, EIO}},
      {Call::kPeek, "recv", Expected::kPasses, {EINTR, ENOMEM}},
      {Call::kWrite, "sendmsg", Expected::kPasses, {EINTR, ENOBUFS, ENOMEM}},
      {Call::kWrite, "sendmsg", Expected::kBreaks, {ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH}},
  };
  return rows;
}

void Judge(const Exchange& exchange, Expected expected) {
  CHECK(exchange.served <= 1);
  switch (expected) {
    case Expected::kPasses:
      CHECK(exchange.answered);
      break;
    case Expected::kLocal:
      CHECK((exchange.answered || exchange.how == HttpClient::Broken::kNoRoom));
      break;
    case Expected::kRefused:
      CHECK(exchange.how == HttpClient::Broken::kNotConnected);
      break;
    case Expected::kBreaks:
      if (exchange.served > 0 && exchange.broken) CHECK(exchange.how == HttpClient::Broken::kReset);
      break;
  }
}

// The fault strikes each call of its kind in turn, on a new connection and on a kept one.
void PlayRow(const Row& row, int error, int in_a_row) {
  bool struck = true;
  int places = 0;
  for (int passes = 0; struck; ++passes) {
    CAPTURE(passes);
    Exchange exchange;
    fault = {row.call, error, passes, in_a_row};
    for (int ask = 0; ask < 2 && fault.failures > 0; ++ask) {
      CAPTURE(ask);
      CHECK_MESSAGE(exchange.Ask(), "the call waits for an event that never comes");
      const bool met = fault.failures < in_a_row;
      Judge(exchange, met ? row.expected : Expected::kPasses);
    }
    struck = fault.failures < in_a_row;
    fault = {};
    places += struck ? 1 : 0;
    CHECK(exchange.Ask());
    CHECK((!struck || exchange.answered || exchange.broken));
  }
  CHECK(places > 0);
}

TEST_CASE("socket faults: each documented error of each call at each place of an exchange") {
  for (const Row& row : Rows())
    for (const int error : row.errors)
      for (const int in_a_row : {1, 3}) {
        if (in_a_row > 1 && row.expected != Expected::kPasses) continue;
        CAPTURE(row.name);
        CAPTURE(error);
        CAPTURE(in_a_row);
        PlayRow(row, error, in_a_row);
      }
}

// Guards against a call that waits for a connection which nobody opens.
TEST_CASE("socket faults: a connection that is ended as soon as it is up ends the call that waits for it") {
  class Caller : public HttpClient::Call {
   public:
    std::string OnReady() override { return "GET / HTTP/1.1\r\n\r\n"; }
    void OnAnswer(HttpMessage&) override {}
    void OnBroken(HttpClient::Broken, int) override { broken = true; }
    bool broken = false;
  };
  const SystemClock clock;
  EventLoop loop(clock);
  const Listener listener(loop, AnyPort(), [](int fd) { close(fd); });
  ClientBounds bounds;
  bounds.http = kBounds;
  bounds.request_bytes = 4096;
  bounds.connections = 4;
  bounds.connect_time = bounds.idle_time = bounds.answer_time = bounds.rest_time = 10;
  HttpClient client(loop, bounds);
  Caller caller;
  client.Start({listener.address(), 0}, caller);
  const Seconds until = loop.Now() + kSoon;
  while (!caller.broken && loop.Now() < until) {
    usleep(1000);  // so that its opening and its end are told in one turn
    loop.RunOnce(0.01);
  }
  CHECK(caller.broken);
}

TEST_CASE("socket faults: a listener whose accepts fail for a while takes all who wait") {
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
  const Seconds until = loop.Now() + kSoon;
  while (accepted.size() < 2 && loop.Now() < until) loop.RunOnce(0.01);
  CHECK(accepted.size() == 2);
  fault = {};
  for (const int fd : accepted) close(fd);
  for (const int fd : callers) close(fd);
}

TEST_CASE("socket faults: the error of an earlier datagram hides none that has come") {
  const SystemClock clock;
  EventLoop loop(clock);
  std::vector<std::string> taken;
  DatagramSocket to(loop, AnyPort(), 100,
                    [&](const sockaddr_in&, const std::string& bytes) { taken.push_back(bytes); });
  DatagramSocket from(loop, AnyPort(), 100, [](const sockaddr_in&, const std::string&) {});
  for (const char* text : {"one", "two"}) REQUIRE(from.Send(to.address(), text));
  fault = {Call::kReceive, EHOSTUNREACH, 0, 1};
  const Seconds until = loop.Now() + kSoon;
  while (taken.size() < 2 && loop.Now() < until) loop.RunOnce(0.01);
  CHECK(taken.size() == 2);
  fault = {};
}

}  // namespace
}  // namespace opalroute::net
