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

  bool Open(int fd, Clients::iterator position) {
    const ServerBounds& b = server_.bounds_;
    position_ = position;
    connection_ =
        Connection::Adopt(server_.loop_, fd, *this, b.http.head_bytes + b.http.body_bytes, b.response_bytes);
    last_active_ = server_.loop_.Now();
    SetTimer(b.first_request_timeout);
    return connection_ != nullptr;
  }

  Clients::iterator position() const { return position_; }
  bool answered() const { return answered_; }
  Seconds last_active() const { return last_active_; }  // time of the last response, or else of the accept
  // A connection whose socket may hold an unread request is not idle: that request must get a response.
  bool idle() const {
    return !parser_.begun() && connection_->in().empty() && connection_->out().empty() && !lingering_ &&
           connection_->HasNothingUnread();
  }
  void ResumeReading() { connection_->ResumeReading(); }
  void Close() {
    server_.loop_.Cancel(timer_);
    server_.loop_.Cancel(resume_timer_);
    if (connection_) connection_->Close();
  }

  void OnData(Connection&) override { HandleRequests(); }

  void OnWritten(Connection&) override {
    if (lingering_) return;
    HandleRequests();
    connection_->ResumeReading();
  }

  void OnClosed(Connection&, Connection::CloseReason) override {
    if (ticket_ != 0 && !connection_->out().empty()) server_.handler_.OnResponseLost(ticket_);
    server_.Drop(*this);
  }

 private:
  void HandleRequests() {
    RingBuffer& in = connection_->in();
    for (int handled = 0; !lingering_; ++handled) {
      if (!connection_->out().empty()) return;  // the client must read the pending response first
      if (handled == server_.bounds_.requests_per_turn && !in.empty()) return ResumeNextTurn();
      const bool starting = !parser_.begun();
      while (!in.empty() && !parser_.done() && !parser_.failed()) in.Consume(parser_.Parse(in.Front()));
      if (starting && parser_.begun() && answered_) SetTimer(server_.bounds_.request_timeout);
      if (parser_.head_done() && !parser_.done() && !parser_.failed()) SendContinue();
      if (parser_.failed()) {
        Respond({parser_.reject_status(), {}, {}, 0}, true);
        break;
      }
      if (!parser_.done()) return;
      // A client that has closed its side gets no response and will send the request again, so this copy must
      // not be accepted.
      if (connection_->peer_closed()) return;
      const HttpResponse response = rejected_ ? Reject() : server_.handler_.OnRequest(parser_.message());
      // Requests that were read along with this one get a response, too: only the last one closes the
      // connection.
      const bool closes = (rejected_ || server_.close_after_response_) && in.empty();
      Respond(response, closes || !parser_.message().keep_alive);
      parser_.Reset();
      continue_sent_ = false;
    }
    DiscardInput();
  }

  void ResumeNextTurn() {
    if (resume_timer_ != 0) return;
    resume_timer_ = server_.loop_.At(server_.loop_.Now(), [this] {
      resume_timer_ = 0;
      HandleRequests();
      connection_->ResumeReading();
    });
  }

  // Closing a socket with unread bytes would reset the connection, and the client could lose the response.
  void DiscardInput() {
    RingBuffer& in = connection_->in();
    discarded_bytes_ += in.size();
    while (!in.empty()) in.Consume(in.size());
    if (discarded_bytes_ > server_.bounds_.linger_bytes) server_.Drop(*this);
  }

  // Answers "Expect: 100-continue". Clients that send it would otherwise hold the body back for about a
  // second.
  void SendContinue() {
    const std::string* expect = parser_.message().Header("Expect");
    if (std::exchange(continue_sent_, true) || expect == nullptr || *expect != "100-continue") return;
    connection_->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }

  HttpResponse Reject() {
    server_.handler_.OnReject(parser_.message());
    return {503, {{"Retry-After", FormatSeconds(server_.bounds_.reject_retry_after)}}, {}, 0};
  }

  void Respond(const HttpResponse& response, bool last) {
    Headers headers = response.headers;
    if (last) headers.emplace_back("Connection", "close");
    ticket_ = response.ticket;
    answered_ = true;
    if (!connection_->Write(FormatResponse(response.status, headers, response.body))) last = true;
    lingering_ = last;
    last_active_ = server_.loop_.Now();
    if (last) connection_->CloseWhenWritten();
    SetTimer(last ? server_.bounds_.linger_timeout : server_.IdleTimeout());
  }

  void SetTimer(Seconds after) {
    server_.loop_.Cancel(timer_);
    timer_ = server_.loop_.At(server_.loop_.Now() + after, [this] {
      timer_ = 0;
      // Bytes may have arrived after the last epoll_wait. A request that they complete must get a response.
      if (!lingering_ && !connection_->HasNothingUnread()) {
        connection_->ResumeReading();
        if (timer_ != 0 || !connection_->open()) return;
      }
      // An incomplete request is answered with 408; an idle connection is closed without a response.
      if (!lingering_ && parser_.begun()) return Respond({408, {}, {}, 0}, true);
      OnClosed(*connection_, Connection::CloseReason::kPeerClosed);
    });
  }

  HttpServer& server_;
  const bool rejected_;
  Clients::iterator position_;
  std::unique_ptr<Connection> connection_;
  HttpParser parser_;
  EventLoop::TimerId timer_ = 0, resume_timer_ = 0;
  Seconds last_active_ = 0;
  std::size_t discarded_bytes_ = 0;
  bool answered_ = false, lingering_ = false, continue_sent_ = false;
  std::uint64_t ticket_ = 0;
};

