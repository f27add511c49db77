// Tells the platform how transactions ended that were taken on and not delivered, until it has heard.
//
// An end counts for half a second after its time at most, and a connection may be silent without a sign. So
// tries overlap: one that has no answer in time is left to go on, and the next one begins on a connection of
// its own.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "config/limits.h"
#include "net/http_client.h"

namespace opalroute {

class Notices {
 public:
  using Arrived = std::function<void(const std::string& id)>;

  Notices(net::EventLoop& loop, net::HttpClient& client, const sockaddr_in& to, const Limits& limits,
          Arrived arrived);
  ~Notices();

  void Add(const std::string& id, const std::string& line);
  void MoveTo(const sockaddr_in& to);  // what has not arrived goes there, at once
  bool empty() const { return waiting_.empty(); }

 private:
  class Try;
  using Tries = std::list<std::unique_ptr<Try>>;

  void Send();
  void SendAfter(net::Seconds pause);
  void AbandonAll();
  void OnAnswer(Try& tried, int status);
  void OnNoAnswer(Try& tried, const char* why);
  void Failed(const char* why);
  void Drop(Try& tried);

  net::EventLoop& loop_;
  net::HttpClient& client_;
  sockaddr_in to_;
  const Limits& limits_;
  Arrived arrived_;
  std::deque<std::pair<std::string, std::string>> waiting_;  // id and line, in order
  Tries tries_;                                              // out; each holds the first lines that wait
  bool singly_ = false;     // one line a request: the platform could not read several
  int failures_ = 0;        // in a row
  net::Seconds pause_ = 0;  // before the next try, after a failure
  net::EventLoop::TimerId next_try_ = 0;
};

}  // namespace opalroute
