// What a running relay tells its operators, on an address of its own: clients can't reach it, and it costs
// nothing unless it is asked.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "config/limits.h"
#include "net/http_server.h"

namespace opalroute {

class AdminServer : private net::HttpServer::Handler {
 public:
  using Pages = std::map<std::string, std::function<std::string()>>;  // JSON, by path
  using Commands = std::map<std::string, std::function<net::HttpAnswer(const std::string& body)>>;  // POST

  // Throws std::system_error if the address can't be had.
  AdminServer(net::EventLoop& loop, const sockaddr_in& listen, const Limits& limits, Pages pages,
              Commands orders = {});
  sockaddr_in address() const { return http_.address(); }

 private:
  net::HttpAnswer OnRequest(net::HttpMessage& request) override;
  void OnAnswerLost(std::uint64_t) override {}

  const Pages pages_;
  const Commands orders_;
  net::HttpServer http_;
};

}  // namespace opalroute
