#include "notification/failure_notifier.h"

#include <algorithm>

#include "log/log.h"
#include "net/address.h"

namespace opalroute {

// One HTTP request that carries the first `lines` notifications of the queue.
class FailureNotifier::Attempt : public net::HttpClient::Call {
 public:
  Attempt(FailureNotifier& notifier, std::size_t lines)
      : loop_(notifier.loop_), notifier_(notifier), lines_(lines) {
    timer_ = loop_.At(loop_.Now() + notifier_.limits_.notification_attempt_timeout, [this] {
      timer_ = 0;
      notifier_.client_.Abandon(*this);
      notifier_.OnAttemptFailed(*this, "no response in time");
    });
  }
  // A retired attempt may be destroyed after its notifier, so the timer is cancelled through the loop itself.
  ~Attempt() override { loop_.Cancel(timer_); }

  std::size_t lines() const { return lines_; }
  void CancelTimer() { loop_.Cancel(timer_); }
  void Abandon() {
    CancelTimer();
    notifier_.client_.Abandon(*this);
  }

 private:
  std::string OnReady() override {
    std::string body;
    for (std::size_t i = 0; i < lines_; ++i) body += notifier_.queue_[i].line + "\n";
    return net::FormatRequest("POST", "/v1/notices", {{"Host", net::FormatAddress(notifier_.to_)}}, body);
  }
  void OnResponse(net::HttpMessage& response) override { notifier_.OnResponse(*this, response.status); }
  void OnFailure(net::HttpClient::Failure, int) override {
    notifier_.OnAttemptFailed(*this, "connection failed");
  }

  net::EventLoop& loop_;
  FailureNotifier& notifier_;
  const std::size_t lines_;
  net::EventLoop::TimerId timer_ = 0;
};

FailureNotifier::FailureNotifier(net::EventLoop& loop, net::HttpClient& client, const sockaddr_in& to,
                                 const Limits& limits, OnAcknowledged on_acknowledged)
    : loop_(loop), client_(client), to_(to), limits_(limits), on_acknowledged_(std::move(on_acknowledged)) {}

FailureNotifier::~FailureNotifier() { AbandonAll(); }

void FailureNotifier::Add(const std::string& request, const std::string& line) {
  queue_.push_back({request, line});
  if (attempts_.empty() && next_attempt_ == 0) Send();
}

// The old address may have received the attempts in flight already; repeating a notification is harmless.
void FailureNotifier::SetAddress(const sockaddr_in& to) {
  AbandonAll();
  client_.CloseIdle({to_});
  to_ = to;
  failures_ = 0;
  Send();
}

void FailureNotifier::AbandonAll() {
  loop_.Cancel(next_attempt_);
  for (const auto& attempt : attempts_) attempt->Abandon();
  for (auto& attempt : attempts_) loop_.Retire(std::move(attempt));
  attempts_.clear();
}

void FailureNotifier::Send() {
  if (queue_.empty()) return;
  // The idle connections may all be dead, so a further attempt opens a new one.
  if (!attempts_.empty()) client_.CloseIdle({to_});
  if (attempts_.size() < limits_.concurrent_notification_attempts) {
    attempts_.push_back(std::make_unique<Attempt>(
        *this, std::min(queue_.size(), one_by_one_ ? 1 : limits_.notifications_per_request)));
    Attempt& attempt = *attempts_.back();
    SendAfter(limits_.notification_attempt_interval);
    client_.Start({to_}, attempt);  // may fail immediately and then schedules the next attempt itself
    return;
  }
  SendAfter(limits_.notification_attempt_interval);
}

void FailureNotifier::SendAfter(net::Seconds delay) {
  loop_.Cancel(next_attempt_);
  next_attempt_ = loop_.At(loop_.Now() + delay, [this] {
    next_attempt_ = 0;
    Send();
  });
}

void FailureNotifier::OnResponse(Attempt& attempt, int status) {
  constexpr int kNoContent = 204;
  constexpr int kBadRequest = 400;
  const std::size_t lines = attempt.lines();
  const bool unreadable = status == kBadRequest;
  if (status != kNoContent && !(unreadable && lines == 1)) {
    one_by_one_ = true;  // until one is acknowledged
    OnAttemptFailed(attempt, ("unexpected status " + std::to_string(status)).c_str());
    return;
  }
  // A single line that the platform rejects as malformed is dropped: retrying can't succeed and would block
  // the others.
  if (unreadable) log::Error("notification_unreadable", {{"line", queue_.front().line}});
  Remove(attempt);
  AbandonAll();  // the other attempts carry the same lines
  one_by_one_ = one_by_one_ && unreadable;
  failures_ = 0;
  for (std::size_t i = 0; i < lines; ++i) {
    const std::string request = queue_.front().request;
    queue_.pop_front();
    on_acknowledged_(request);
  }
  if (attempts_.empty() && next_attempt_ == 0) Send();
}

void FailureNotifier::OnAttemptFailed(Attempt& attempt, const char* why) {
  Remove(attempt);
  ScheduleRetry(why);
}

// The first ten consecutive failures are retried after the shortest backoff, while a new notification may
// still be in time. After that the backoff doubles with each failure up to its maximum.
void FailureNotifier::ScheduleRetry(const char* why) {
  constexpr int kQuickRetries = 10;
  log::Warn("notifications_delayed", {{"lines", queue_.size()}, {"why", why}});
  ++failures_;
  const bool quick = failures_ <= kQuickRetries;
  backoff_ =
      quick ? limits_.notification_min_backoff : std::min(limits_.notification_max_backoff, 2 * backoff_);
  SendAfter(backoff_);
}

void FailureNotifier::Remove(Attempt& attempt) {
  const auto at = std::find_if(attempts_.begin(), attempts_.end(),
                               [&attempt](const auto& other) { return other.get() == &attempt; });
  attempt.CancelTimer();
  loop_.Retire(std::move(*at));
  attempts_.erase(at);
}

}  // namespace opalroute
