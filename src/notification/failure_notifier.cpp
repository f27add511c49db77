#include "notification/failure_notifier.h"

#include <algorithm>

#include "log/log.h"
#include "net/address.h"

namespace opalroute {

// One request with the lines that wait, on its way.
class FailureNotifier::Attempt : public net::HttpClient::Call {
 public:
  Attempt(FailureNotifier& notices, std::size_t lines)
      : loop_(notices.loop_), notices_(notices), lines_(lines) {
    timer_ = notices_.loop_.At(notices_.loop_.Now() + notices_.limits_.notice_time_most, [this] {
      timer_ = 0;
      notices_.client_.Abandon(*this);
      notices_.OnNoAnswer(*this, "no answer in time");
    });
  }
  // Danger: one that was retired outlives the notices, until the loop's round is over.
  ~Attempt() override { loop_.Cancel(timer_); }

  std::size_t lines() const { return lines_; }
  void Settle() { loop_.Cancel(timer_); }
  void Abandon() {
    Settle();
    notices_.client_.Abandon(*this);
  }

 private:
  std::string OnReady() override {
    std::string body;
    for (std::size_t i = 0; i < lines_; ++i) body += notices_.queue_[i].second + "\n";
    return net::WriteRequest("POST", "/v1/notices", {{"Host", net::FormatAddress(notices_.to_)}}, body);
  }
  void OnAnswer(net::HttpMessage& answer) override { notices_.OnAnswer(*this, answer.status); }
  void OnBroken(net::HttpClient::Broken, int) override { notices_.OnNoAnswer(*this, "connection failed"); }

  net::EventLoop& loop_;
  FailureNotifier& notices_;
  const std::size_t lines_;
  net::EventLoop::TimerId timer_ = 0;
};

FailureNotifier::FailureNotifier(net::EventLoop& loop, net::HttpClient& client, const sockaddr_in& to,
                                 const Limits& limits, Arrived arrived)
    : loop_(loop), client_(client), to_(to), limits_(limits), arrived_(std::move(arrived)) {}

FailureNotifier::~FailureNotifier() { AbandonAll(); }

void FailureNotifier::Add(const std::string& id, const std::string& line) {
  queue_.emplace_back(id, line);
  if (attempts_.empty() && next_try_ == 0) Send();
}

// What is out may have arrived: a notice about a message that is over does no harm.
void FailureNotifier::MoveTo(const sockaddr_in& to) {
  AbandonAll();
  client_.CloseIdle({to_});
  to_ = to;
  failures_ = 0;
  Send();
}

void FailureNotifier::AbandonAll() {
  loop_.Cancel(next_try_);
  for (const auto& tried : attempts_) tried->Abandon();  // and its time-out, which would name what is gone
  for (auto& tried : attempts_) loop_.Retire(std::move(tried));
  attempts_.clear();
}

void FailureNotifier::Send() {
  if (queue_.empty()) return;
  // Danger: a kept connection may have fallen silent, and others with it.
  if (!attempts_.empty()) client_.CloseIdle({to_});
  if (attempts_.size() < limits_.notice_tries) {
    attempts_.push_back(
        std::make_unique<Attempt>(*this, std::min(queue_.size(), singly_ ? 1 : limits_.notice_lines)));
    Attempt& tried = *attempts_.back();
    SendAfter(limits_.notice_time);
    client_.Start({to_}, tried);  // which may fail at once, and then says when the next try is due
    return;
  }
  SendAfter(limits_.notice_time);
}

void FailureNotifier::SendAfter(net::Seconds pause) {
  loop_.Cancel(next_try_);
  next_try_ = loop_.At(loop_.Now() + pause, [this] {
    next_try_ = 0;
    Send();
  });
}

void FailureNotifier::OnAnswer(Attempt& tried, int status) {
  constexpr int kTaken = 204, kUnreadable = 400;
  const std::size_t lines = tried.lines();
  const bool unreadable = status == kUnreadable;
  if (status != kTaken && !(unreadable && lines == 1)) {
    singly_ = true;  // until one has arrived
    return OnNoAnswer(tried, ("answer " + std::to_string(status)).c_str());
  }
  // One line alone that can't be read will never be: the others must not wait for it.
  if (unreadable) log::Error("notice_unreadable", {{"line", queue_.front().second}});
  Drop(tried);
  AbandonAll();  // they hold the same lines
  singly_ = singly_ && unreadable;
  failures_ = 0;
  for (std::size_t i = 0; i < lines; ++i) {
    const std::string id = queue_.front().first;
    queue_.pop_front();
    arrived_(id);
  }
  if (attempts_.empty() && next_try_ == 0) Send();
}

void FailureNotifier::OnNoAnswer(Attempt& tried, const char* why) {
  Drop(tried);
  Failed(why);
}

// A failure that was told at once is tried again soon, for as long as an end that has just come may still be
// in time.
void FailureNotifier::Failed(const char* why) {
  constexpr int kSoon = 10;
  log::Warn("notices_wait", {{"lines", queue_.size()}, {"why", why}});
  pause_ = ++failures_ <= kSoon ? limits_.notice_backoff : std::min(limits_.notice_backoff_most, 2 * pause_);
  SendAfter(pause_);
}

void FailureNotifier::Drop(Attempt& tried) {
  const auto at = std::find_if(attempts_.begin(), attempts_.end(),
                               [&tried](const auto& other) { return other.get() == &tried; });
  tried.Settle();
  loop_.Retire(std::move(*at));
  attempts_.erase(at);
}

}  // namespace opalroute
