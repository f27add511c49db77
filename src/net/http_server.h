// An HTTP server. Requests of one connection are handled one after another, and each is answered
// synchronously.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "net/connection.h"
#include "net/eviction.h"
#include "net/http.h"
#include "net/listener.h"
#include "net/server_limit.h"
#include "net/turn_queue.h"

namespace opalroute::net {

struct ServerBounds {
  HttpBounds http;
  std::size_t response_bytes = 0;  // output buffer per connection
  // Connections that are served, and how many more are accepted only to be answered with a reject.
  int connections = 0, reject_connections = 0;
  int requests_per_turn = 0;          // of one connection, before other connections are served
  Seconds first_request_timeout = 0;  // from accepting a connection to the end of its first request
  Seconds request_timeout = 0;        // from the start of a later request to its end
  Seconds idle_timeout = 0;           // between requests, while at most half of the connections are in use
  // Between requests, while more than half of the connections are in use. Once all are, connections that have
  // been idle for as long are closed first to make room.
  Seconds crowded_idle_timeout = 0;
  // Once all connections are in use, those that have sent no request for so long since they were accepted, or
  // have stopped in the middle of one, may be closed to make room.
  Seconds silent_timeout = 0;
  // After the last response on a connection, input is read and discarded for this time and up to this many
  // bytes: closing with unread input would reset the connection, and the client could lose the response.
  Seconds linger_timeout = 0;
  std::size_t linger_bytes = 0;
  Seconds reject_retry_after = 0;  // the Retry-After of a reject
  // Once all connections are in use, or memory is short, a request that makes progress may be ended after so
  // long.
  Seconds slow_request_time = std::numeric_limits<Seconds>::infinity();
  // Of each connection, in the system; 0: what the system gives.
  std::size_t socket_send_bytes = 0, socket_receive_bytes = 0;
  MemoryBudget* memory = nullptr;  // null: the memory of the connections is not counted
  MemoryOwner memory_owner = MemoryOwner::kClients;
};

struct HttpResponse {
  int status = 0;
  Headers headers;
  std::string body;
  std::uint64_t ticket = 0;  // if not 0: passed to OnResponseLost if the client leaves before all is written
};

// A plain-text response of one line.
inline HttpResponse PlainTextResponse(int status, const std::string& line) {
  return {status, {{"Content-Type", "text/plain"}}, line + "\n", 0};
}

class HttpServer : public EventHandler {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual HttpResponse OnRequest(HttpMessage& request) = 0;
    virtual void OnResponseLost(std::uint64_t ticket) = 0;
    // A request was rejected: all connections are in use, or its client has ended its sending.
    virtual void OnReject(HttpMessage&) {}
    // A limit has ended a request, or a connection that did not read its response, which held that much
    // memory.
    virtual void OnLimit(ServerLimit, std::size_t /*held_bytes*/) {}
  };

  HttpServer(EventLoop& loop, const sockaddr_in& listen, const ServerBounds& bounds, Handler& handler);
  // Takes ownership of a socket that is already listening.
  HttpServer(EventLoop& loop, int fd, const ServerBounds& bounds, Handler& handler);
  ~HttpServer() override;

  sockaddr_in address() const { return BoundAddress(fd_); }
  int connections() const { return static_cast<int>(clients_.size()); }
  // Closes each connection after its next response.
  void CloseAfterResponses() { close_after_response_ = true; }
  void CloseIdle();  // closes the connections that are between requests
  // Accepts pending connections, and reads and answers everything that has arrived. For use right before
  // the process exits, which would reset these connections.
  void ServePendingInput();
  // Closes the listening socket. Pending connections are left to another process that listens on it.
  void StopAccepting();

  void OnEvents(std::uint32_t events) override;

 private:
  class Client;
  using Clients = std::list<std::unique_ptr<Client>>;
  void Accept();
  enum class Vacancy { kNow, kSoon, kNone };
  Vacancy EndOneToMakeRoom();
  void Evict(Client& client, EvictionGroup group);
  void RejectBacklog(Client& client);
  bool ReclaimMemory();
  EvictionTimes TimesOfEviction() const;
  bool HasPendingConnection() const;
  Seconds IdleTimeout() const;
  void ScheduleAccept(Seconds when);
  void Drop(Client& client);

  EventLoop& loop_;
  ServerBounds bounds_;
  Handler& handler_;
  int fd_;
  bool close_after_response_ = false;
  bool is_last_turn_ = false;  // the process is about to exit
  TurnQueue turns_;
  Clients clients_;
  EventLoop::TimerId accept_timer_ = 0;  // set while connections wait to be accepted
};

}  // namespace opalroute::net
