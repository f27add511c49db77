#include "net/http_server_client.h"

#include <limits>
#include <utility>

namespace opalroute::net {
namespace {

constexpr std::size_t kInputBytes = 4096;  // of unparsed input
constexpr std::size_t kTurnBytes = 8192;   // read before other connections have a turn
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;

}  // namespace

HttpServer::Client::Client(HttpServer& server, bool rejected)
    : server_(server), rejected_(rejected), parser_(HttpParser::Kind::kRequest, server.bounds_.http) {}

bool HttpServer::Client::Open(int fd, Clients::iterator position) {
  const ServerBounds& bounds = server_.bounds_;
  position_ = position;
  ConnectionBounds of_connection;
  of_connection.max_in = kInputBytes;
  of_connection.turn_bytes = kTurnBytes;
  of_connection.max_out = bounds.response_bytes;
  of_connection.socket_send_bytes = bounds.socket_send_bytes;
  of_connection.socket_receive_bytes = bounds.socket_receive_bytes;
  of_connection.memory = bounds.memory;
  of_connection.memory_owner = bounds.memory_owner;
  connection_ = Connection::Adopt(server_.loop_, fd, *this, of_connection);
  last_active_ = last_progress_ = server_.loop_.Now();
  SetTimer(bounds.first_request_timeout);
  return connection_ != nullptr;
}

ConnectionActivity HttpServer::Client::activity() const {
  ConnectionActivity activity;
  activity.answered = answered_;
  activity.input_pending = !parser_.begun() && !connection_->in().empty();
  activity.request_begun = parser_.begun();
  activity.awaits_turn = awaits_turn_;
  activity.backlog_since = backlog_since_;
  activity.response_pending = !connection_->out().empty();
  activity.lingering = lingering_;
  activity.last_active = last_active_;
  activity.last_progress = last_progress_;
  activity.request_started = request_started_;
  activity.held_bytes = connection_->held_bytes();
  return activity;
}

bool HttpServer::Client::IsIdle() const {
  const ConnectionActivity now = activity();
  return !now.request_begun && !now.input_pending && !now.response_pending && !now.lingering &&
         connection_->HasNothingUnread();
}

bool HttpServer::Client::MayEnd(EvictionGroup group) const {
  switch (group) {
    case EvictionGroup::kIdle:
    case EvictionGroup::kSilent:
    case EvictionGroup::kRecentlyIdle:
      return IsIdle();
    case EvictionGroup::kStalledRequest:
      return connection_->awaits_memory() || connection_->HasNothingUnread();
    default:
      return true;
  }
}

void HttpServer::Client::Close() {
  server_.loop_.Cancel(timer_);
  server_.turns_.Remove(*this);
  if (connection_) connection_->Close();
}

void HttpServer::Client::End() {
  if (ticket_ != 0 && !connection_->out().empty()) server_.handler_.OnResponseLost(ticket_);
  server_.Drop(*this);
}

// Each call reads the bytes of one turn.
void HttpServer::Client::ReadAll() {
  const HttpBounds& http = server_.bounds_.http;
  const std::size_t turns = 1 + (http.head_bytes + http.body_bytes) / kTurnBytes;
  for (std::size_t turn = 0; turn < turns && connection_->open(); ++turn) {
    if (connection_->HasNothingUnread() && connection_->in().empty()) return;
    connection_->ResumeReading();
  }
}

void HttpServer::Client::EndUnfinishedRequest() {
  Respond({kRequestTimeout, {}, {}, 0}, true);
  parser_.Reset();
  DiscardInput();
  connection_->CountMemory();
}

void HttpServer::Client::OnData(Connection&) {
  if (!connection_->in().empty()) last_progress_ = server_.loop_.Now();
  HandleRequests();
}

void HttpServer::Client::OnWritten(Connection&) {
  if (lingering_) return;
  HandleRequests();
  connection_->ResumeReading();
}

void HttpServer::Client::OnClosed(Connection&, Connection::CloseReason) { End(); }

void HttpServer::Client::HandleRequests() {
  for (int handled = 0; !lingering_; ++handled) {
    if (!connection_->out().empty()) return;  // the client must read the pending response first
    if (handled >= RequestsPerTurn() && !connection_->in().empty()) return AwaitTurn();
    if (!ReadRequest()) return;
    if (parser_.failed()) {
      FailRequest();
    } else if (rejected_ || connection_->PeerHasEnded()) {
      // A client that has ended its sending has left, or will send the request again: this copy must not be
      // accepted. The system is asked, as the end may lie behind bytes that are not read yet.
      RejectAll();
    } else {
      HandleRequest();
    }
  }
  DiscardInput();
}

// Returns whether a request is complete, or has failed.
bool HttpServer::Client::ReadRequest() {
  RingBuffer& in = connection_->in();
  const bool starting = !parser_.begun();
  while (!in.empty() && !parser_.done() && !parser_.failed()) in.Consume(parser_.Parse(in.Front()));
  if (starting && parser_.begun()) {
    request_started_ = server_.loop_.Now();
    if (answered_) SetTimer(server_.bounds_.request_timeout);
  }
  if (parser_.head_done() && !parser_.done() && !parser_.failed()) SendContinue();
  return parser_.done() || parser_.failed();
}

void HttpServer::Client::FailRequest() {
  const int status = parser_.reject_status();
  if (status == kHeadTooLarge) server_.handler_.OnLimit(ServerLimit::kHeadBytes, connection_->held_bytes());
  if (status == kContentTooLarge)
    server_.handler_.OnLimit(ServerLimit::kBodyBytes, connection_->held_bytes());
  Respond({status, {}, {}, 0}, true);
  parser_.Reset();
}

void HttpServer::Client::HandleRequest() {
  const HttpResponse response = server_.handler_.OnRequest(parser_.message());
  // Requests that were read along with this one get a response, too: only the last one closes the connection.
  const bool closes = server_.close_after_response_ && connection_->in().empty();
  Respond(response, closes || !parser_.message().keep_alive);
  parser_.Reset();
  continue_sent_ = false;
}

void HttpServer::Client::AwaitTurn() {
  if (std::exchange(awaits_turn_, true)) return;
  server_.turns_.Add(*this);
  if (backlog_since_ == 0) backlog_since_ = server_.loop_.Now();
}

void HttpServer::Client::TakeTurn() {
  awaits_turn_ = false;
  HandleRequests();
  connection_->ResumeReading();
  if (!awaits_turn_) backlog_since_ = 0;
}

void HttpServer::Client::RejectBacklog() {
  rejected_ = true;
  server_.turns_.Remove(*this);
  awaits_turn_ = false;
  RejectAll();
  DiscardInput();
}

// Rejects the requests that have been read, and ends the connection. All responses are written at once, as
// there may be many such connections.
void HttpServer::Client::RejectAll() {
  std::string responses;
  bool last = false;
  while (!last && responses.size() < server_.bounds_.response_bytes / 2 && ReadRequest() &&
         !parser_.failed()) {
    server_.handler_.OnReject(parser_.message());
    last = connection_->in().empty() || !parser_.message().keep_alive;
    responses += FormatReject(last);
    parser_.Reset();
  }
  if (!last) responses += FormatReject(true);  // of a request that is not complete
  parser_.Reset();
  ticket_ = 0;
  WriteResponses(responses, true);
}

// While others wait for a turn, each one is short; new bytes are no way past those that wait.
int HttpServer::Client::RequestsPerTurn() const {
  if (server_.is_last_turn_) return std::numeric_limits<int>::max();
  if (awaits_turn_) return 0;
  return server_.turns_.empty() ? server_.bounds_.requests_per_turn : 1;
}

// Closing a socket with unread bytes would reset the connection, and the client could lose the response.
void HttpServer::Client::DiscardInput() {
  RingBuffer& in = connection_->in();
  discarded_bytes_ += in.size();
  while (!in.empty()) in.Consume(in.size());
  if (discarded_bytes_ > server_.bounds_.linger_bytes) server_.Drop(*this);
}

// Answers "Expect: 100-continue". Clients that send it would otherwise hold the body back for about a second.
void HttpServer::Client::SendContinue() {
  const std::string* expect = parser_.message().Header("Expect");
  if (std::exchange(continue_sent_, true) || expect == nullptr || *expect != "100-continue") return;
  connection_->Write("HTTP/1.1 100 Continue\r\n\r\n");
}

std::string HttpServer::Client::FormatReject(bool last) const {
  return Format({503, {{"Retry-After", FormatSeconds(server_.bounds_.reject_retry_after)}}, {}, 0}, last);
}

void HttpServer::Client::Respond(const HttpResponse& response, bool last) {
  ticket_ = response.ticket;
  WriteResponses(Format(response, last), last);
}

std::string HttpServer::Client::Format(const HttpResponse& response, bool last) {
  Headers headers = response.headers;
  if (last) headers.emplace_back("Connection", "close");
  return FormatResponse(response.status, headers, response.body);
}

void HttpServer::Client::WriteResponses(const std::string& text, bool last) {
  answered_ = true;
  if (!connection_->Write(text)) last = true;
  lingering_ = last;
  last_active_ = server_.loop_.Now();
  if (last) connection_->CloseWhenWritten();
  SetTimer(last ? server_.bounds_.linger_timeout : server_.IdleTimeout());
}

void HttpServer::Client::SetTimer(Seconds after) {
  server_.loop_.Cancel(timer_);
  timer_ = server_.loop_.At(server_.loop_.Now() + after, [this] {
    timer_ = 0;
    OnTimeout();
  });
}

void HttpServer::Client::OnTimeout() {
  // Bytes may have arrived after the last epoll_wait. A request that they complete must get a response.
  if (!lingering_ && !connection_->HasNothingUnread()) {
    ReadAll();
    if (timer_ != 0 || !connection_->open()) return;
  }
  if (awaits_turn_) return SetTimer(server_.IdleTimeout());
  // An incomplete request is answered with 408; an idle connection is closed without a response.
  if (lingering_ || !parser_.begun()) return End();
  server_.handler_.OnLimit(ServerLimit::kRequestTime, connection_->held_bytes());
  EndUnfinishedRequest();
}

}  // namespace opalroute::net
