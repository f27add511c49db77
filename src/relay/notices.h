// Tells the platform how transactions ended that were taken on and not delivered, until it has heard.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "config/limits.h"
#include "net/http_client.h"

namespace opalroute {

class Notices : private net::HttpClient::Call {
 public:
  using Arrived = std::function<void(const std::string& id)>;

  Notices(net::EventLoop& loop, net::HttpClient& client, const sockaddr_in& to, const Limits& limits,
          Arrived arrived);
  ~Notices() override;

  void Add(const std::string& id, const std::string& line);
  void MoveTo(const sockaddr_in& to);  // what has not arrived goes there, at once
  bool empty() const { return waiting_.empty(); }

 private:
  void Send();
  void Failed(const char* why);
  std::string OnReady() override;
  void OnAnswer(net::HttpMessage& answer) override;
  void OnBroken(net::HttpClient::Broken how, int status) override;

  net::EventLoop& loop_;
  net::HttpClient& client_;
  sockaddr_in to_;
  const Limits& limits_;
  Arrived arrived_;
  std::deque<std::pair<std::string, std::string>> waiting_;  // id and line, in order
  std::size_t out_ = 0;                                      // lines of the request that is out
  bool sending_ = false, singly_ = false;
  double backoff_ = 0;
  double patience_;  // with the request that is out
  net::EventLoop::TimerId timer_ = 0, retry_ = 0;
};

}  // namespace opalroute
