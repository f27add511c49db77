#include "net/http_client.h"

#include <algorithm>
#include <utility>

namespace opalroute::net {

class HttpClient::PooledConnection : public Connection::Owner {
 public:
  PooledConnection(HttpClient& client, PeerPool& pool, std::uint64_t number)
      : client_(client),
        pool_(pool),
        number_(number),
        parser_(HttpParser::Kind::kResponse, client.bounds_.http) {}

  bool Open() {
    const ClientBounds& b = client_.bounds_;
    const ConnectionBounds of_connection{b.http.head_bytes + b.http.body_bytes, b.request_bytes, 0, b.memory,
                                         b.memory_owner};
    connection_ = Connection::Connect(client_.loop_, pool_.peer.address, *this, of_connection);
    SetTimer(b.connect_timeout);
    return connection_ != nullptr;
  }
  void set_position(PooledConnections::iterator position) { position_ = position; }
  PooledConnections::iterator position() const { return position_; }

  PeerPool& pool() { return pool_; }
  bool connecting() const { return !established_; }
  bool idle() const { return established_ && call_ == nullptr && !has_unmatched_input_; }
  bool unused() const { return calls_ == 0; }
  Seconds idle_since() const { return idle_since_; }
  CallProgress progress() { return {connection_->out().empty(), parser_.message().status}; }
  // False if the end of the stream or unexpected bytes have arrived unread: the next request would fail with
  // a reset, or take these bytes for its response.
  bool SeemsAlive() const { return connection_->SeemsAlive(); }
  // Takes in what has arrived on an idle connection that does not seem alive. It is not idle afterwards.
  void ReadUnmatchedInput() {
    connection_->ResumeReading();
    if (connection_->open() && idle()) client_.Drop(*this);
  }

  void Serve(Call& call) {
    const std::string request = call.OnReady();
    if (request.empty()) return;
    client_.loop_.Cancel(timer_);
    call_ = &call;
    call.connection_ = this;
    call.exchange_ = {number_, calls_++};
    if (!connection_->Write(request)) return Fail(Failure::kNotWritten);
    if (connection_->out().empty()) call.OnWritten();
  }

  void OnWritten(Connection&) override {
    if (call_ != nullptr) call_->OnWritten();
  }

  void OnOpen(Connection&) override {
    // The peer may have closed the connection right after accepting it. Dropping it without failing a call
    // would leave that call waiting, as no other connection would be opened for it.
    if (!connection_->SeemsAlive()) return FailToConnect();
    established_ = true;
    --pool_.connecting;
    BecomeIdle();
    client_.ServeWaiting(pool_);
  }

  void OnData(Connection& connection) override {
    RingBuffer& in = connection.in();
    if (call_ == nullptr) return TakeUnmatchedInput();
    Parse();
    // A response to a request that is not written yet; it is this one's only on a connection's first call.
    if (parser_.begun() && !progress().written && calls_ > 1) return Fail(Failure::kNotWritten);
    if (connection.peer_closed() && parser_.begun()) parser_.HandleEndOfInput();
    if (parser_.failed()) return Fail(progress().written ? Failure::kReset : Failure::kNotWritten);
    if (!parser_.done()) return AwaitRestOfResponse();
    const bool keep = client_.bounds_.keeps_connections && parser_.message().keep_alive &&
                      progress().written && !connection.peer_closed();
    const bool ended_unannounced = parser_.message().keep_alive && connection.peer_closed() && in.empty();
    HttpMessage response = std::move(parser_.message());
    parser_.Reset();
    has_status_ = false;
    responded_at_ = client_.loop_.Now();
    Call& call = *std::exchange(call_, nullptr);
    client_.Detach(call);
    PeerPool& pool = pool_;  // valid until the sweep, which runs from a timer
    if (!in.empty()) {
      has_unmatched_input_ = true;
      input_came_with_response_ = true;
      client_.loop_.Cancel(timer_);
    } else if (keep && MayStayOpen()) {
      BecomeIdle();
    } else {
      client_.Drop(*this);
    }
    call.OnResponse(response);
    if (has_unmatched_input_ && connection_->open()) TakeUnmatchedInput();
    if (ended_unannounced) Report({number_, calls_, 0, false, true, {}});
    client_.ServeWaiting(pool);
  }

  void OnClosed(Connection&, Connection::CloseReason how) override {
    if (!established_) return FailToConnect();
    if (call_ == nullptr) return EndWithUnmatchedInput();
    Fail(how != Connection::CloseReason::kNotConnected && progress().written ? Failure::kReset
                                                                             : Failure::kNotWritten);
  }

  std::size_t HeldBytes() const override { return sizeof(*this) + parser_.HeldBytes(); }

  void Close() {
    client_.loop_.Cancel(timer_);
    if (!established_) --pool_.connecting;
    established_ = true;
    if (connection_) connection_->Close();
  }

 private:
  void Fail(Failure how) {
    const int status = parser_.message().status;
    Call& call = *std::exchange(call_, nullptr);
    client_.Detach(call);
    client_.Drop(*this);
    call.OnFailure(how, status);
  }

