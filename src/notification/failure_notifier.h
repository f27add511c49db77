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

class FailureNotifier {
 public:
  using Arrived = std::function<void(const std::string& id)>;

  FailureNotifier(net::EventLoop& loop, net::HttpClient& client, const sockaddr_in& to, const Limits& limits,
                  Arrived arrived);
  ~FailureNotifier();

  void Add(const std::string& id, const std::string& line);
  void MoveTo(const sockaddr_in& to);  // what has not arrived goes there, at once
  bool empty() const { return queue_.empty(); }

 private:
  class Attempt;
  using Attempts = std::list<std::unique_ptr<Attempt>>;

  void Send();
  void SendAfter(net::Seconds pause);
  void AbandonAll();
  void OnAnswer(Attempt& tried, int status);
  void OnNoAnswer(Attempt& tried, const char* why);
  void Failed(const char* why);
  void Drop(Attempt& tried);

  net::EventLoop& loop_;
  net::HttpClient& client_;
  sockaddr_in to_;
  const Limits& limits_;
  Arrived arrived_;
  std::deque<std::pair<std::string, std::string>> queue_;  // id and line, in order
  Attempts attempts_;                                      // out; each holds the first lines that wait
  bool singly_ = false;     // one line a request: the platform could not read several
  int failures_ = 0;        // in a row
  net::Seconds pause_ = 0;  // before the next try, after a failure
  net::EventLoop::TimerId next_try_ = 0;
};

}  // namespace opalroute
