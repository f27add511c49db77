#include "state_transfer/snapshot_client.h"

#include <algorithm>
#include <utility>

namespace opalroute::state_transfer {

class SnapshotClient::Session : public net::Connection::Owner {
 public:
  Session(SnapshotClient& learner, int donor) : learner_(learner), donor_(donor) {}

  bool Open(const sockaddr_in& to) {
    asked_ = learner_.loop_.Now();
    connection_ = net::Connection::Connect(learner_.loop_, to, *this, kMaxFrameBytes, 4096);
    return connection_ != nullptr &&
           connection_->Write(EncodeFrame(SnapshotRequest{kVersion, learner_.name_}));
  }
  void Shut() {
    if (connection_) connection_->Close();
  }

  void OnData(net::Connection& connection) override {
    reader_.Append(connection.in());
    while (auto message = reader_.Next()) {
      Take(*message);
      if (over_) return;
    }
    report().bytes = reader_.taken();
    if (reader_.broken()) return End("garbled");
    if (reader_.taken() > learner_.limits_.learn_bytes) End("too_much");
  }

  void OnEnd(net::Connection&, net::Connection::End how) override {
    End(how == net::Connection::End::kNotConnected ? "refused" : "cut");
  }

  // The report's last word. The learner lives on until all have ended.
  void End(const char* how) {
    if (std::exchange(over_, true)) return;
    report().result = how;
    report().took = learner_.loop_.Now() - asked_;
    Shut();
    learner_.Ended();
  }

 private:
  Report& report() { return learner_.reports_[static_cast<std::size_t>(donor_)]; }

  void Take(const Message& message) {
    if (const auto* begin = std::get_if<SnapshotHeader>(&message)) {
      report().name = begin->name;
      report().running = begin->running;
      begun_ = learner_.loop_.Now();
      has_begun_ = true;
      if (begin->version > kVersion) return End("newer");
      if (begin->version < kVersion) return End("older");
      if (begin->name == learner_.name_) return End("itself");
    } else if (!has_begun_) {
      End("garbled");
    } else if (const auto* chunk = std::get_if<SnapshotChunk>(&message)) {
      TakeChunk(*chunk);
    } else if (const auto* end = std::get_if<state_transfer::SnapshotEnd>(&message)) {
      End(end->route_count == report().route_count ? "whole" : "cut");
    }
  }

  // No clock is shared: a chunk states how long after Begin it was made, and Begin was made no later than it
  // came. So nothing is taken for younger than it is by more than Begin's way, and no wait ends too soon.
  void TakeChunk(const SnapshotChunk& chunk) {
    const Seconds made = std::min(learner_.loop_.Now(), begun_ + chunk.since_begin);
    report().out_of_range += chunk.out_of_range;
    for (const NamedRouteState& heard : chunk.routes) {
      ++report().route_count;
      learner_.owner_.OnRouteState(donor_, heard, made);
    }
    if (report().route_count > learner_.limits_.learn_lanes) End("too_much");
  }

  SnapshotClient& learner_;
  const int donor_;
  std::unique_ptr<net::Connection> connection_;
  FrameReader reader_;
  Seconds asked_ = 0, begun_ = 0;
  bool has_begun_ = false, over_ = false;
};

SnapshotClient::SnapshotClient(net::EventLoop& loop, const std::vector<sockaddr_in>& donors, std::string name,
                               Seconds time, const Limits& limits, Owner& owner)
    : loop_(loop), name_(std::move(name)), limits_(limits), owner_(owner) {
  reports_.resize(donors.size());
  running_ = donors.size();
  timer_ = loop_.At(loop_.Now() + time, [this] {
    timer_ = 0;
    Finish();
  });
  for (std::size_t i = 0; i < donors.size(); ++i) {
    reports_[i].address = donors[i];
    sessions_.push_back(std::make_unique<Session>(*this, static_cast<int>(i)));
  }
  for (std::size_t i = 0; i < donors.size(); ++i)
    if (!sessions_[i]->Open(donors[i])) sessions_[i]->End("refused");
}

SnapshotClient::~SnapshotClient() {
  loop_.Cancel(timer_);
  for (const auto& session : sessions_) session->Shut();
}

void SnapshotClient::Ended() {
  if (--running_ > 0 || timer_ == 0) return;
  // Not from inside a session's own callback, nor from the constructor.
  loop_.Cancel(timer_);
  timer_ = loop_.At(loop_.Now(), [this] {
    timer_ = 0;
    Finish();
  });
}

void SnapshotClient::Finish() {
  for (const auto& session : sessions_) session->Shut();
  owner_.OnSnapshotsEnded(reports_);
}

}  // namespace opalroute::state_transfer
