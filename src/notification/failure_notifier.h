// Notifies the platform of accepted requests that were not delivered, and repeats each notification until the
// platform has acknowledged it.
//
// The platform accepts a notification only within a short time after the request's deadline, and a connection
// may be dead without an error. So attempts overlap: if one has no response in time, it stays open and the
// next one starts on a new connection.
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
  using OnAcknowledged = std::function<void(const std::string& request)>;

  FailureNotifier(net::EventLoop& loop, net::HttpClient& client, const sockaddr_in& to, const Limits& limits,
                  OnAcknowledged on_acknowledged);
  ~FailureNotifier();

  // `line`: the notification in the platform's wire format, without the newline.
  void Add(const std::string& request, const std::string& line);
  // Changes the platform's address and immediately sends all unacknowledged notifications there.
  void SetAddress(const sockaddr_in& to);
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
  void OnResponse(Attempt& attempt, int status);
  void OnAttemptFailed(Attempt& attempt, const char* why);
  void ScheduleRetry(const char* why);
  void Remove(Attempt& attempt);

  net::EventLoop& loop_;
  net::HttpClient& client_;
  sockaddr_in to_;
  const Limits& limits_;
  OnAcknowledged on_acknowledged_;
  std::deque<Notification> queue_;  // in the order of Add
  Attempts attempts_;               // in flight; each carries the first notifications of the queue
  bool one_by_one_ = false;         // one notification per HTTP request, after the platform refused a request
  int failures_ = 0;                // consecutive
  net::Seconds backoff_ = 0;
  net::EventLoop::TimerId next_attempt_ = 0;
};

}  // namespace opalroute
