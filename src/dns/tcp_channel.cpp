#include "dns/tcp_channel.h"

#include <utility>
#include <vector>

namespace opalroute::dns {

namespace {

constexpr std::size_t kLength = 2;  // bytes of the length in front of a message (RFC 1035, 4.2.2)

std::uint16_t Number(const std::string& bytes, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<std::uint8_t>(bytes[at]) << 8 |
                                    static_cast<std::uint8_t>(bytes[at + 1]));
}

}  // namespace

TcpChannel::TcpChannel(net::EventLoop& loop, const sockaddr_in& server, const Limits& limits)
    : loop_(loop), server_(server), limits_(limits) {}

TcpChannel::~TcpChannel() { Close(); }

void TcpChannel::Ask(std::uint16_t id, const std::string& query, Done done) {
  loop_.Cancel(rest_timer_);
  waiting_[id] = std::move(done);
  if (connection_ == nullptr) {
    connection_ =
        net::Connection::Connect(loop_, server_, *this, limits_.dns_tcp_bytes, limits_.dns_tcp_bytes);
  }
  const std::string length = {static_cast<char>(query.size() >> 8), static_cast<char>(query.size() & 0xff)};
  if (connection_ != nullptr && connection_->Write(length + query)) return;
  // Told later, as every other end is.
  loop_.At(loop_.Now(), [this, alive = std::weak_ptr<bool>(alive_), id] {
    if (alive.expired()) return;
    const auto it = waiting_.find(id);
    if (it == waiting_.end()) return;
    const Done failed = std::move(it->second);
    waiting_.erase(it);
    failed(nullptr);
  });
}

void TcpChannel::Forget(std::uint16_t id) {
  waiting_.erase(id);
  RestIfIdle();
}

void TcpChannel::RestIfIdle() {
  if (!waiting_.empty() || connection_ == nullptr) return;
  loop_.Cancel(rest_timer_);
  rest_timer_ = loop_.At(loop_.Now() + limits_.dns_tcp_rest, [this] {
    rest_timer_ = 0;
    Close();
  });
}

void TcpChannel::Close() {
  loop_.Cancel(rest_timer_);
  frame_.clear();
  if (connection_) connection_->Close();
  loop_.Retire(std::move(connection_));
}

void TcpChannel::FailAll() {
  Close();
  for (auto& [id, done] : std::exchange(waiting_, {})) done(nullptr);
}

void TcpChannel::OnData(net::Connection& connection) {
  net::RingBuffer& in = connection.in();
  while (!in.empty() && connection_.get() == &connection) {
    const std::size_t wanted = frame_.size() < kLength ? kLength : kLength + Number(frame_, 0);
    const std::string_view piece = in.Front().substr(0, wanted - frame_.size());
    frame_ += piece;
    in.Consume(piece.size());
    if (frame_.size() < kLength || frame_.size() < kLength + Number(frame_, 0)) continue;
    const std::string message = std::exchange(frame_, {}).substr(kLength);
    // Nobody asked for it, or gave up: the next one may be for somebody.
    const auto it = message.size() < 2 ? waiting_.end() : waiting_.find(Number(message, 0));
    if (it == waiting_.end()) continue;
    const Done done = std::move(it->second);
    waiting_.erase(it);
    RestIfIdle();
    done(&message);
  }
}

void TcpChannel::OnClosed(net::Connection&, net::Connection::CloseReason) { FailAll(); }

}  // namespace opalroute::dns
