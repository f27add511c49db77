// The operators' HTTP interface (`ops` of the configuration, EDGE_OPS), on a separate address. It
// answers one request per connection, however busy the relay is with clients:
//   GET  /v1/readyz                200 if the relay accepts clients, else 503
//   GET  /v1/metrics               lines of `name=number`
//   POST /v1/endpoints/ID/suspend  200; 404 for an id that was never listed; 507 if it can't be stored
//   POST /v1/endpoints/ID/resume   the same
#pragma once

#include <string>
#include <string_view>

#include "config/limits.h"
#include "net/http_server.h"

namespace opalroute::admin {

enum class CommandResult {
  kDone,
  kUnknownEndpoint,  // no endpoint list has contained it since the process started
  kNotPersisted      // the state folder can't be written; nothing has changed
};

// What operators may ask of the relay.
class OperationsHandler {
 public:
  virtual ~OperationsHandler() = default;
  virtual bool AcceptsClients() const = 0;
  virtual std::string Metrics() const = 0;  // lines of `name=number`
  virtual CommandResult SetSuspended(const std::string& endpoint, bool suspended) = 0;
};

class OperationsServer : private net::HttpServer::Handler {
 public:
  // `handler` must outlive the server. Throws std::system_error if it can't listen on the address.
  OperationsServer(net::EventLoop& loop, const sockaddr_in& listen, const Limits& limits,
                   net::MemoryBudget* memory, OperationsHandler& handler);
  sockaddr_in address() const { return http_.address(); }

 private:
  net::HttpResponse OnRequest(net::HttpMessage& request) override;
  void OnResponseLost(std::uint64_t) override {}
  // `command_path`: what follows /v1/endpoints/.
  net::HttpResponse OnEndpointCommand(const net::HttpMessage& request, std::string_view command_path);

  OperationsHandler& handler_;
  net::HttpServer http_;
};

}  // namespace opalroute::admin
