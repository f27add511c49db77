#include "admin/operations_server.h"

#include <string_view>

#include "log/log.h"

namespace opalroute::admin {

namespace {

net::ServerBounds BoundsOf(const Limits& limits) {
  net::ServerBounds bounds;
  bounds.http = {limits.head_bytes, limits.header_count, limits.name_bytes};
  bounds.answer_bytes = limits.door_answer_bytes;
  bounds.connections = limits.door_connections;
  bounds.requests_a_turn = 1;
  bounds.first_time = limits.door_time;
  bounds.silent_time = limits.client_silent;
  bounds.linger_time = limits.door_linger;
  bounds.linger_bytes = limits.head_bytes;
  return bounds;
}

bool TakeOff(std::string_view& text, std::string_view front) {
  if (text.substr(0, front.size()) != front) return false;
  text.remove_prefix(front.size());
  return true;
}

}  // namespace

OperationsServer::OperationsServer(net::EventLoop& loop, const sockaddr_in& listen, const Limits& limits,
                                   OperationsHandler& relay)
    : relay_(relay), http_(loop, listen, BoundsOf(limits), *this) {
  http_.CloseAfterAnswers();
}

net::HttpAnswer OperationsServer::OnRequest(net::HttpMessage& request) {
  std::string_view path = request.target;
  path = path.substr(0, path.find('?'));
  if (path == "/v1/readyz" || path == "/v1/metrics") {
    if (request.method != "GET") return net::PlainAnswer(405, "GET only");
    if (path == "/v1/metrics") return {200, {{"Content-Type", "text/plain"}}, relay_.Metrics(), 0};
    return relay_.AcceptsClients() ? net::PlainAnswer(200, "ready") : net::PlainAnswer(503, "not ready");
  }
  if (TakeOff(path, "/v1/endpoints/")) return OnEndpoint(request, path);
  return net::PlainAnswer(404, "no such call");
}

net::HttpAnswer OperationsServer::OnEndpoint(const net::HttpMessage& request, std::string_view rest) {
  const std::size_t slash = rest.rfind('/');
  if (slash == std::string_view::npos || slash == 0) return net::PlainAnswer(404, "no such call");
  const std::string id(rest.substr(0, slash));
  const std::string_view order = rest.substr(slash + 1);
  if (order != "suspend" && order != "resume") return net::PlainAnswer(404, "no such call");
  if (request.method != "POST") return net::PlainAnswer(405, "POST only");
  const CommandResult told = relay_.SetSuspended(id, order == "suspend");
  if (told == CommandResult::kUnknownEndpoint)
    return net::PlainAnswer(404, "endpoint " + id + " was never listed");
  if (told == CommandResult::kNotPersisted)
    return net::PlainAnswer(507, "nothing changed: the state folder can't be written");
  log::Info("endpoint_by_hand", {{"endpoint", id}, {"order", std::string(order)}});
  return net::PlainAnswer(200, "done");
}

}  // namespace opalroute::admin
