// A fake platform: answers every GET with one list of endpoints and records the notifications that it is
// sent.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <utility>

#include "net/address.h"
#include "net/http_server.h"

namespace opalroute::lab {

class FakePlatform : private net::HttpServer::Handler {
 public:
  explicit FakePlatform(net::EventLoop& loop)
      : server_(loop, *net::ParseAddress("127.0.0.1:0"), Bounds(), *this) {}

  sockaddr_in address() const { return server_.address(); }
  void SetEndpointList(nlohmann::json endpoint_list) { endpoint_list_ = std::move(endpoint_list); }
  // Outcomes by request id.
  const std::map<std::string, std::string>& notifications() const { return notifications_; }

 private:
  static net::ServerBounds Bounds() {
    net::ServerBounds bounds;
    bounds.http = {16 * 1024, 64, 256 * 1024};
    bounds.response_bytes = 4 << 20;
    bounds.connections = 64;
    bounds.reject_connections = 8;
    bounds.requests_per_turn = 16;
    bounds.first_request_timeout = bounds.request_timeout = bounds.idle_timeout = 30;
    bounds.crowded_idle_timeout = bounds.silent_timeout = bounds.linger_timeout = 1;
    bounds.linger_bytes = 1 << 20;
    return bounds;
  }
  net::HttpResponse OnRequest(net::HttpMessage& request) override {
    if (request.method == "GET") return {200, {}, endpoint_list_.dump() + "\n", 0};
    std::istringstream lines(request.body);
    for (std::string line; std::getline(lines, line);) {
      const auto notification = nlohmann::json::parse(line, nullptr, false);
      if (notification.is_object())
        notifications_[notification.value("message", "")] = notification.value("outcome", "");
    }
    return {204, {}, {}, 0};
  }
  void OnResponseLost(std::uint64_t) override {}

  nlohmann::json endpoint_list_ = {
      {"generation", 1}, {"reset", true}, {"instances", nlohmann::json::array()}};
  std::map<std::string, std::string> notifications_;
  net::HttpServer server_;
};

}  // namespace opalroute::lab
