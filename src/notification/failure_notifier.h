// Notifies the platform of accepted requests that were not delivered, until it has acknowledged each.
//
// A notification counts only shortly after its request's time, and a connection may be silent without a sign.
// So attempts overlap: one that has no answer in time goes on, and the next one begins on a connection of its
// own.
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
  // Called when the platform has acknowledged the notification of a request.
  using Arrived = std::function<void(const std::string& request)>;

  FailureNotifier(net::EventLoop& loop, net::HttpClient& client, const sockaddr_in& to, const Limits& limits,
                  Arrived arrived);
  ~FailureNotifier();

  // `line`: of the platform's wire form, without the line end.
  void Add(const std::string& request, const std::string& line);
  // The platform has another address: what was not acknowledged goes there, at once.
  void MoveTo(const sockaddr_in& to);
  bool empty() const { return queue_.empty(); }

 private:
  struct Notification {
    std::string request;
    std::string line;
  };
  class Attempt;
  using Attempts = std::list<std::unique_ptr<Attempt>>;

  void Send();
  void SendAfter(net::Seconds delay);
  void AbandonAll();
  void OnAnswer(Attempt& attempt, int status);
  void OnNoAnswer(Attempt& attempt, const char* why);
  void ScheduleRetry(const char* why);
  void Drop(Attempt& attempt);

  net::EventLoop& loop_;
  net::HttpClient& client_;
  sockaddr_in to_;
  const Limits& limits_;
  Arrived arrived_;
  std::deque<Notification> queue_;  // in the order in which they came
  Attempts attempts_;               // in flight; each holds the first notifications of the queue
  bool singly_ = false;             // one notification a request: the platform could not read several
  int failures_ = 0;                // in a row
  net::Seconds backoff_ = 0;
  net::EventLoop::TimerId next_attempt_ = 0;
};

}  // namespace opalroute
