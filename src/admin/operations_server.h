// The operators' door: a second address on which one call a connection is answered, however busy the relay
// is.
#pragma once

#include <string>

#include "config/limits.h"
#include "net/http_server.h"

namespace opalroute::admin {

enum class CommandResult {
  kDone,
  kUnknownEndpoint,
  kNotPersisted
};  // kNotKept: the state folder could not be written

// What callers may ask of the relay.
class OperationsHandler {
 public:
  virtual ~OperationsHandler() = default;
  virtual bool AcceptsClients() const = 0;
  virtual std::string Metrics() const = 0;  // lines of `name=number`
  virtual CommandResult SetSuspended(const std::string& endpoint, bool banned) = 0;
};

class OperationsServer : private net::HttpServer::Handler {
 public:
  // Throws std::system_error if the address can't be had.
  OperationsServer(net::EventLoop& loop, const sockaddr_in& listen, const Limits& limits,
                   OperationsHandler& relay);
  sockaddr_in address() const { return http_.address(); }

 private:
  net::HttpAnswer OnRequest(net::HttpMessage& request) override;
  void OnAnswerLost(std::uint64_t) override {}
  net::HttpAnswer OnEndpoint(const net::HttpMessage& request, std::string_view rest);

  OperationsHandler& relay_;
  net::HttpServer http_;
};

}  // namespace opalroute::admin
