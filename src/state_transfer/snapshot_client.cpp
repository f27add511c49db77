#include "state_transfer/snapshot_client.h"

#include <algorithm>
#include <utility>

namespace opalroute::state_transfer {

namespace {

constexpr std::size_t kRequestBufferBytes = 4096;

}  // namespace

// The connection to one server.
class SnapshotClient::Session : public net::Connection::Owner {
 public:
  Session(SnapshotClient& client, int server) : client_(client), server_(server) {}

  bool Open(const sockaddr_in& address) {
    opened_at_ = client_.loop_.Now();
    connection_ =
        net::Connection::Connect(client_.loop_, address, *this, {kMaxFrameBytes, kRequestBufferBytes});
    return connection_ != nullptr &&
           connection_->Write(EncodeFrame(SnapshotRequest{kVersion, client_.name_}));
  }

  void Close() {
    if (connection_) connection_->Close();
  }

  // Records the result and closes the connection. Does not destroy the session, which lives as long as the
  // client.
  void End(SnapshotResult result) {
    if (std::exchange(ended_, true)) return;
    report().result = result;
    report().duration = client_.loop_.Now() - opened_at_;
    Close();
    client_.OnSessionEnded();
  }

 private:
  struct MessageHandler {
    Session& session;

    void operator()(const SnapshotRequest&) const {
      if (!session.header_at_) session.End(SnapshotResult::kCorrupt);
    }
    void operator()(const SnapshotHeader& header) const { session.OnHeader(header); }
    void operator()(const SnapshotChunk& chunk) const { session.OnChunk(chunk); }
    void operator()(const SnapshotEnd& end) const { session.OnSnapshotEnd(end); }
  };

  void OnData(net::Connection& connection) override {
    reader_.Append(connection.in());
    while (const auto message = reader_.Next()) {
      std::visit(MessageHandler{*this}, *message);
      if (ended_) return;
    }
    report().bytes = reader_.frame_bytes();
    if (reader_.corrupt()) return End(SnapshotResult::kCorrupt);
    if (reader_.frame_bytes() > client_.limits_.snapshot_bytes) End(SnapshotResult::kLimitExceeded);
  }

  void OnClosed(net::Connection&, net::Connection::CloseReason how) override {
    End(how == net::Connection::CloseReason::kNotConnected ? SnapshotResult::kNotConnected
                                                           : SnapshotResult::kTruncated);
  }

  void OnHeader(const SnapshotHeader& header) {
    report().name = header.name;
    report().uptime = header.uptime;
    header_at_ = client_.loop_.Now();
    if (header.version > kVersion) return End(SnapshotResult::kNewerVersion);
    if (header.version < kVersion) return End(SnapshotResult::kOlderVersion);
    if (header.name == client_.name_) End(SnapshotResult::kOwn);
  }

  // Relays share no clock. A chunk states its time since the header, and the header's arrival is taken for
  // the time of its creation. So a state appears younger than it is by at most the transit time of the
  // header, and no Retry-After ends too early.
  void OnChunk(const SnapshotChunk& chunk) {
    if (!header_at_) return End(SnapshotResult::kCorrupt);
    const Seconds observed_at = std::min(client_.loop_.Now(), *header_at_ + chunk.since_header);
    report().out_of_range += chunk.out_of_range;
    for (const NamedRouteState& route : chunk.routes) {
      ++report().route_count;
      client_.owner_.OnRouteState(server_, route, observed_at);
    }
    if (report().route_count > client_.limits_.snapshot_routes) End(SnapshotResult::kLimitExceeded);
  }

  void OnSnapshotEnd(const SnapshotEnd& end) {
    if (!header_at_) return End(SnapshotResult::kCorrupt);
    End(end.route_count == report().route_count ? SnapshotResult::kComplete : SnapshotResult::kTruncated);
  }

  Report& report() { return client_.reports_[static_cast<std::size_t>(server_)]; }

  SnapshotClient& client_;
  const int server_;
  std::unique_ptr<net::Connection> connection_;
  FrameReader reader_;
  Seconds opened_at_ = 0;
  std::optional<Seconds> header_at_;
  bool ended_ = false;
};

SnapshotClient::SnapshotClient(net::EventLoop& loop, const std::vector<sockaddr_in>& servers,
                               std::string name, Seconds timeout, const Limits& limits, Owner& owner)
    : loop_(loop),
      name_(std::move(name)),
      limits_(limits),
      owner_(owner),
      reports_(servers.size()),
      running_sessions_(servers.size()),
      timer_(loop) {
  timer_.Start(loop_.Now() + timeout, [this] { Finish(); });
  for (std::size_t i = 0; i < servers.size(); ++i) {
    reports_[i].address = servers[i];
    sessions_.push_back(std::make_unique<Session>(*this, static_cast<int>(i)));
  }
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (!sessions_[i]->Open(servers[i])) sessions_[i]->End(SnapshotResult::kNotConnected);
  }
}

SnapshotClient::~SnapshotClient() {
  for (const auto& session : sessions_) session->Close();
}

void SnapshotClient::OnSessionEnded() {
  if (--running_sessions_ > 0 || !timer_.pending()) return;
  // Deferred to the event loop: Finish must not run in a session's callback or in the constructor.
  timer_.Start(loop_.Now(), [this] { Finish(); });
}

void SnapshotClient::Finish() {
  for (const auto& session : sessions_) session->Close();
  owner_.OnSnapshotsEnded(reports_);
}

}  // namespace opalroute::state_transfer
