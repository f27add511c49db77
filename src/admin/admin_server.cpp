#include "admin/admin_server.h"

#include <algorithm>
#include <utility>

#include "ingress/server_bounds.h"

namespace opalroute {

namespace {

net::ServerBounds BoundsOf(const Limits& limits, net::MemoryBudget* memory) {
  net::ServerBounds bounds = ServerBoundsOf(limits, memory, net::MemoryOwner::kOperators);
  bounds.http.body_bytes = limits.identifier_bytes;
  bounds.response_bytes = limits.admin_response_bytes;
  bounds.connections = limits.admin_connections;
  bounds.reject_connections = 0;
  bounds.requests_per_turn = 1;
  bounds.first_request_timeout = limits.request_timeout;
  return bounds;
}

// The page or command with this path, or null.
template <typename Route>
const Route* FindByPath(const std::vector<Route>& routes, const std::string& path) {
  const auto it =
      std::find_if(routes.begin(), routes.end(), [&path](const Route& route) { return route.path == path; });
  return it == routes.end() ? nullptr : &*it;
}

}  // namespace

AdminServer::AdminServer(net::EventLoop& loop, const sockaddr_in& listen, const Limits& limits,
                         net::MemoryBudget* memory, Pages pages, Commands commands)
    : pages_(std::move(pages)),
      commands_(std::move(commands)),
      http_(loop, listen, BoundsOf(limits, memory), *this) {}

net::HttpResponse AdminServer::OnRequest(net::HttpMessage& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const Command* command = FindByPath(commands_, path);
  if (request.method == "POST" && command != nullptr) return command->run(request.body);
  const Page* page = FindByPath(pages_, path);
  if (request.method != "GET" || page == nullptr) return net::PlainTextResponse(404, "no such page");
  return {200, {{"Content-Type", "application/json"}}, page->render() + "\n", 0};
}

}  // namespace opalroute
