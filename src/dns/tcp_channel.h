// Queries to one server over TCP, with lengths before them (RFC 1035, 4.2.2; RFC 7766): one connection for
// all that are under way, kept for a while for those to come. Answers may come in any order.
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
  // A whole message, or nothing: the connection could not be had or ended, or what came is no frame.
  using Done = std::function<void(const std::string* message)>;

  TcpChannel(net::EventLoop& loop, const sockaddr_in& server, const Limits& limits);
  ~TcpChannel() override;

  // `query` begins with its id; no other query of this channel may be under way with the same one.
  void Ask(std::uint16_t id, const std::string& query, Done done);
  void Forget(std::uint16_t id);
  bool Asks(std::uint16_t id) const { return waiting_.count(id) > 0; }

 private:
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection, net::Connection::CloseReason how) override;
  void Close();
  void FailAll();
  void RestIfIdle();

  net::EventLoop& loop_;
  const sockaddr_in server_;
  const Limits& limits_;
  std::unique_ptr<net::Connection> connection_;
  std::string frame_;  // length and message, as far as they have come
  std::map<std::uint16_t, Done> waiting_;
  net::EventLoop::TimerId rest_timer_ = 0;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what the loop calls later
};

}  // namespace opalroute::dns
