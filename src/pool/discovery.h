// The pool's list from discovery: a watch that stays open, and the whole list on demand.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/limits.h"
#include "net/connection.h"
#include "net/http.h"
#include "net/http_client.h"
#include "pool/pool_source.h"

namespace opalroute {

class Discovery : public PoolSource, private net::Connection::Owner, private net::HttpClient::Call {
 public:
  Discovery(net::EventLoop& loop, net::HttpClient& client, const sockaddr_in& address, const Limits& limits,
            Listener& listener);
  ~Discovery() override;

  void Watch(bool on) override;
  void Fetch() override;

  // From now on discovery is there; what is asked for is asked again. Its list need not continue the old one.
  void MoveTo(const sockaddr_in& address);

  // One list or line of changes in discovery's form. None: it can't be read; the reason is logged.
  std::optional<PoolNews> Read(std::string_view text);
  std::optional<PoolNews> ReadList(const nlohmann::json& list);

 private:
  void OnOpen(net::Connection& connection) override;
  void OnData(net::Connection& connection) override;
  void OnEnd(net::Connection& connection, net::Connection::End how) override;
  std::string OnReady() override;
  void OnAnswer(net::HttpMessage& answer) override;
  void OnBroken(net::HttpClient::Broken how, int status) override;

  void TakePiece(std::string_view piece);
  void TakeLine();
  void Expect(double within);
  void EndWatch(const char* why);
  void EndFetch(const char* why);
  void CloseWatch();

  net::EventLoop& loop_;
  net::HttpClient& client_;
  sockaddr_in address_;
  const Limits& limits_;
  Listener& listener_;
  std::optional<long long> generation_;
  std::unique_ptr<net::Connection> watch_;
  net::HttpParser parser_;
  std::string line_;            // an object that is not whole yet
  std::size_t part_seen_ = 0;   // of it: so much was found to be a part of one
  std::vector<PoolNews> news_;  // read and not yet told
  bool broken_ = false;         // a line of this watch can't be read
  bool fetching_ = false;
  net::EventLoop::TimerId watch_timer_ = 0, fetch_timer_ = 0;
};

}  // namespace opalroute