HttpServer::HttpServer(EventLoop& loop, const sockaddr_in& listen_address, const ServerBounds& bounds,
                       Handler& handler)
    : HttpServer(loop, OpenListener(listen_address), bounds, handler) {}

HttpServer::HttpServer(EventLoop& loop, int fd, const ServerBounds& bounds, Handler& handler)
    : loop_(loop), bounds_(bounds), handler_(handler), fd_(fd) {
  if (!loop_.Add(fd_, this)) throw std::system_error(errno, std::generic_category(), "listen");
}

HttpServer::~HttpServer() {
  for (auto& client : clients_) client->Close();
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

// When the process is out of descriptors, accept fails and its edge-triggered event is lost. So the number of
// connections is limited well below that. At the limit a connection that is owed no response is closed first;
// failing that, new connections are rejected, and beyond reject_connections they wait in the listen queue.
void HttpServer::Accept() {
  while (HasPendingConnection()) {
    const Vacancy vacancy = connections() < bounds_.connections ? Vacancy::kNow : CloseOneToMakeRoom();
    const bool reject = vacancy == Vacancy::kNone;
    if (vacancy == Vacancy::kSoon) break;
    if (reject && connections() >= bounds_.connections + bounds_.reject_connections) break;
    bool retry = false;
    const int fd = AcceptNext(fd_, retry);
    if (fd < 0 && retry) return ScheduleAccept(loop_.Now() + kAcceptRetryDelay);
    if (fd < 0) break;
    clients_.push_back(std::make_unique<Client>(*this, reject));
    if (!clients_.back()->Open(fd, std::prev(clients_.end()))) Drop(*clients_.back());
  }
  // Connections that stay in the listen queue cause no further event.
  if (HasPendingConnection()) ScheduleAccept(loop_.Now() + bounds_.silent_timeout / 2);
}

// Clients may keep connections open that they no longer use, up to a limit of their own: at that limit they
// can open no further one, so a server that is more than half full closes idle connections sooner.
Seconds HttpServer::IdleTimeout() const {
  return 2 * connections() > bounds_.connections ? bounds_.crowded_idle_timeout : bounds_.idle_timeout;
}

bool HttpServer::HasPendingConnection() const {
  if (fd_ < 0) return false;
  pollfd queue{fd_, POLLIN, 0};
  int ready = 0;
  do {
    ready = poll(&queue, 1, 0);
  } while (ready < 0 && errno == EINTR);
  return ready != 0;  // if poll fails, accept decides
}

void HttpServer::ScheduleAccept(Seconds when) {
  loop_.Cancel(accept_timer_);
  accept_timer_ = loop_.At(when, [this] {
    accept_timer_ = 0;
    Accept();
  });
}

// Closes one idle connection to make room for a new one. In order of preference: the one that was answered
// longest ago, at least crowded_idle_timeout; the oldest of those that have sent no request for
// silent_timeout since they were accepted, as regular clients do not; the one answered longest ago among the
// others. kSoon: nothing was closed, as connections accepted less than silent_timeout ago may soon turn out
// to be silent, which would spare those that were answered.
HttpServer::Vacancy HttpServer::CloseOneToMakeRoom() {
  Client* candidate = nullptr;
  std::pair<int, Seconds> candidate_rank;
  std::size_t recent_count = 0;
  const Seconds now = loop_.Now();
  for (const auto& client : clients_) {
    const Seconds quiet = now - client->last_active();
    const int group = !client->answered() ? 1 : quiet >= bounds_.crowded_idle_timeout ? 0 : 2;
    const std::pair rank(group, client->last_active());
    if ((candidate != nullptr && candidate_rank <= rank) || !client->idle()) continue;
    if (group == 1 && quiet < bounds_.silent_timeout) {
      ++recent_count;
    } else {
      candidate = client.get();
      candidate_rank = rank;
    }
  }
  // Every new connection counts as recent until its request is read. If clients send one request and keep
  // their connections open, waiting for just a few recent ones would accept a single connection per waiting
  // period.
  if (candidate == nullptr) return recent_count > 0 ? Vacancy::kSoon : Vacancy::kNone;
  if (candidate_rank.first == 2 && 2 * recent_count >= clients_.size()) return Vacancy::kSoon;
  Drop(*candidate);
  return Vacancy::kNow;
}

void HttpServer::CloseIdle() {
  for (auto it = clients_.begin(); it != clients_.end();) {
    Client& client = **it++;
    if (client.idle()) Drop(client);
  }
}

void HttpServer::ServePendingInput() {
  Accept();
  bounds_.requests_per_turn = std::numeric_limits<int>::max();  // there is no next turn
  for (auto it = clients_.begin(); it != clients_.end();) {
    Client& client = **it++;
    client.ResumeReading();
  }
}

void HttpServer::Drop(Client& client) {
  const bool was_full = connections() >= bounds_.connections;
  client.Close();
  const auto position = client.position();
  loop_.Retire(std::move(*position));
  clients_.erase(position);
  if (was_full) ScheduleAccept(loop_.Now());
}

}  // namespace opalroute::net
