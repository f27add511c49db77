#include "state_transfer/snapshot_server.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace opalroute::state_transfer {

class SnapshotServer::Session : public net::Connection::Owner {
 public:
  explicit Session(SnapshotServer& donor) : donor_(donor) {}
  ~Session() override { donor_.loop_.Cancel(timer_); }

  bool Open(int fd) {
    connection_ = net::Connection::Adopt(donor_.loop_, fd, *this, 4096, 4 * (kMaxFrameBytes + 64));
    timer_ = donor_.loop_.At(donor_.loop_.Now() + donor_.limits_.learn_session, [this] {
      timer_ = 0;
      donor_.Drop(*this);  // one that asks nothing, or takes nothing in
    });
    return connection_ != nullptr;
  }

  void Shut() {
    slices_.reset();
    donor_.loop_.Cancel(timer_);
    connection_->Close();
  }

  void OnData(net::Connection& connection) override {
    if (slices_) return connection.in().Consume(connection.in().size());  // it has asked already
    reader_.Append(connection.in());
    const auto message = reader_.Next();
    if (reader_.broken() || (message && !std::holds_alternative<SnapshotRequest>(*message)))
      return donor_.Drop(*this);
    if (message) Tell();
  }

  void OnWritten(net::Connection&) override {
    if (!waiting_.empty() && !Put(std::exchange(waiting_, {}))) return;
    if (over_) return connection_->CloseWhenWritten();
    if (slices_) slices_->Resume();
  }

  void OnEnd(net::Connection&, net::Connection::End) override { donor_.Drop(*this); }

 private:
  void Tell() {
    began_ = donor_.loop_.Now();
    Put(EncodeFrame(SnapshotHeader{kVersion, donor_.name_, began_ - donor_.started_, 0}));
    slices_ = std::make_unique<SnapshotSlices>(
        donor_.loop_, donor_.source_,
        [this](std::vector<NamedRouteState> lanes) { return TellSome(std::move(lanes)); },
        [this] { Finish(); });
  }

  bool TellSome(std::vector<NamedRouteState> lanes) {
    lanes_ += lanes.size();
    std::string bytes;
    constexpr std::size_t kLanes = 128;  // of at most 350 bytes each: a frame is never too long
    for (std::size_t at = 0; at < lanes.size(); at += kLanes) {
      SnapshotChunk chunk;
      chunk.since_begin = donor_.loop_.Now() - began_;
      const std::size_t end = std::min(lanes.size(), at + kLanes);
      std::move(lanes.begin() + static_cast<std::ptrdiff_t>(at),
                lanes.begin() + static_cast<std::ptrdiff_t>(end), std::back_inserter(chunk.routes));
      bytes += EncodeFrame(chunk);
    }
    return Put(std::move(bytes));
  }

  void Finish() {
    over_ = true;
    donor_.longest_pause_ = std::max(donor_.longest_pause_, slices_->longest());
    if (Put(EncodeFrame(SnapshotEnd{lanes_}))) connection_->CloseWhenWritten();
    log::Info("learn_told", {{"lanes", lanes_},
                             {"ms", (donor_.loop_.Now() - began_) * 1000},
                             {"longest_pause_us", static_cast<long>(slices_->longest() * 1e6)}});
  }

  // Danger: a learner that reads slowly must not make this relay hold the whole. What finds no room waits,
  // and nothing more is made meanwhile; its ages were those of its making, which its chunk states.
  bool Put(std::string bytes) {
    if (connection_->Write(bytes)) return true;
    waiting_ = std::move(bytes);
    return false;
  }

  SnapshotServer& donor_;
  std::unique_ptr<net::Connection> connection_;
  FrameReader reader_;
  std::unique_ptr<SnapshotSlices> slices_;
  std::string waiting_;
  Seconds began_ = 0;
  std::uint64_t lanes_ = 0;
  bool over_ = false;
  net::EventLoop::TimerId timer_ = 0;
};

SnapshotServer::SnapshotServer(net::EventLoop& loop, const sockaddr_in& listen, std::string name,
                               RouteStateSource source, const Limits& limits)
    : loop_(loop),
      name_(std::move(name)),
      source_(std::move(source)),
      limits_(limits),
      started_(loop.Now()),
      listener_(loop, listen, [this](int fd) { Accept(fd); }) {}

SnapshotServer::~SnapshotServer() = default;

void SnapshotServer::Accept(int fd) {
  if (static_cast<int>(sessions_.size()) >= limits_.learn_sessions) {
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
  session.Shut();
  loop_.Retire(std::move(it->second));
  sessions_.erase(it);
}

}  // namespace opalroute::state_transfer
