#include "lab/sockets/rude_clients.h"

#include <algorithm>
#include <utility>

namespace opalroute::lab {

namespace {

using net::Connection;

constexpr net::Seconds kOwedWithin = 3.3;  // 3 s of the protocol, and a stop of the relay's process
constexpr net::Seconds kStays = 4;
constexpr std::size_t kBuffer = 4096;

const char* TextOf(StalledClientsPlan::Kind kind) {
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

class RudeClients::Client : public Connection::Owner {
 public:
  Client(RudeClients& all, int relay, StalledClientsPlan::Kind kind)
      : loop_(all.loop_), all_(all), relay_(relay), kind_(kind) {}
  ~Client() override { loop_.Cancel(timer_); }  // `all` may be gone by now

  bool Open(const sockaddr_in& address) {
    connection_ = Connection::Connect(all_.loop_, address, *this, kBuffer, kBuffer);
    return connection_ != nullptr;
  }

 private:
  void OnOpen(Connection& connection) override {
    connection.Write(TextOf(kind_));
    const bool owed = kind_ != StalledClientsPlan::Kind::kIdle;
    timer_ = all_.loop_.At(all_.loop_.Now() + (owed ? kOwedWithin : kStays), [this, owed] {
      timer_ = 0;
      connection_->Close();
      if (owed) all_.on_late_(relay_);
      all_.Drop(*this);
    });
  }
  // An answer is an end, too.
  void OnData(Connection& connection) override {
    if (connection.in().empty()) return;
    connection.Close();
    all_.Drop(*this);
  }
  void OnClosed(Connection&, Connection::CloseReason) override { all_.Drop(*this); }

  net::EventLoop& loop_;
  RudeClients& all_;
  const int relay_;
  const StalledClientsPlan::Kind kind_;
  std::unique_ptr<Connection> connection_;
  net::EventLoop::TimerId timer_ = 0;
};

RudeClients::RudeClients(net::EventLoop& loop, std::function<void(int)> on_late)
    : loop_(loop), on_late_(std::move(on_late)) {}

RudeClients::~RudeClients() = default;

void RudeClients::Connect(int relay, const sockaddr_in& address, StalledClientsPlan::Kind kind, int count) {
  for (int i = 0; i < count; ++i) {
    auto client = std::make_unique<Client>(*this, relay, kind);
    if (client->Open(address)) clients_.push_back(std::move(client));
  }
}

void RudeClients::Drop(Client& client) {
  const auto at = std::find_if(clients_.begin(), clients_.end(),
                               [&client](const auto& other) { return other.get() == &client; });
  loop_.Retire(std::move(*at));
  clients_.erase(at);
}

}  // namespace opalroute::lab
