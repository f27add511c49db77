#include "admin/operations_server.h"

#include "log/log.h"

namespace opalroute::admin {

namespace {

net::ServerBounds BoundsOf(const Limits& limits, net::MemoryBudget* memory) {
  net::ServerBounds bounds;
  bounds.http = {limits.head_bytes, limits.header_count, limits.identifier_bytes};
  bounds.response_bytes = limits.ops_response_bytes;
  bounds.connections = limits.ops_connections;
  bounds.requests_per_turn = 1;
  bounds.first_request_timeout = limits.ops_request_timeout;
  bounds.silent_timeout = limits.client_silent_timeout;
  bounds.linger_timeout = limits.ops_linger_timeout;
  bounds.linger_bytes = limits.head_bytes;
  bounds.memory = memory;
  bounds.memory_owner = net::MemoryOwner::kOperators;
  return bounds;
}

// Removes `prefix` from the front of `text`. Returns false if `text` does not begin with it.
bool RemovePrefix(std::string_view& text, std::string_view prefix) {
  if (text.substr(0, prefix.size()) != prefix) return false;
  text.remove_prefix(prefix.size());
  return true;
}

}  // namespace

OperationsServer::OperationsServer(net::EventLoop& loop, const sockaddr_in& listen, const Limits& limits,
                                   net::MemoryBudget* memory, OperationsHandler& handler)
    : handler_(handler), http_(loop, listen, BoundsOf(limits, memory), *this) {
  http_.CloseAfterResponses();
}

net::HttpResponse OperationsServer::OnRequest(net::HttpMessage& request) {
  std::string_view path = request.target;
  path = path.substr(0, path.find('?'));
  if (path == "/v1/readyz" || path == "/v1/metrics") {
    if (request.method != "GET") return net::PlainTextResponse(405, "GET only");
    if (path == "/v1/metrics") return {200, {{"Content-Type", "text/plain"}}, handler_.Metrics(), 0};
    return handler_.AcceptsClients() ? net::PlainTextResponse(200, "ready")
                                     : net::PlainTextResponse(503, "not ready");
  }
  if (RemovePrefix(path, "/v1/endpoints/")) return OnEndpointCommand(request, path);
  return net::PlainTextResponse(404, "no such call");
}

net::HttpResponse OperationsServer::OnEndpointCommand(const net::HttpMessage& request,
                                                      std::string_view command_path) {
  const std::size_t slash = command_path.rfind('/');
  if (slash == std::string_view::npos || slash == 0) return net::PlainTextResponse(404, "no such call");
  const std::string id(command_path.substr(0, slash));
  const std::string command(command_path.substr(slash + 1));
  if (command != "suspend" && command != "resume") return net::PlainTextResponse(404, "no such call");
  if (request.method != "POST") return net::PlainTextResponse(405, "POST only");
  switch (handler_.SetSuspended(id, command == "suspend")) {
    case CommandResult::kUnknownEndpoint:
      return net::PlainTextResponse(404, "endpoint " + id + " was never listed");
    case CommandResult::kNotPersisted:
      return net::PlainTextResponse(507, "not changed: the state folder can't be written");
    case CommandResult::kDone:
      break;
  }
  log::Info("endpoint_command", {{"endpoint", id}, {"command", command}});
  return net::PlainTextResponse(200, "done");
}

}  // namespace opalroute::admin
