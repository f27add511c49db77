// A client's connection whose state is not observed while it is idle. It stands for a client with a long
// network delay, which learns late that the relay has closed the connection: its next request is sent even if
// the relay closed the connection a moment ago.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <string_view>

#include "net/connection.h"
#include "net/http_client.h"

namespace opalroute::lab {

class UnwatchedConnection : private net::Connection::Owner {
 public:
  // Starts to connect. Returns null if there is no socket or the connection is refused at once.
  static std::unique_ptr<UnwatchedConnection> Connect(const sockaddr_in& address);
  ~UnwatchedConnection() override;
  UnwatchedConnection(const UnwatchedConnection&) = delete;
  UnwatchedConnection& operator=(const UnwatchedConnection&) = delete;

  // Sends without reading first; only before Watch(). Returns false if the socket does not take all bytes:
  // the connection is closed or was never established.
  bool Send(std::string_view bytes);
  // From here on the response and the connection's end are observed; `call` gets exactly one callback. `loop`
  // and `call` must outlive this object.
  void Watch(net::EventLoop& loop, net::HttpClient::Call& call);

 private:
  explicit UnwatchedConnection(int fd) : fd_(fd), parser_(net::HttpParser::Kind::kResponse, kBounds) {}
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection, net::Connection::CloseReason reason) override;
  void ReportFailure();

  static constexpr net::HttpBounds kBounds{16 * 1024, 64, 64 * 1024};

  int fd_;  // -1 once connection_ owns it
  net::HttpParser parser_;
  net::HttpClient::Call* call_ = nullptr;
  std::unique_ptr<net::Connection> connection_;
};

}  // namespace opalroute::lab
