#include "lab/fake_partner.h"

#include <cmath>
#include <utility>

#include "net/address.h"
#include "net/http.h"

namespace opalroute::lab {

namespace {

const net::HttpBounds kRequestBounds{16 * 1024, 64, 64 * 1024};

}  // namespace

class FakePartner::Session : public net::Connection::Owner {
 public:
  Session(FakePartner& partner, int relay)
      : partner_(partner), relay_(relay), parser_(net::HttpParser::Kind::kRequest, kRequestBounds) {}
  ~Session() override { partner_.loop_.Cancel(timer_); }

  bool Open(int fd) {
    connection_ = net::Connection::Adopt(partner_.loop_, fd, *this, {128 * 1024, 16 * 1024});
    return connection_ != nullptr;
  }
  void Close() {
    partner_.loop_.Cancel(timer_);
    connection_->Close();
  }

  void OnData(net::Connection& connection) override {
    net::RingBuffer& in = connection.in();
    while (timer_ == 0 && !in.empty()) {
      in.Consume(parser_.Parse(in.Front()));
      if (parser_.failed()) return partner_.sessions_.Remove(*this);
      if (parser_.done()) HandleRequest();
    }
  }
  void OnClosed(net::Connection&, net::Connection::CloseReason) override { partner_.sessions_.Remove(*this); }

 private:
  void HandleRequest() {
    const net::HttpMessage request = std::move(parser_.message());
    parser_.Reset();
    if (request.method != "POST" || request.target != "/hook") return Write(404, 0, {});
    const std::string* id = request.Header("X-Txn");
    if (id == nullptr) return Write(400, 0, {});
    const bool non_idempotent =
        request.body.rfind("payment", 0) == 0;  // the load generator puts the class first
    const auto response = partner_.model_.HandleCall(partner_.loop_.Now(), relay_, *id, non_idempotent);
    timer_ = partner_.loop_.At(partner_.loop_.Now() + response.delay, [this, response, id = *id] {
      timer_ = 0;
      Write(response.status, response.retry_after, id);
      OnData(*connection_);
    });
  }

  void Write(int status, Seconds retry_after, const std::string& id) {
    net::Headers headers;
    if (retry_after > 0)
      headers.emplace_back("X-RateLimit-Wait-Ms",
                           std::to_string(static_cast<long>(std::ceil(retry_after * 1000))));
    if (status == 200) partner_.delivered_.emplace(id, partner_.loop_.Now());
    connection_->Write(net::FormatResponse(status, headers, {}));
  }

  FakePartner& partner_;
  const int relay_;
  std::unique_ptr<net::Connection> connection_;
  net::HttpParser parser_;
  net::EventLoop::TimerId timer_ = 0;
};

FakePartner::FakePartner(net::EventLoop& loop, const PartnerSettings& settings, int endpoints, int relays)
    : loop_(loop), model_(settings), relays_(relays), sessions_(loop) {
  for (int endpoint = 0; endpoint < endpoints; ++endpoint)
    for (int relay = 0; relay < relays; ++relay)
      listeners_.push_back(std::make_unique<net::Listener>(loop, *net::ParseAddress("127.0.0.1:0"),
                                                           [this, relay](int fd) { Accept(fd, relay); }));
}

FakePartner::~FakePartner() = default;

sockaddr_in FakePartner::Address(int endpoint, int relay) const {
  return listeners_[static_cast<std::size_t>(endpoint * relays_ + relay)]->address();
}

void FakePartner::Accept(int fd, int relay) { sessions_.Add(std::make_unique<Session>(*this, relay), fd); }

}  // namespace opalroute::lab
