// The admin pages of a running relay (`--admin-listen`), on an address separate from that for clients.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "config/limits.h"
#include "net/http_server.h"

namespace opalroute {

class AdminServer : private net::HttpServer::Handler {
 public:
  // GET of `path` is answered with the JSON text that `render` returns.
  struct Page {
    std::string path;
    std::function<std::string()> render;
  };
  // POST of `path` is answered with what `run` returns for the request's body.
  struct Command {
    std::string path;
    std::function<net::HttpResponse(const std::string& body)> run;
  };
  using Pages = std::vector<Page>;
  using Commands = std::vector<Command>;

  // Throws std::system_error if it can't listen on the address.
  AdminServer(net::EventLoop& loop, const sockaddr_in& listen, const Limits& limits,
              net::MemoryBudget* memory, Pages pages, Commands commands = {});
  sockaddr_in address() const { return http_.address(); }
  // Closes the listening socket; requests on open connections are still answered.
  void StopAccepting() { http_.StopAccepting(); }

 private:
  net::HttpResponse OnRequest(net::HttpMessage& request) override;
  void OnResponseLost(std::uint64_t) override {}

  const Pages pages_;
  const Commands commands_;
  net::HttpServer http_;
};

}  // namespace opalroute
