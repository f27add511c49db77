// Queries to one server over TCP, each message prefixed with its length (RFC 1035, 4.2.2; RFC 7766). All
// concurrent queries share one connection, which is kept open for a while after the last one. Answers may
// arrive in any order.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "config/limits.h"
#include "net/connection.h"

namespace opalroute::dns {

class TcpChannel : private net::Connection::Owner {
 public:
  // Receives a whole message, or null if the connection could not be opened or has ended, or if its output
  // buffer had no space for the query.
  using Done = std::function<void(const std::string* message)>;

  TcpChannel(net::EventLoop& loop, const sockaddr_in& server, const Limits& limits);
  ~TcpChannel() override;

  // `query` is an encoded message with the given id. No other query with this id may be pending.
  void Query(std::uint16_t id, const std::string& query, Done done);
  void Cancel(std::uint16_t id);
  bool IsPending(std::uint16_t id) const { return pending_.count(id) > 0; }

 private:
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection, net::Connection::CloseReason how) override;
  void Close();
  void FailAll();
  void StartTimerIfIdle();

  net::EventLoop& loop_;
  const sockaddr_in server_;
  const Limits& limits_;
  std::unique_ptr<net::Connection> connection_;
  std::string frame_;  // length and message, as far as received
  std::map<std::uint16_t, Done> pending_;
  net::EventLoop::TimerId idle_timer_ = 0;
  // Expires with the channel; deferred callbacks check it.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace opalroute::dns
