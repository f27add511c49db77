#include "net/http_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <limits>
#include <system_error>
#include <utility>

namespace opalroute::net {

class HttpServer::Client : public Connection::Owner {
 public:
  explicit Client(HttpServer& server, bool rejected)
      : server_(server), rejected_(rejected), parser_(HttpParser::Kind::kRequest, server.bounds_.http) {}

  bool Open(int fd, Clients::iterator place) {
    const ServerBounds& b = server_.bounds_;
    place_ = place;
    connection_ =
        Connection::Adopt(server_.loop_, fd, *this, b.http.head_bytes + b.http.body_bytes, b.answer_bytes);
    since_ = server_.loop_.Now();
    SetTimer(b.first_time);
    return connection_ != nullptr;
  }

  Clients::iterator place() const { return place_; }
  bool answered() const { return answered_; }
  Seconds since() const { return since_; }  // it was answered last, or else accepted
  // Danger: a request may lie in the socket unread. Who sent it is owed an answer.
  bool idle() const {
    return !parser_.begun() && connection_->in().empty() && connection_->out().empty() && !leaving_ &&
           connection_->HasNothingUnread();
  }
  void ReadOn() { connection_->ReadOn(); }
  void Shut() {
    server_.loop_.Cancel(timer_);
    server_.loop_.Cancel(again_);
    if (connection_) connection_->Close();
  }

  void OnData(Connection&) override { TakeRequests(); }

  void OnWritten(Connection&) override {
    if (leaving_) return;
    TakeRequests();
    connection_->ReadOn();
  }

  void OnEnd(Connection&, Connection::End) override {
    if (ticket_ != 0 && !connection_->out().empty()) server_.handler_.OnAnswerLost(ticket_);
    server_.Drop(*this);
  }

 private:
  void TakeRequests() {
    RingBuffer& in = connection_->in();
    for (int taken = 0; !leaving_; ++taken) {
      if (!connection_->out().empty()) return;  // who does not read its answers brings no more requests
      if (taken == server_.bounds_.requests_a_turn && !in.empty()) return TakeMoreLater();
      const bool fresh = !parser_.begun();
      while (!in.empty() && !parser_.done() && !parser_.failed()) in.Consume(parser_.Take(in.Front()));
      if (fresh && parser_.begun() && answered_) SetTimer(server_.bounds_.request_time);
      if (parser_.head_done() && !parser_.done() && !parser_.failed()) Continue();
      if (parser_.failed()) {
        Answer({parser_.reject_status(), {}, {}, 0}, true);
        break;
      }
      if (!parser_.done()) return;
      // Danger: who has left gets no answer and hands its message in again: this one must not be taken on.
      if (connection_->peer_ended()) return;
      const HttpAnswer answer = rejected_ ? Reject() : server_.handler_.OnRequest(parser_.message());
      // What has come behind it was read with it, and is owed an answer: the last one closes the connection.
      const bool closes = (rejected_ || server_.closing_) && in.empty();
      Answer(answer, closes || !parser_.message().keep_alive);
      parser_.Reset();
      continued_ = false;
    }
    ReadOff();
  }

  void TakeMoreLater() {
    if (again_ != 0) return;
    again_ = server_.loop_.At(server_.loop_.Now(), [this] {
      again_ = 0;
      TakeRequests();
      connection_->ReadOn();
    });
  }

  // Danger: a socket that is closed with bytes unread resets the connection, and the answer with it.
  void ReadOff() {
    RingBuffer& in = connection_->in();
    read_off_ += in.size();
    while (!in.empty()) in.Consume(in.size());
    if (read_off_ > server_.bounds_.linger_bytes) server_.Drop(*this);
  }

  // Clients that hold a body back until they are told to go on would else wait for a second or so.
  void Continue() {
    const std::string* expect = parser_.message().Header("Expect");
    if (std::exchange(continued_, true) || expect == nullptr || *expect != "100-continue") return;
    connection_->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }

  HttpAnswer Reject() {
    server_.handler_.OnReject(parser_.message());
    return {503, {{"Retry-After", WriteSeconds(server_.bounds_.reject_wait)}}, {}, 0};
  }

  void Answer(const HttpAnswer& answer, bool last) {
    Headers headers = answer.headers;
    if (last) headers.emplace_back("Connection", "close");
    ticket_ = answer.ticket;
    answered_ = true;
    if (!connection_->Write(WriteAnswer(answer.status, headers, answer.body))) last = true;
    leaving_ = last;
    since_ = server_.loop_.Now();
    if (last) connection_->CloseWhenWritten();
    SetTimer(last ? server_.bounds_.linger_time : server_.IdleTime());
  }

  void SetTimer(Seconds after) {
    server_.loop_.Cancel(timer_);
    timer_ = server_.loop_.At(server_.loop_.Now() + after, [this] {
      timer_ = 0;
      // Danger: bytes may have come since the loop asked. A request that they make whole is owed its answer.
      if (!leaving_ && !connection_->HasNothingUnread()) {
        connection_->ReadOn();
        if (timer_ != 0 || !connection_->open()) return;
      }
      // A request that was cut short gets its answer; a quiet connection is closed without a word.
      if (!leaving_ && parser_.begun()) return Answer({408, {}, {}, 0}, true);
      OnEnd(*connection_, Connection::End::kEnded);
    });
  }

