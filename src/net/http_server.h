// The listening side: connections that bring one request at a time and get its answer at once.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "net/connection.h"
#include "net/http.h"
#include "net/listener.h"

namespace opalroute::net {

struct ServerBounds {
  HttpBounds http;
  std::size_t answer_bytes = 0;
  int connections = 0, reject_connections = 0;  // beyond the first, so many more only hear a reject
  int requests_a_turn = 0;                      // of one connection, before the others have theirs
  Seconds first_time = 0;                       // from accepting a connection to the end of its first request
  Seconds request_time = 0, idle_time = 0;      // to bring a further one that has begun; between requests
  Seconds rest_time = 0,
          silent_time = 0;       // rest: between requests once half the table is taken; a full one first
                                 // drops who has rested, or said nothing, so long
  Seconds linger_time = 0;       // after the last answer, and ...
  std::size_t linger_bytes = 0;  // ... so much is read off, that it is not reset away
  Seconds reject_wait = 0;       // after which one that was turned away may come again
};

struct HttpAnswer {
  int status = 0;
  Headers headers;
  std::string body;
  std::uint64_t ticket = 0;  // if not 0, a client that left before all was written is told of by it
};

// A line of text.
inline HttpAnswer PlainAnswer(int status, const std::string& line) {
  return {status, {{"Content-Type", "text/plain"}}, line + "\n", 0};
}

class HttpServer : public EventHandler {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual HttpAnswer OnRequest(HttpMessage& request) = 0;
    virtual void OnAnswerLost(std::uint64_t ticket) = 0;
    virtual void OnReject(HttpMessage&) {}  // a request that found the table full was turned away
  };

  HttpServer(EventLoop& loop, const sockaddr_in& listen, const ServerBounds& bounds, Handler& handler);
  // Takes over a socket that listens already.
  HttpServer(EventLoop& loop, int fd, const ServerBounds& bounds, Handler& handler);
  ~HttpServer() override;

  sockaddr_in address() const { return BoundAddress(fd_); }
  int connections() const { return static_cast<int>(clients_.size()); }
  void CloseAfterAnswers() { closing_ = true; }  // each connection, after its next answer
  void CloseIdle();                              // those between requests, now
  // Reads and answers what the loop has not heard of yet, newcomers' requests among it: before the process
  // ends, which would reset their connections.
  void TakeWhatHasCome();
  void StopAccepting();  // who waits is left to another process that listens on the same socket

  void OnEvents(std::uint32_t events) override;

 private:
  class Client;
  using Clients = std::list<std::unique_ptr<Client>>;
  void Accept();
  enum class Room { kNow, kSoon, kNone };
  Room MakeRoom();
  bool SomebodyWaits() const;
  Seconds IdleTime() const;
  void AcceptAt(Seconds when);
  void Drop(Client& client);

  EventLoop& loop_;
  ServerBounds bounds_;
  Handler& handler_;
  int fd_;
  bool closing_ = false;
  Clients clients_;
  EventLoop::TimerId accept_timer_ = 0;  // newcomers wait for room
};

}  // namespace opalroute::net
