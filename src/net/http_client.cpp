#include "net/http_client.h"

#include <algorithm>
#include <utility>

namespace opalroute::net {

class HttpClient::Line : public Connection::Owner {
 public:
  Line(HttpClient& client, Place& place)
      : client_(client), place_(place), parser_(HttpParser::Kind::kAnswer, client.bounds_.http) {}

  bool Open() {
    const ClientBounds& b = client_.bounds_;
    connection_ = Connection::Connect(client_.loop_, place_.address, *this,
                                      b.http.head_bytes + b.http.body_bytes, b.request_bytes);
    SetTimer(b.connect_time);
    return connection_ != nullptr;
  }
  void Stands(Lines::iterator at) { at_ = at; }
  Lines::iterator at() const { return at_; }

  Place& place() { return place_; }
  bool connecting() const { return !up_; }
  bool idle() const { return up_ && call_ == nullptr; }
  Seconds rests_since() const { return rests_since_; }
  Abandoned state() { return {connection_->out().empty(), parser_.message().status}; }
  // Danger: an end, or bytes that nobody asked for, may have arrived and not been read yet. The next request
  // would end as a reset, or take them for its answer.
  bool SeemsAlive() const { return connection_->SeemsAlive(); }

  void Serve(Call& call) {
    const std::string request = call.OnReady();
    if (request.empty()) return;
    client_.loop_.Cancel(timer_);
    call_ = &call;
    call.line_ = this;
    if (!connection_->Write(request)) return Break(Broken::kUnwritten);
    if (connection_->out().empty()) call.OnWritten();
  }

  void OnWritten(Connection&) override {
    if (call_ != nullptr) call_->OnWritten();
  }

  void OnOpen(Connection&) override {
    // Danger: the other side may have ended it in the same moment. Dropped in silence, nobody would open
    // another.
    if (!connection_->SeemsAlive()) return FailToConnect();
    up_ = true;
    --place_.connecting;
    Rest();
    client_.Serve(place_);
  }

  void OnData(Connection& connection) override {
    RingBuffer& in = connection.in();
    if (call_ == nullptr && !in.empty()) return client_.Drop(*this);  // nobody asked for that
    while (!in.empty() && !parser_.done() && !parser_.failed()) in.Consume(parser_.Take(in.Front()));
    if (call_ == nullptr) return;
    if (connection.peer_ended() && parser_.begun()) parser_.TakeEnd();
    if (parser_.failed()) return Break(state().written ? Broken::kReset : Broken::kUnwritten);
    if (!parser_.done()) return AwaitRest();
    const bool keep =
        parser_.message().keep_alive && in.empty() && state().written && !connection.peer_ended();
    HttpMessage answer = std::move(parser_.message());
    parser_.Reset();
    has_status_ = false;
    Call& call = *std::exchange(call_, nullptr);
    client_.End(call);
    if (keep) {
      Rest();
    } else {
      client_.Drop(*this);
    }
    Place& place = place_;  // stands until the loop's round is over
    call.OnAnswer(answer);
    client_.Serve(place);
  }

  void OnEnd(Connection&, Connection::End how) override {
    if (!up_) return FailToConnect();
    if (call_ == nullptr) return client_.Drop(*this);
    Break(how != Connection::End::kNotConnected && state().written ? Broken::kReset : Broken::kUnwritten);
  }

  void Shut() {
    client_.loop_.Cancel(timer_);
    if (!up_) --place_.connecting;
    up_ = true;
    if (connection_) connection_->Close();
  }

 private:
  void Break(Broken how) {
    const int status = parser_.message().status;
    Call& call = *std::exchange(call_, nullptr);
    client_.End(call);
    client_.Drop(*this);
    call.OnBroken(how, status);
  }

  // The call that has waited longest for a connection to this peer loses it.
  void FailToConnect() {
    Place& place = place_;
    client_.Drop(*this);
    if (place.waiting.empty()) return;
    Call& call = *place.waiting.front();
    place.waiting.pop_front();
    client_.End(call);
    call.OnBroken(Broken::kNotConnected, 0);
  }

  // Danger: an answer that never ends would hold its call, and a slot with it, as long as the call may take.
  // Interim answers begin nothing: the real one may take its time after them.
  void AwaitRest() {
    if (!parser_.begun()) return client_.loop_.Cancel(timer_);
    if (timer_ == 0) SetTimer(client_.bounds_.answer_time);
    const int status = parser_.message().status;
    if (status >= 200 && !std::exchange(has_status_, true) && call_->Suffices(status))
      SetTimer(client_.bounds_.rest_time);
  }

  void Rest() {
    place_.lines.splice(place_.lines.begin(), place_.lines, at_);
    rests_since_ = client_.loop_.Now();
    SetTimer(client_.bounds_.idle_time);
  }

