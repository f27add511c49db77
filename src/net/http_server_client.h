// One connection of an HttpServer: parses its requests and writes their responses, one after another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

#include "net/connection.h"
#include "net/eviction.h"
#include "net/http.h"
#include "net/http_server.h"

namespace opalroute::net {

class HttpServer::Client : public Connection::Owner, private TurnQueue::Member {
 public:
  // `rejected`: its requests are only answered with a reject.
  Client(HttpServer& server, bool rejected);

  // Takes ownership of the socket. Returns false if it can't be watched.
  bool Open(int fd, Clients::iterator position);
  Clients::iterator position() const { return position_; }

  ConnectionActivity activity() const;
  // A connection whose socket may hold an unread request is not idle: that request must get a response.
  bool IsIdle() const;
  // Whether the connection may end now as one of that group, by what is in its socket.
  bool MayEnd(EvictionGroup group) const;

  void ResumeReading() { connection_->ResumeReading(); }
  // Reads and answers all that has arrived. For use when there is no next turn.
  void ReadAll();
  // Answers an unfinished request with 408 and releases its memory. The connection stays for the client to
  // read the response.
  void EndUnfinishedRequest();
  // Rejects the requests that have been read and are not answered yet. The connection ends with the last one.
  void RejectBacklog();
  // Closes the connection. The handler is told of a response that is not written.
  void End();
  void Close();

 private:
  // Connection::Owner
  void OnData(Connection& connection) override;
  void OnWritten(Connection& connection) override;
  void OnClosed(Connection& connection, Connection::CloseReason how) override;
  bool WantsMoreInput() const override { return !awaits_turn_ && connection_->out().empty(); }
  std::size_t HeldBytes() const override { return sizeof(Client) + parser_.HeldBytes(); }

  void HandleRequests();
  bool ReadRequest();
  void HandleRequest();
  void FailRequest();
  void AwaitTurn();
  void TakeTurn() override;
  int RequestsPerTurn() const;
  void DiscardInput();
  void SendContinue();
  void RejectAll();
  std::string FormatReject(bool last) const;
  void Respond(const HttpResponse& response, bool last);
  static std::string Format(const HttpResponse& response, bool last);
  void WriteResponses(const std::string& text, bool last);
  void SetTimer(Seconds after);
  void OnTimeout();

  HttpServer& server_;
  bool rejected_;  // requests are only answered with a reject
  Clients::iterator position_;
  std::unique_ptr<Connection> connection_;
  HttpParser parser_;
  EventLoop::TimerId timer_ = 0;
  bool awaits_turn_ = false;
  Seconds backlog_since_ = 0;  // of requests that wait for a turn
  Seconds last_active_ = 0;    // of the last response, or else of the accept
  Seconds last_progress_ = 0;
  Seconds request_started_ = 0;
  std::size_t discarded_bytes_ = 0;
  bool answered_ = false, lingering_ = false, continue_sent_ = false;
  std::uint64_t ticket_ = 0;
};

}  // namespace opalroute::net