  // Fails the call that has waited longest for a connection to this peer.
  void FailToConnect() {
    PeerPool& pool = pool_;
    client_.Drop(*this);
    if (pool.waiting.empty()) return;
    Call& call = *pool.waiting.front();
    pool.waiting.pop_front();
    client_.Detach(call);
    call.OnFailure(Failure::kNotConnected, 0);
  }

  void Parse() {
    RingBuffer& in = connection_->in();
    while (!in.empty() && !parser_.done() && !parser_.failed()) in.Consume(parser_.Parse(in.Front()));
  }

  // Waits a short time for the rest of a response that belongs to no call, as its header fields may matter.
  void TakeUnmatchedInput() {
    if (connection_->in().empty()) return;
    Parse();
    if (parser_.done() || parser_.failed()) return EndWithUnmatchedInput();
    const bool is_new = !std::exchange(has_unmatched_input_, true);
    if (is_new || timer_ == 0) SetTimer(client_.bounds_.response_rest_timeout);
  }

  void EndWithUnmatchedInput() {
    UnmatchedInput input{number_,
                         calls_,
                         client_.loop_.Now() - responded_at_,
                         input_came_with_response_,
                         !parser_.begun(),
                         std::move(parser_.message())};
    client_.Drop(*this);
    Report(input);
  }

  void Report(const UnmatchedInput& input) {
    const Peer peer = pool_.peer;
    if (calls_ > 0 && client_.observer_ != nullptr) client_.observer_->OnUnmatchedInput(peer, input);
  }

  // Limits the time for the rest of a response: one that never ends would otherwise hold its call, and a
  // concurrency slot, until the deadline of the call. Interim (1xx) responses do not start that timer.
  void AwaitRestOfResponse() {
    if (!parser_.begun()) return client_.loop_.Cancel(timer_);
    if (timer_ == 0) SetTimer(client_.bounds_.response_timeout);
    const int status = parser_.message().status;
    if (status >= 200 && !std::exchange(has_status_, true) && call_->StatusSuffices(status))
      SetTimer(client_.bounds_.response_rest_timeout);
  }

  // A connection that no call may use again is still watched if its latest response was not its first: a
  // further one shows that the two were not paired with the right calls.
  bool MayStayOpen() const { return calls_ > 1 || client_.MayReuse(pool_); }

  void BecomeIdle() {
    pool_.pooled.splice(pool_.pooled.begin(), pool_.pooled, position_);
    idle_since_ = client_.loop_.Now();
    const bool may_be_reused = unused() || client_.MayReuse(pool_);
    SetTimer(may_be_reused ? client_.bounds_.idle_timeout : client_.bounds_.watch_timeout);
  }

  void SetTimer(Seconds after) {
    client_.loop_.Cancel(timer_);
    timer_ = client_.loop_.At(client_.loop_.Now() + after, [this] {
      timer_ = 0;
      if (!established_) return FailToConnect();
      if (call_ != nullptr) return Fail(progress().written ? Failure::kReset : Failure::kNotWritten);
      if (has_unmatched_input_) return EndWithUnmatchedInput();
      client_.Drop(*this);
    });
  }

