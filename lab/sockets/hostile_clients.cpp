#include "lab/sockets/hostile_clients.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace opalroute::lab {

namespace {

using net::Connection;

constexpr std::size_t kBodyBytes = 64 * 1024;
constexpr std::size_t kMissingBytes = 8;
constexpr std::size_t kSlowBytes = 3000;  // written at once by a slow client
constexpr net::Seconds kSlowInterval = 0.07;
constexpr net::Seconds kReconnectDelay = 0.02;
constexpr std::size_t kLongFieldBytes = 16'000;
constexpr int kFieldCount = 3200;
constexpr int kRequestsPerText = 50;  // of a client that sends at full speed
constexpr std::size_t kBufferBytes = 16 * 1024;

bool SendsAtFullSpeed(HostileKind kind) {
  return kind == HostileKind::kUnreadResponses || kind == HostileKind::kUnsoundFlood ||
         kind == HostileKind::kSoundFlood;
}

bool ReadsResponses(HostileKind kind) { return kind != HostileKind::kUnreadResponses; }

}  // namespace

const char* NameOf(HostileKind kind) {
  switch (kind) {
    case HostileKind::kStalledBody:
      return "stalled bodies";
    case HostileKind::kStalledChunks:
      return "stalled chunks of one byte";
    case HostileKind::kSlowBody:
      return "slow bodies";
    case HostileKind::kUnreadResponses:
      return "unread responses";
    case HostileKind::kLongField:
      return "a long header field";
    case HostileKind::kManyFields:
      return "many header fields";
    case HostileKind::kWholeRequests:
      return "large requests";
    case HostileKind::kUnsoundFlood:
      return "unsound requests at full speed";
    case HostileKind::kSoundFlood:
      return "sound requests at full speed";
  }
  return "";
}

class HostileClients::Client : public Connection::Owner {
 public:
  Client(HostileClients& owner, HostileKind kind) : loop_(owner.loop_), owner_(owner), kind_(kind) {
    NextText();
  }
  ~Client() override { loop_.Cancel(timer_); }  // `owner_` may already be destroyed

  bool Open() {
    connection_ = Connection::Connect(loop_, owner_.relay_, *this, {kBufferBytes, kBufferBytes});
    return connection_ != nullptr;
  }
  void Close() {
    loop_.Cancel(timer_);
    connection_->Close();
  }
  HostileKind kind() const { return kind_; }

 private:
  void OnOpen(Connection&) override { WriteMore(); }
  void OnWritten(Connection&) override { WriteMore(); }
  void OnData(Connection& connection) override {
    while (ReadsResponses(kind_) && !connection.in().empty()) connection.in().Consume(connection.in().size());
  }
  void OnClosed(Connection&, Connection::CloseReason) override { owner_.Drop(*this); }

  void NextText() {
    text_ = owner_.TextOf(kind_, ++owner_.last_number_);
    written_ = 0;
  }

  void WriteMore() {
    const std::size_t step = kind_ == HostileKind::kSlowBody ? kSlowBytes : kBufferBytes;
    while (connection_->open() && connection_->out().empty() && timer_ == 0) {
      if (written_ == text_.size()) {
        if (!SendsAtFullSpeed(kind_) && kind_ != HostileKind::kWholeRequests) return;
        NextText();
      }
      const std::string_view part = std::string_view(text_).substr(written_, step);
      connection_->Write(part);
      written_ += part.size();
      // The loop also serves other clients: one text a turn.
      Pause(kind_ == HostileKind::kSlowBody ? kSlowInterval : 0);
    }
  }

  void Pause(net::Seconds pause) {
    timer_ = loop_.At(loop_.Now() + pause, [this] {
      timer_ = 0;
      WriteMore();
    });
  }

  net::EventLoop& loop_;
  HostileClients& owner_;
  const HostileKind kind_;
  std::unique_ptr<Connection> connection_;
  std::string text_;
  std::size_t written_ = 0;
  net::EventLoop::TimerId timer_ = 0;
};

HostileClients::HostileClients(net::EventLoop& loop, const sockaddr_in& relay, ClientRequestFields fields)
    : loop_(loop), relay_(relay), fields_(std::move(fields)) {}

HostileClients::~HostileClients() { Leave(); }

void HostileClients::Connect(HostileKind kind, int count) {
  leaving_ = false;
  for (int i = 0; i < count; ++i) Open(kind);
}

void HostileClients::Leave() {
  leaving_ = true;
  for (const auto& client : clients_) client->Close();
  for (auto& client : clients_) loop_.Retire(std::move(client));
  clients_.clear();
}

void HostileClients::Open(HostileKind kind) {
  auto client = std::make_unique<Client>(*this, kind);
  if (client->Open()) clients_.push_back(std::move(client));
}

void HostileClients::Drop(Client& client) {
  const HostileKind kind = client.kind();
  client.Close();
  const auto found = std::find_if(clients_.begin(), clients_.end(),
                                  [&client](const auto& other) { return other.get() == &client; });
  if (found == clients_.end()) return;
  loop_.Retire(std::move(*found));
  clients_.erase(found);
  if (leaving_) return;
  loop_.At(loop_.Now() + kReconnectDelay, [this, kind] {
    if (!leaving_) Open(kind);
  });
}

std::string HostileClients::Head(long number, const std::string& body_field) const {
  return "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: hostile-" + std::to_string(number) +
         "\r\nX-Lane: " + fields_.request_class + "\r\nX-Org: " + fields_.tenant +
         "\r\nX-Remaining-Ms: 4000\r\nX-Addressing: dest=" + std::to_string(fields_.destination) + "\r\n" +
         body_field + "\r\n\r\n";
}

std::string HostileClients::TextOf(HostileKind kind, long number) const {
  const std::string length = "Content-Length: " + std::to_string(kBodyBytes);
  std::string text;
  switch (kind) {
    case HostileKind::kStalledBody:
      return Head(number, length) + std::string(kBodyBytes - kMissingBytes, 'x');
    case HostileKind::kStalledChunks:
      text = Head(number, "Transfer-Encoding: chunked");
      for (std::size_t i = kMissingBytes; i < kBodyBytes; ++i) text += "1\r\nx\r\n";
      return text;
    case HostileKind::kSlowBody:
    case HostileKind::kWholeRequests:
      return Head(number, length) + std::string(kBodyBytes, 'x');
    case HostileKind::kUnreadResponses:
      for (int i = 0; i < kRequestsPerText; ++i) text += "GET /counters HTTP/1.1\r\nHost: app.svc\r\n\r\n";
      return text;
    case HostileKind::kLongField:
      return "POST /api HTTP/1.1\r\nX-Long: " + std::string(kLongFieldBytes, 'x');
    case HostileKind::kManyFields:
      text = "POST /api HTTP/1.1\r\n";
      for (int i = 0; i < kFieldCount; ++i) text += "a:b\r\n";
      return text;
    case HostileKind::kUnsoundFlood:
      for (int i = 0; i < kRequestsPerText; ++i)
        text += "POST /api HTTP/1.1\r\nX-Txn: new-" + std::to_string(number * kRequestsPerText + i) +
                "\r\nX-Lane: none\r\nContent-Length: 2\r\n\r\nxy";
      return text;
    case HostileKind::kSoundFlood:
      for (int i = 0; i < kRequestsPerText; ++i)
        text += Head(number * kRequestsPerText + i, "Content-Length: 2") + "xy";
      return text;
  }
  return text;
}

}  // namespace opalroute::lab
