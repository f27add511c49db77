#include "lab/partner.h"

#include <cmath>
#include <utility>

#include "net/address.h"
#include "net/http.h"

namespace opalroute::lab {

namespace {

const net::HttpBounds kBounds{16 * 1024, 64, 64 * 1024};

}  // namespace

class Partner::Session : public net::Connection::Owner {
 public:
  Session(Partner& partner, int relay)
      : partner_(partner), relay_(relay), parser_(net::HttpParser::Kind::kRequest, kBounds) {}
  ~Session() override { partner_.loop_.Cancel(timer_); }

  bool Open(int fd) {
    connection_ = net::Connection::Adopt(partner_.loop_, fd, *this, 128 * 1024, 16 * 1024);
    return connection_ != nullptr;
  }
  void Shut() {
    partner_.loop_.Cancel(timer_);
    connection_->Close();
  }

  void OnData(net::Connection& connection) override {
    net::RingBuffer& in = connection.in();
    while (timer_ == 0 && !in.empty()) {
      in.Consume(parser_.Parse(in.Front()));
      if (parser_.failed()) return partner_.sessions_.Drop(*this);
      if (parser_.done()) Answer();
    }
  }
  void OnClosed(net::Connection&, net::Connection::CloseReason) override { partner_.sessions_.Drop(*this); }

 private:
  void Answer() {
    const net::HttpMessage request = std::move(parser_.message());
    parser_.Reset();
    if (request.method != "POST" || request.target != "/hook") return Write(404, 0, {});
    const std::string* id = request.Header("X-Txn");
    if (id == nullptr) return Write(400, 0, {});
    const bool unsafe = request.body.rfind("payment", 0) == 0;  // the load writes a message's class first
    const auto verdict = partner_.model_.Take(partner_.loop_.Now(), relay_, *id, unsafe);
    timer_ = partner_.loop_.At(partner_.loop_.Now() + verdict.answer_in, [this, verdict, id = *id] {
      timer_ = 0;
      Write(verdict.status, verdict.wait, id);
      OnData(*connection_);
    });
  }

  void Write(int status, Seconds wait, const std::string& id) {
    net::Headers headers;
    if (wait > 0)
      headers.emplace_back("X-RateLimit-Wait-Ms", std::to_string(static_cast<long>(std::ceil(wait * 1000))));
    if (status == 200) partner_.delivered_.emplace(id, partner_.loop_.Now());
    connection_->Write(net::FormatResponse(status, headers, {}));
  }

  Partner& partner_;
  const int relay_;
  std::unique_ptr<net::Connection> connection_;
  net::HttpParser parser_;
  net::EventLoop::TimerId timer_ = 0;
};

Partner::Partner(net::EventLoop& loop, const PartnerSettings& settings, int endpoints, int relays)
    : loop_(loop), model_(settings), relays_(relays), sessions_(loop) {
  for (int endpoint = 0; endpoint < endpoints; ++endpoint)
    for (int relay = 0; relay < relays; ++relay)
      listeners_.push_back(std::make_unique<net::Listener>(loop, *net::ParseAddress("127.0.0.1:0"),
                                                           [this, relay](int fd) { Accept(fd, relay); }));
}

Partner::~Partner() = default;

sockaddr_in Partner::Address(int endpoint, int relay) const {
  return listeners_[static_cast<std::size_t>(endpoint * relays_ + relay)]->address();
}

void Partner::Accept(int fd, int relay) { sessions_.Adopt(std::make_unique<Session>(*this, relay), fd); }

}  // namespace opalroute::lab