  HttpClient& client_;
  PeerPool& pool_;
  const std::uint64_t number_;
  int calls_ = 0;
  PooledConnections::iterator position_;
  std::unique_ptr<Connection> connection_;
  HttpParser parser_;
  Call* call_ = nullptr;
  bool established_ = false, has_status_ = false;
  bool has_unmatched_input_ = false;  // and waits for the rest of it
  bool input_came_with_response_ = false;
  EventLoop::TimerId timer_ = 0;
  Seconds idle_since_ = 0, responded_at_ = 0;
};

HttpClient::HttpClient(EventLoop& loop, const ClientBounds& bounds) : loop_(loop), bounds_(bounds) {}

HttpClient::~HttpClient() {
  loop_.Cancel(sweep_timer_);
  for (auto& [key, pool] : pools_)
    for (auto& connection : pool.pooled) connection->Close();
}

HttpClient::Key HttpClient::KeyOf(const Peer& peer) {
  return {net::KeyOf(peer.address), peer.number, peer.process};
}

void HttpClient::Detach(Call& call) {
  call.pool_ = nullptr;
  call.connection_ = nullptr;
}

void HttpClient::Start(const Peer& to, Call& call) {
  PeerPool& pool = pools_[KeyOf(to)];
  pool.peer = to;
  pool.waiting.push_back(&call);
  call.pool_ = &pool;
  ServeWaiting(pool);
  if (call.pool_ == nullptr) return;
  if (static_cast<std::size_t>(pool.connecting) >= pool.waiting.size()) return;
  // At the connection limit the longest idle connection is closed; without an idle one the call fails.
  if (connections_ >= bounds_.connections) CloseOldestIdle();
  if (connections_ < bounds_.connections && Open(pool)) return CloseReplaceable(pool);
  pool.waiting.remove(&call);
  Detach(call);
  ScheduleSweep();
  call.OnFailure(Failure::kNoLocalConnection, 0);
}

bool HttpClient::Open(PeerPool& pool) {
  auto connection = std::make_unique<PooledConnection>(*this, pool, static_cast<std::uint64_t>(opened_) + 1);
  ++pool.connecting;
  if (!connection->Open()) {
    connection->Close();
    return false;
  }
  pool.pooled.push_front(std::move(connection));
  pool.pooled.front()->set_position(pool.pooled.begin());
  ++connections_;
  ++opened_;
  return true;
}

// Whether an idle connection may carry another call, one that need not be its first.
bool HttpClient::MayCarry(const PooledConnection& connection, const PeerPool& pool) const {
  return connection.idle() && (connection.unused() || MayReuse(pool));
}

bool HttpClient::MayReuse(const PeerPool& pool) const {
  return observer_ == nullptr || observer_->MayReuseConnection(pool.peer);
}

// Gives idle connections to the waiting calls, the longest waiting first.
void HttpClient::ServeWaiting(PeerPool& pool) {
  while (ServeOneWaiting(pool)) {
  }
}

// Returns whether another look at the waiting calls is due: this one may have changed calls and connections.
bool HttpClient::ServeOneWaiting(PeerPool& pool) {
  for (auto waiting = pool.waiting.begin(); waiting != pool.waiting.end(); ++waiting) {
    Call& call = **waiting;
    const bool needs_new = call.RequiresNewConnection();
    const auto free = std::find_if(pool.pooled.begin(), pool.pooled.end(), [&](const auto& connection) {
      return MayCarry(*connection, pool) && (connection->unused() || !needs_new);
    });
    if (free == pool.pooled.end()) continue;
    PooledConnection& connection = **free;
    if (!connection.SeemsAlive()) {
      connection.ReadUnmatchedInput();
      return true;
    }
    pool.pooled.splice(pool.pooled.end(), pool.pooled, free);
    pool.waiting.erase(waiting);
    Detach(call);
    connection.Serve(call);
    return true;
  }
  return false;
}

HttpClient::CallProgress HttpClient::Abandon(Call& call) {
  CallProgress progress;
  if (call.pool_ != nullptr) {
    // A connection that is being opened for it will serve another call, or become idle.
    call.pool_->waiting.remove(&call);
    ScheduleSweep();
  } else if (call.connection_ != nullptr) {
    progress = call.connection_->progress();
    Drop(*call.connection_);
  }
  Detach(call);
  return progress;
}

void HttpClient::CloseIdle(const Peer& to) {
  const auto pool = pools_.find(KeyOf(to));
  if (pool == pools_.end()) return;
  PooledConnections& pooled = pool->second.pooled;
  for (auto it = pooled.begin(); it != pooled.end();) {
    PooledConnection& connection = **it++;
    if (connection.idle()) Drop(connection);
  }
}

bool HttpClient::HasIdleConnection(const Peer& to) const {
  const auto pool = pools_.find(KeyOf(to));
  if (pool == pools_.end()) return false;
  const PooledConnections& pooled = pool->second.pooled;
  return std::any_of(pooled.begin(), pooled.end(), [&](const auto& connection) {
    return MayCarry(*connection, pool->second) && connection->SeemsAlive();
  });
}

// A linear search: there are a few hundred connections, and this runs only at the limit.
bool HttpClient::CloseOldestIdle() {
  PooledConnection* oldest = nullptr;
  for (const auto& [key, pool] : pools_)
    for (const auto& connection : pool.pooled)
      if (connection->idle() && (oldest == nullptr || connection->idle_since() < oldest->idle_since()))
        oldest = connection.get();
  if (oldest != nullptr) Drop(*oldest);
  return oldest != nullptr;
}

// Idle connections come first in the pool, the most recently used one first.
void HttpClient::CloseReplaceable(PeerPool& pool) {
  PooledConnection* oldest = nullptr;
  for (const auto& connection : pool.pooled) {
    if (connection->idle() && !connection->unused()) oldest = connection.get();
  }
  if (oldest == nullptr || loop_.Now() < oldest->idle_since() + bounds_.replaceable_after) return;
  Drop(*oldest);
}

void HttpClient::Drop(PooledConnection& connection) {
  PooledConnections& pooled = connection.pool().pooled;
  const auto position = connection.position();
  connection.Close();
  loop_.Retire(std::move(*position));
  pooled.erase(position);
  --connections_;
  ScheduleSweep();
}

// Removes the pools of peers without connections and calls, so that the map does not grow with every peer
// ever called. Runs from a timer, when no callback on the stack can still use a pool.
void HttpClient::ScheduleSweep() {
  if (sweep_timer_ != 0) return;
  sweep_timer_ = loop_.At(loop_.Now(), [this] {
    sweep_timer_ = 0;
    for (auto it = pools_.begin(); it != pools_.end();) {
      const PeerPool& pool = it->second;
      it = pool.pooled.empty() && pool.waiting.empty() ? pools_.erase(it) : std::next(it);
    }
  });
}

}  // namespace opalroute::net
