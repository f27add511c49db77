#include "lab/single_relay_load.h"

#include <utility>

namespace opalroute::lab {

namespace {

net::ClientBounds Bounds() {
  net::ClientBounds bounds;
  bounds.http = {16 * 1024, 64, 64 * 1024};
  bounds.request_bytes = 64 * 1024;
  bounds.connections = 64;
  bounds.connect_timeout = 1;
  bounds.idle_timeout = 5;
  bounds.response_timeout = 1;
  return bounds;
}

}  // namespace

class SingleRelayLoad::Call : public net::HttpClient::Call {
 public:
  Call(SingleRelayLoad& load, std::string id, std::string request)
      : load_(load), id_(std::move(id)), request_(std::move(request)) {}

 private:
  std::string OnReady() override { return request_; }
  void OnResponse(net::HttpMessage& response) override { End(response.status); }
  void OnFailure(net::HttpClient::Failure, int status) override { End(status); }
  void End(int status) {
    load_.messages_[id_].status = status;
    const auto it = load_.calls_.find(this);
    load_.loop_.Retire(std::move(it->second));
    load_.calls_.erase(it);
  }
  SingleRelayLoad& load_;
  const std::string id_, request_;
};

SingleRelayLoad::SingleRelayLoad(net::EventLoop& loop, const LoadSettings& settings)
    : loop_(loop), s_(settings), random_(settings.seed), client_(loop, Bounds()), next_due_(settings.from) {
  if (s_.initial_burst > 0) {
    burst_timer_ = loop_.At(s_.from, [this] {
      burst_timer_ = 0;
      for (int i = 0; i < s_.initial_burst && relay_.sin_port != 0; ++i) Send(s_.from);
    });
  }
  ScheduleNext();
}

SingleRelayLoad::~SingleRelayLoad() {
  loop_.Cancel(timer_);
  loop_.Cancel(burst_timer_);
  for (const auto& [key, call] : calls_) client_.Abandon(*call);
}

void SingleRelayLoad::ScheduleNext() {
  next_due_ += std::exponential_distribution<double>(s_.rate)(random_);
  if (next_due_ >= s_.to) return;
  timer_ = loop_.At(next_due_, [this] {
    timer_ = 0;
    if (relay_.sin_port != 0) Send(next_due_);
    ScheduleNext();
  });
}

void SingleRelayLoad::Send(net::Seconds due) {
  // The mix of the default scenario: 55% board-status, 26% notice-order, 19% payment.
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  const char* message_class = draw < 0.55 ? "board-status" : draw < 0.81 ? "notice-order" : "payment";
  const std::string id = s_.prefix + std::to_string(++last_number_);
  const auto destination =
      s_.destinations[std::uniform_int_distribution<std::size_t>(0, s_.destinations.size() - 1)(random_)];
  messages_[id] = {due, message_class, 0};
  net::Headers headers = {{"Host", "lab"},
                          {"X-Txn", id},
                          {"X-Lane", message_class},
                          {"X-Org", "lab"},
                          {"X-Remaining-Ms", std::to_string(static_cast<long>(s_.remaining * 1000))},
                          {"X-Addressing", "dest=" + std::to_string(destination)}};
  if (std::string(message_class) == "notice-order") headers.emplace_back("Idempotency-Key", "k" + id);
  auto call = std::make_unique<Call>(
      *this, id, net::FormatRequest("POST", "/api", headers, std::string(message_class) + " " + id));
  Call* const key = call.get();
  calls_.emplace(key, std::move(call));
  client_.Start({relay_, 0}, *key);
}

}  // namespace opalroute::lab
