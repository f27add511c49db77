#include "relay/notices.h"

#include <algorithm>

#include "log/log.h"
#include "net/address.h"

namespace opalroute {

Notices::Notices(net::EventLoop& loop, net::HttpClient& client, const sockaddr_in& to, const Limits& limits,
                 Arrived arrived)
    : loop_(loop),
      client_(client),
      to_(to),
      limits_(limits),
      arrived_(std::move(arrived)),
      patience_(limits.notice_time) {}

Notices::~Notices() {
  if (sending_) client_.Abandon(*this);
  loop_.Cancel(timer_);
  loop_.Cancel(retry_);
}

void Notices::Add(const std::string& id, const std::string& line) {
  waiting_.emplace_back(id, line);
  if (!sending_ && retry_ == 0) Send();
}

// What is out may have arrived: a notice about a message that is over does no harm.
void Notices::MoveTo(const sockaddr_in& to) {
  if (sending_) client_.Abandon(*this);
  client_.CloseIdle({to_});
  to_ = to;
  loop_.Cancel(timer_);
  loop_.Cancel(retry_);
  sending_ = false;
  backoff_ = 0;
  patience_ = limits_.notice_time;
  Send();
}

// Danger: a kept connection may have fallen silent. An end counts for half a second after its time at most,
// so the first try leaves room for a second one on a new connection.
void Notices::Send() {
  if (waiting_.empty()) return;
  sending_ = true;
  timer_ = loop_.At(loop_.Now() + patience_, [this] {
    timer_ = 0;
    client_.Abandon(*this);
    Failed("no answer in time");
  });
  client_.Start({to_}, *this);
}

std::string Notices::OnReady() {
  std::string body;
  out_ = std::min(waiting_.size(), singly_ ? 1 : limits_.notice_lines);
  for (std::size_t i = 0; i < out_; ++i) body += waiting_[i].second + "\n";
  return net::WriteRequest("POST", "/v1/notices", {{"Host", net::FormatAddress(to_)}}, body);
}

void Notices::OnAnswer(net::HttpMessage& answer) {
  const bool unreadable = answer.status == 400;
  if (answer.status != 204 && !(unreadable && out_ == 1))
    return Failed(("answer " + std::to_string(answer.status)).c_str());
  // One line alone that can't be read will never be: the others must not wait for it.
  if (unreadable) log::Error("notice_unreadable", {{"line", waiting_.front().second}});
  loop_.Cancel(timer_);
  sending_ = false;
  singly_ = singly_ && unreadable;
  backoff_ = 0;
  patience_ = limits_.notice_time;
  for (; out_ > 0; --out_) {
    const std::string id = waiting_.front().first;
    waiting_.pop_front();
    arrived_(id);
  }
  Send();
}

void Notices::OnBroken(net::HttpClient::Broken, int) { Failed("connection failed"); }

void Notices::Failed(const char* why) {
  log::Warn("notices_wait", {{"lines", waiting_.size()}, {"why", why}});
  loop_.Cancel(timer_);
  sending_ = false;
  singly_ = true;  // until one has arrived
  patience_ = std::min(limits_.notice_time_most, 2 * patience_);
  backoff_ = std::min(limits_.notice_backoff_most, std::max(limits_.notice_backoff, 2 * backoff_));
  retry_ = loop_.At(loop_.Now() + backoff_, [this] {
    retry_ = 0;
    Send();
  });
}

}  // namespace opalroute
