#include "admin/admin_server.h"

#include <utility>

#include "ingress/server_bounds.h"

namespace opalroute {

namespace {

net::ServerBounds BoundsOf(const Limits& limits) {
  net::ServerBounds bounds = ServerBoundsOf(limits);
  bounds.http.body_bytes = limits.name_bytes;
  bounds.answer_bytes = limits.admin_bytes;
  bounds.connections = limits.admin_connections;
  bounds.reject_connections = 0;
  bounds.requests_a_turn = 1;
  bounds.first_time = limits.request_time;
  return bounds;
}

}  // namespace

AdminServer::AdminServer(net::EventLoop& loop, const sockaddr_in& listen, const Limits& limits, Pages pages,
                         Commands orders)
    : pages_(std::move(pages)), orders_(std::move(orders)), http_(loop, listen, BoundsOf(limits), *this) {}

net::HttpAnswer AdminServer::OnRequest(net::HttpMessage& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const auto order = orders_.find(path);
  if (request.method == "POST" && order != orders_.end()) return order->second(request.body);
  const auto page = pages_.find(path);
  if (request.method != "GET" || page == pages_.end()) return net::PlainAnswer(404, "there is no such page");
  return {200, {{"Content-Type", "application/json"}}, page->second() + "\n", 0};
}

}  // namespace opalroute
