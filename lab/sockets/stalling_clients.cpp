#include "lab/sockets/stalling_clients.h"

#include <algorithm>
#include <utility>

namespace opalroute::lab {

namespace {

using net::Connection;

constexpr net::Seconds kCloseTimeout = 3.3;  // the protocol's 3 s, plus a pause of the relay's process
constexpr net::Seconds kIdleTime = 4;        // of clients that send nothing
constexpr std::size_t kBufferBytes = 4096;

const char* PartialRequest(StalledClientsPlan::Kind kind) {
  switch (kind) {
    case StalledClientsPlan::Kind::kIdle:
      return "";
    case StalledClientsPlan::Kind::kPartialHeader:
      return "POST /api HTTP/1.1\r\nHost: lab\r\nX-Txn: ru";
    case StalledClientsPlan::Kind::kPartialBody:
      return "POST /api HTTP/1.1\r\nHost: lab\r\nContent-Length: 40\r\n\r\nhalf of";
  }
  return "";
}

}  // namespace

class StallingClients::Client : public Connection::Owner {
 public:
  Client(StallingClients& owner, int relay, StalledClientsPlan::Kind kind)
      : loop_(owner.loop_), owner_(owner), relay_(relay), kind_(kind) {}
  ~Client() override { loop_.Cancel(timer_); }  // `owner_` may already be destroyed

  bool Open(const sockaddr_in& address) {
    connection_ = Connection::Connect(owner_.loop_, address, *this, {kBufferBytes, kBufferBytes});
    return connection_ != nullptr;
  }

 private:
  void OnOpen(Connection& connection) override {
    connection.Write(PartialRequest(kind_));
    const bool must_be_closed = kind_ != StalledClientsPlan::Kind::kIdle;
    timer_ = owner_.loop_.At(owner_.loop_.Now() + (must_be_closed ? kCloseTimeout : kIdleTime),
                             [this, must_be_closed] {
                               timer_ = 0;
                               connection_->Close();
                               if (must_be_closed) owner_.on_overdue_(relay_);
                               owner_.Drop(*this);
                             });
  }
  // Any response completes the exchange.
  void OnData(Connection& connection) override {
    if (connection.in().empty()) return;
    connection.Close();
    owner_.Drop(*this);
  }
  void OnClosed(Connection&, Connection::CloseReason) override { owner_.Drop(*this); }

  net::EventLoop& loop_;
  StallingClients& owner_;
  const int relay_;
  const StalledClientsPlan::Kind kind_;
  std::unique_ptr<Connection> connection_;
  net::EventLoop::TimerId timer_ = 0;
};

StallingClients::StallingClients(net::EventLoop& loop, std::function<void(int)> on_overdue)
    : loop_(loop), on_overdue_(std::move(on_overdue)) {}

StallingClients::~StallingClients() = default;

void StallingClients::Connect(int relay, const sockaddr_in& address, StalledClientsPlan::Kind kind,
                              int count) {
  for (int i = 0; i < count; ++i) {
    auto client = std::make_unique<Client>(*this, relay, kind);
    if (client->Open(address)) clients_.push_back(std::move(client));
  }
}

void StallingClients::Drop(Client& client) {
  const auto found = std::find_if(clients_.begin(), clients_.end(),
                                  [&client](const auto& other) { return other.get() == &client; });
  loop_.Retire(std::move(*found));
  clients_.erase(found);
}

}  // namespace opalroute::lab
