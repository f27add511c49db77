#include "lab/sockets/punctual_client.h"

#include <algorithm>
#include <utility>

namespace opalroute::lab {

namespace {

net::ClientBounds MakeClientBounds() {
  net::ClientBounds bounds;
  bounds.http = {16 * 1024, 64, 64 * 1024};
  bounds.request_bytes = 4096;
  bounds.connections = 64;
  bounds.connect_timeout = bounds.response_timeout = bounds.response_rest_timeout = 5;
  bounds.idle_timeout = 5;
  return bounds;
}

}  // namespace

class PunctualClient::Request : public net::HttpClient::Call {
 public:
  Request(PunctualClient& owner, std::string text)
      : loop_(owner.loop_), owner_(owner), text_(std::move(text)) {
    timer_ = loop_.At(started_at() + kPatience, [this] {
      timer_ = 0;
      owner_.client_.Abandon(*this);
      owner_.End(*this, 0);
    });
  }
  ~Request() override { loop_.Cancel(timer_); }  // `owner_` may already be destroyed
  net::Seconds started_at() const { return started_at_; }

 private:
  std::string OnReady() override { return text_; }
  // The timer may be due in the same iteration of the loop.
  void OnResponse(net::HttpMessage& response) override {
    loop_.Cancel(timer_);
    owner_.End(*this, response.status);
  }
  // The relay may close a connection between requests. A request that crosses that is sent once more.
  void OnFailure(net::HttpClient::Failure, int) override {
    if (!exchange().IsFirst() && !std::exchange(sent_again_, true))
      return owner_.client_.Start({owner_.relay_}, *this);
    // No other attempt is allowed; the request stays without an answer.
  }
  bool RequiresNewConnection() const override { return sent_again_; }

  net::EventLoop& loop_;
  PunctualClient& owner_;
  const std::string text_;
  const net::Seconds started_at_ = loop_.Now();
  bool sent_again_ = false;
  net::EventLoop::TimerId timer_ = 0;
};

PunctualClient::PunctualClient(net::EventLoop& loop, const sockaddr_in& relay, ClientRequestFields fields,
                               std::string name)
    : loop_(loop),
      relay_(relay),
      fields_(std::move(fields)),
      name_(std::move(name)),
      client_(loop, MakeClientBounds()) {}

PunctualClient::~PunctualClient() {
  Stop();
  for (auto& [key, request] : requests_) client_.Abandon(*request);
}

void PunctualClient::Start(net::Seconds interval) { SendNext(interval); }

void PunctualClient::Stop() { loop_.Cancel(timer_); }

void PunctualClient::SendNext(net::Seconds interval) {
  timer_ = loop_.At(loop_.Now() + interval, [this, interval] {
    timer_ = 0;
    SendNext(interval);
  });
  const std::string text =
      net::FormatRequest("POST", "/api",
                         {{"Host", "app.svc"},
                          {"X-Txn", name_ + "-" + std::to_string(++figures_.sent)},
                          {"X-Lane", fields_.request_class},
                          {"X-Org", fields_.tenant},
                          {"X-Remaining-Ms", "4000"},
                          {"X-Addressing", "dest=" + std::to_string(fields_.destination)}},
                         "text");
  auto request = std::make_unique<Request>(*this, text);
  Request* const started = request.get();
  requests_.emplace(started, std::move(request));
  client_.Start({relay_}, *started);
}

void PunctualClient::End(Request& request, int status) {
  const net::Seconds waited = loop_.Now() - request.started_at();
  if (status == 0) ++figures_.unanswered;
  if (status == 202) ++figures_.accepted;
  if (status == 503) ++figures_.rejected;
  if (status != 0 && status != 202 && status != 503) ++figures_.other_statuses;
  figures_.slowest = std::max(figures_.slowest, waited);
  const auto found = requests_.find(&request);
  loop_.Retire(std::move(found->second));
  requests_.erase(found);
}

}  // namespace opalroute::lab
