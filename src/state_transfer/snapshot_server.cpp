#include "state_transfer/snapshot_server.h"

#include <unistd.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "log/log.h"
#include "net/timer.h"
#include "state_transfer/frame_reader.h"

namespace opalroute::state_transfer {

namespace {

constexpr std::size_t kReadBufferBytes = 4096;
// Space for four frames with their headers.
constexpr std::size_t kWriteBufferBytes = 4 * (kMaxFrameBytes + 64);
// A route takes at most 350 bytes, so a chunk's record stays below kMaxFrameBytes.
constexpr std::size_t kRoutesPerChunk = 128;

}  // namespace

// The connection of one client.
class SnapshotServer::Session : public net::Connection::Owner {
 public:
  explicit Session(SnapshotServer& server) : server_(server), timer_(server.loop_) {}

  bool Open(int fd) {
    connection_ = net::Connection::Adopt(server_.loop_, fd, *this, {kReadBufferBytes, kWriteBufferBytes});
    // Bounds the time of a client that sends no request or does not read.
    timer_.Start(server_.loop_.Now() + server_.limits_.snapshot_session_timeout,
                 [this] { server_.Drop(*this); });
    return connection_ != nullptr;
  }

  void Close() {
    slices_.reset();
    timer_.Cancel();
    connection_->Close();
  }

  void OnData(net::Connection& connection) override {
    // A client sends one request; further input is discarded.
    if (slices_) return connection.in().Consume(connection.in().size());
    reader_.Append(connection.in());
    const auto message = reader_.Next();
    const bool is_request = message && std::holds_alternative<SnapshotRequest>(*message);
    if (reader_.corrupt() || (message && !is_request)) return server_.Drop(*this);
    if (is_request) SendSnapshot();
  }

  void OnWritten(net::Connection&) override {
    if (!unsent_.empty() && !Send(std::exchange(unsent_, {}))) return;
    if (finished_) return connection_->CloseWhenWritten();
    if (slices_) slices_->Resume();
  }

  void OnClosed(net::Connection&, net::Connection::CloseReason) override { server_.Drop(*this); }

 private:
  void SendSnapshot() {
    started_at_ = server_.loop_.Now();
    Send(EncodeFrame(SnapshotHeader{kVersion, server_.name_, started_at_ - server_.started_at_, 0}));
    slices_ = std::make_unique<SnapshotSlices>(
        server_.loop_, server_.source_,
        [this](std::vector<NamedRouteState> routes) { return SendSlice(std::move(routes)); },
        [this] { Finish(); });
  }

  bool SendSlice(std::vector<NamedRouteState> routes) {
    route_count_ += routes.size();
    std::string bytes;
    for (std::size_t begin = 0; begin < routes.size(); begin += kRoutesPerChunk) {
      const std::size_t end = std::min(routes.size(), begin + kRoutesPerChunk);
      SnapshotChunk chunk;
      chunk.since_header = server_.loop_.Now() - started_at_;
      std::move(routes.begin() + static_cast<std::ptrdiff_t>(begin),
                routes.begin() + static_cast<std::ptrdiff_t>(end), std::back_inserter(chunk.routes));
      bytes += EncodeFrame(chunk);
    }
    return Send(std::move(bytes));
  }

  void Finish() {
    finished_ = true;
    server_.longest_pause_ = std::max(server_.longest_pause_, slices_->longest_slice());
    if (Send(EncodeFrame(SnapshotEnd{route_count_}))) connection_->CloseWhenWritten();
    log::Info("snapshot_sent", {{"routes", route_count_},
                                {"ms", (server_.loop_.Now() - started_at_) * 1000},
                                {"longest_pause_us", static_cast<long>(slices_->longest_slice() * 1e6)}});
  }

  // Returns false if the connection's buffer is full. The bytes are then kept, and no further slice is read
  // until they are written, so that a client that reads slowly does not make this relay hold the whole
  // snapshot in memory. The ages stay correct, because each chunk states when it was made.
  bool Send(std::string bytes) {
    if (connection_->Write(bytes)) return true;
    unsent_ = std::move(bytes);
    return false;
  }

  SnapshotServer& server_;
  std::unique_ptr<net::Connection> connection_;
  FrameReader reader_;
  std::unique_ptr<SnapshotSlices> slices_;
  std::string unsent_;
  Seconds started_at_ = 0;
  std::uint64_t route_count_ = 0;
  bool finished_ = false;
  net::Timer timer_;
};

SnapshotServer::SnapshotServer(net::EventLoop& loop, const sockaddr_in& listen, std::string name,
                               RouteStateSource source, const Limits& limits)
    : loop_(loop),
      name_(std::move(name)),
      source_(std::move(source)),
      limits_(limits),
      started_at_(loop.Now()),
      listener_(std::in_place, loop, listen, [this](int fd) { Accept(fd); }) {}

SnapshotServer::~SnapshotServer() = default;

void SnapshotServer::Accept(int fd) {
  if (static_cast<int>(sessions_.size()) >= limits_.snapshot_sessions) {
    close(fd);
    return;
  }
  auto session = std::make_unique<Session>(*this);
  Session* const key = session.get();
  if (session->Open(fd)) sessions_.emplace(key, std::move(session));
}

void SnapshotServer::Drop(Session& session) {
  const auto it = sessions_.find(&session);
  if (it == sessions_.end()) return;
  session.Close();
  loop_.Retire(std::move(it->second));
  sessions_.erase(it);
}

}  // namespace opalroute::state_transfer
