#include "dns/tcp_channel.h"

#include <utility>
#include <vector>

namespace opalroute::dns {

namespace {

constexpr std::size_t kLengthBytes = 2;  // the length prefix of a message (RFC 1035, 4.2.2)

std::uint16_t Read16(const std::string& bytes, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<std::uint8_t>(bytes[at]) << 8 |
                                    static_cast<std::uint8_t>(bytes[at + 1]));
}

}  // namespace

TcpChannel::TcpChannel(net::EventLoop& loop, const sockaddr_in& server, const Limits& limits)
    : loop_(loop), server_(server), limits_(limits) {}

TcpChannel::~TcpChannel() { Close(); }

void TcpChannel::Query(std::uint16_t id, const std::string& query, Done done) {
  loop_.Cancel(idle_timer_);
  pending_[id] = std::move(done);
  if (connection_ == nullptr) {
    connection_ = net::Connection::Connect(loop_, server_, *this,
                                           {limits_.dns_tcp_buffer_bytes, limits_.dns_tcp_buffer_bytes});
  }
  const std::string length = {static_cast<char>(query.size() >> 8), static_cast<char>(query.size() & 0xff)};
  if (connection_ != nullptr && connection_->Write(length + query)) return;
  // Reported through the loop, so that `done` is never called before Query returns.
  loop_.At(loop_.Now(), [this, alive = std::weak_ptr<bool>(alive_), id] {
    if (alive.expired()) return;
    const auto it = pending_.find(id);
    if (it == pending_.end()) return;
    const Done failed = std::move(it->second);
    pending_.erase(it);
    failed(nullptr);
  });
}

void TcpChannel::Cancel(std::uint16_t id) {
  pending_.erase(id);
  StartTimerIfIdle();
}

void TcpChannel::StartTimerIfIdle() {
  if (!pending_.empty() || connection_ == nullptr) return;
  loop_.Cancel(idle_timer_);
  idle_timer_ = loop_.At(loop_.Now() + limits_.dns_tcp_idle_timeout, [this] {
    idle_timer_ = 0;
    Close();
  });
}

void TcpChannel::Close() {
  loop_.Cancel(idle_timer_);
  frame_.clear();
  if (connection_) connection_->Close();
  loop_.Retire(std::move(connection_));
}

void TcpChannel::FailAll() {
  Close();
  for (auto& [id, done] : std::exchange(pending_, {})) done(nullptr);
}

void TcpChannel::OnData(net::Connection& connection) {
  net::RingBuffer& in = connection.in();
  while (!in.empty() && connection_.get() == &connection) {
    const std::size_t wanted = frame_.size() < kLengthBytes ? kLengthBytes : kLengthBytes + Read16(frame_, 0);
    const std::string_view piece = in.Front().substr(0, wanted - frame_.size());
    frame_ += piece;
    in.Consume(piece.size());
    if (frame_.size() < kLengthBytes || frame_.size() < kLengthBytes + Read16(frame_, 0)) continue;
    const std::string message = std::exchange(frame_, {}).substr(kLengthBytes);
    // An answer to an unknown or cancelled query is skipped; the next one may match.
    const auto it = message.size() < 2 ? pending_.end() : pending_.find(Read16(message, 0));
    if (it == pending_.end()) continue;
    const Done done = std::move(it->second);
    pending_.erase(it);
    StartTimerIfIdle();
    done(&message);
  }
}

void TcpChannel::OnClosed(net::Connection&, net::Connection::CloseReason) { FailAll(); }

}  // namespace opalroute::dns