  void SetTimer(Seconds after) {
    client_.loop_.Cancel(timer_);
    timer_ = client_.loop_.At(client_.loop_.Now() + after, [this] {
      timer_ = 0;
      if (!up_) return FailToConnect();
      if (call_ != nullptr) return Break(state().written ? Broken::kReset : Broken::kUnwritten);
      client_.Drop(*this);
    });
  }

  HttpClient& client_;
  Place& place_;
  Lines::iterator at_;
  std::unique_ptr<Connection> connection_;
  HttpParser parser_;
  Call* call_ = nullptr;
  bool up_ = false, has_status_ = false;
  EventLoop::TimerId timer_ = 0;
  Seconds rests_since_ = 0;
};

HttpClient::HttpClient(EventLoop& loop, const ClientBounds& bounds) : loop_(loop), bounds_(bounds) {}

HttpClient::~HttpClient() {
  loop_.Cancel(sweep_);
  for (auto& [key, place] : places_)
    for (auto& line : place.lines) line->Shut();
}

HttpClient::Key HttpClient::KeyOf(const Peer& peer) {
  return {peer.address.sin_addr.s_addr, peer.address.sin_port, peer.number};
}

void HttpClient::End(Call& call) {
  call.place_ = nullptr;
  call.line_ = nullptr;
}

void HttpClient::Start(const Peer& to, Call& call) {
  Place& place = places_[KeyOf(to)];
  place.address = to.address;
  place.waiting.push_back(&call);
  call.place_ = &place;
  Serve(place);
  if (call.place_ == nullptr) return;
  if (static_cast<std::size_t>(place.connecting) >= place.waiting.size()) return;
  // Bounded: a full table gives up an idle connection first, then the call.
  if (connections_ >= bounds_.connections) CloseOneIdle();
  if (connections_ < bounds_.connections && Open(place)) return;
  place.waiting.remove(&call);
  End(call);
  SweepLater();
  call.OnBroken(Broken::kNoRoom, 0);
}

bool HttpClient::Open(Place& place) {
  auto line = std::make_unique<Line>(*this, place);
  ++place.connecting;
  if (!line->Open()) {
    line->Shut();
    return false;
  }
  place.lines.push_front(std::move(line));
  place.lines.front()->Stands(place.lines.begin());
  ++connections_;
  ++opened_;
  return true;
}

// Whoever has waited longest takes whichever connection is free first.
void HttpClient::Serve(Place& place) {
  while (!place.waiting.empty()) {
    const auto free =
        std::find_if(place.lines.begin(), place.lines.end(), [](const auto& line) { return line->idle(); });
    if (free == place.lines.end()) return;
    Line& line = **free;
    if (!line.SeemsAlive()) {
      Drop(line);
      continue;
    }
    place.lines.splice(place.lines.end(), place.lines, free);
    Call& call = *place.waiting.front();
    place.waiting.pop_front();
    End(call);
    line.Serve(call);
  }
}

HttpClient::Abandoned HttpClient::Abandon(Call& call) {
  Abandoned state;
  if (call.place_ != nullptr) {
    call.place_->waiting.remove(&call);  // a connection that is coming up serves another call, or rests
    SweepLater();
  } else if (call.line_ != nullptr) {
    state = call.line_->state();
    Drop(*call.line_);
  }
  End(call);
  return state;
}

void HttpClient::CloseIdle(const Peer& to) {
  const auto place = places_.find(KeyOf(to));
  if (place == places_.end()) return;
  Lines& lines = place->second.lines;
  for (auto it = lines.begin(); it != lines.end();) {
    Line& line = **it++;
    if (line.idle()) Drop(line);
  }
}

bool HttpClient::HasIdle(const Peer& to) const {
  const auto place = places_.find(KeyOf(to));
  if (place == places_.end()) return false;
  const Lines& lines = place->second.lines;
  return std::any_of(lines.begin(), lines.end(),
                     [](const auto& line) { return line->idle() && line->SeemsAlive(); });
}

// The table is a few hundred connections, and this is asked for only when it is full.
bool HttpClient::CloseOneIdle() {
  Line* oldest = nullptr;
  for (const auto& [key, place] : places_)
    for (const auto& line : place.lines)
      if (line->idle() && (oldest == nullptr || line->rests_since() < oldest->rests_since()))
        oldest = line.get();
  if (oldest != nullptr) Drop(*oldest);
  return oldest != nullptr;
}

void HttpClient::Drop(Line& line) {
  Lines& lines = line.place().lines;
  const auto at = line.at();
  line.Shut();
  loop_.Retire(std::move(*at));
  lines.erase(at);
  --connections_;
  SweepLater();
}

// Peers come and go: what nobody uses any more is forgotten, when no callback can be on its way through it.
void HttpClient::SweepLater() {
  if (sweep_ != 0) return;
  sweep_ = loop_.At(loop_.Now(), [this] {
    sweep_ = 0;
    for (auto it = places_.begin(); it != places_.end();) {
      const Place& place = it->second;
      it = place.lines.empty() && place.waiting.empty() ? places_.erase(it) : std::next(it);
    }
  });
}

}  // namespace opalroute::net