  HttpServer& server_;
  const bool rejected_;
  Clients::iterator place_;
  std::unique_ptr<Connection> connection_;
  HttpParser parser_;
  EventLoop::TimerId timer_ = 0, again_ = 0;
  Seconds since_ = 0;
  std::size_t read_off_ = 0;
  bool answered_ = false, leaving_ = false, continued_ = false;
  std::uint64_t ticket_ = 0;
};

HttpServer::HttpServer(EventLoop& loop, const sockaddr_in& listen_at, const ServerBounds& bounds,
                       Handler& handler)
    : HttpServer(loop, OpenListener(listen_at), bounds, handler) {}

HttpServer::HttpServer(EventLoop& loop, int fd, const ServerBounds& bounds, Handler& handler)
    : loop_(loop), bounds_(bounds), handler_(handler), fd_(fd) {
  if (!loop_.Add(fd_, this)) throw std::system_error(errno, std::generic_category(), "listen");
}

HttpServer::~HttpServer() {
  for (auto& client : clients_) client->Shut();
  StopAccepting();
}

void HttpServer::StopAccepting() {
  loop_.Cancel(accept_timer_);
  if (fd_ < 0) return;
  loop_.Remove(fd_);
  close(fd_);
  fd_ = -1;
}

void HttpServer::OnEvents(std::uint32_t) { Accept(); }

// Danger: out of descriptors, accept fails and its edge is spent. So the table is bounded well below that:
// a full one first loses whom it owes nothing, then newcomers hear a reject, then they wait a moment.
void HttpServer::Accept() {
  while (SomebodyWaits()) {
    const Room room = connections() < bounds_.connections ? Room::kNow : MakeRoom();
    const bool reject = room == Room::kNone;
    if (room == Room::kSoon) break;
    if (reject && connections() >= bounds_.connections + bounds_.reject_connections) break;
    bool more = false;
    const int fd = AcceptNext(fd_, more);
    if (fd < 0 && more) return AcceptAt(loop_.Now() + kAcceptPause);
    if (fd < 0) break;
    clients_.push_back(std::make_unique<Client>(*this, reject));
    if (!clients_.back()->Open(fd, std::prev(clients_.end()))) Drop(*clients_.back());
  }
  // Who waits in the queue raises no new edge.
  if (SomebodyWaits()) AcceptAt(loop_.Now() + bounds_.silent_time / 2);
}

// Clients may leave connections open that they will not use again, up to a bound of their own.
Seconds HttpServer::IdleTime() const {
  return 2 * connections() > bounds_.connections ? bounds_.rest_time : bounds_.idle_time;
}

bool HttpServer::SomebodyWaits() const {
  if (fd_ < 0) return false;
  pollfd queue{fd_, POLLIN, 0};
  int ready = 0;
  do {
    ready = poll(&queue, 1, 0);
  } while (ready < 0 && errno == EINTR);
  return ready != 0;  // where it can't be told, accept tells it
}

void HttpServer::AcceptAt(Seconds when) {
  loop_.Cancel(accept_timer_);
  accept_timer_ = loop_.At(when, [this] {
    accept_timer_ = 0;
    Accept();
  });
}

// Closes the connection that is missed least: one that was answered and has rested longest; else the first of
// those that have said nothing since they came, as a usual client never does; else one that was just
// answered. Soon: one that has come a moment ago may turn out to be silent, and the answered ones may stay.
HttpServer::Room HttpServer::MakeRoom() {
  Client* best = nullptr;
  std::pair<int, Seconds> best_rank;
  std::size_t young = 0;
  const Seconds now = loop_.Now();
  for (const auto& client : clients_) {
    const Seconds quiet = now - client->since();
    const int group = !client->answered() ? 1 : quiet >= bounds_.rest_time ? 0 : 2;
    const std::pair rank(group, client->since());
    if ((best != nullptr && best_rank <= rank) || !client->idle()) continue;
    if (group == 1 && quiet < bounds_.silent_time) {
      ++young;
    } else {
      best = client.get();
      best_rank = rank;
    }
  }
  // Danger: each newcomer is young until its request is read. To wait for a few of them would let in but one
  // newcomer a moment, where clients ask once and hold on.
  if (best == nullptr) return young > 0 ? Room::kSoon : Room::kNone;
  if (best_rank.first == 2 && 2 * young >= clients_.size()) return Room::kSoon;
  Drop(*best);
  return Room::kNow;
}

void HttpServer::CloseIdle() {
  for (auto it = clients_.begin(); it != clients_.end();) {
    Client& client = **it++;
    if (client.idle()) Drop(client);
  }
}

void HttpServer::TakeWhatHasCome() {
  Accept();
  bounds_.requests_a_turn = std::numeric_limits<int>::max();  // there is no other turn
  for (auto it = clients_.begin(); it != clients_.end();) {
    Client& client = **it++;
    client.ReadOn();
  }
}

void HttpServer::Drop(Client& client) {
  const bool was_full = connections() >= bounds_.connections;
  client.Shut();
  const auto place = client.place();
  loop_.Retire(std::move(*place));
  clients_.erase(place);
  if (was_full) AcceptAt(loop_.Now());
}

}  // namespace opalroute::net
