// A client's connection that rests while nobody looks at it, as that of a client far away, which hears late
// of what the relay does: its next request goes out even where the relay closed the connection a moment ago.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <string_view>

#include "net/connection.h"
#include "net/http_client.h"

namespace opalroute::lab {

class UnwatchedConnection : private net::Connection::Owner {
 public:
  // Begins to connect. None: this system has no socket for it, or nobody listens there.
  static std::unique_ptr<UnwatchedConnection> Connect(const sockaddr_in& address);
  ~UnwatchedConnection() override;
  UnwatchedConnection(const UnwatchedConnection&) = delete;
  UnwatchedConnection& operator=(const UnwatchedConnection&) = delete;

  // Sends without a look at what has come, before Watch. False: the connection takes no bytes, and it is
  // known by now that it is closed or never came up.
  bool Send(std::string_view bytes);
  // From here on its end and its answer are seen; one callback of `call` ends it. Both outlive this object.
  void Watch(net::EventLoop& loop, net::HttpClient::Call& call);

 private:
  explicit UnwatchedConnection(int fd) : fd_(fd), answer_(net::HttpParser::Kind::kResponse, kBounds) {}
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection, net::Connection::CloseReason how) override;
  void Break();

  static constexpr net::HttpBounds kBounds{16 * 1024, 64, 64 * 1024};

  int fd_;  // until it is watched; -1 from then on
  net::HttpParser answer_;
  net::HttpClient::Call* call_ = nullptr;
  std::unique_ptr<net::Connection> connection_;
};

}  // namespace opalroute::lab
