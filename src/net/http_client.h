// The calling side: per peer, connections that are kept between calls; a call is an object with callbacks.
#pragma once

#include <netinet/in.h>

#include <list>
#include <map>
#include <memory>
#include <string>
#include <tuple>

#include "net/connection.h"
#include "net/http.h"

namespace opalroute::net {

struct ClientBounds {
  HttpBounds http;
  std::size_t request_bytes = 0;
  int connections = 0;                      // to all addresses together
  Seconds connect_time = 0, idle_time = 0;  // idle: closed before the other side does
  Seconds answer_time = 0;                  // from an answer's first byte to its last, or ...
  Seconds rest_time = 0;                    // ... from a status that suffices
};

// Whom a call is meant for. Another one at the same address takes over no connection: the old one's may be
// silent for good, or still bring what was meant for it.
struct Peer {
  sockaddr_in address{};
  std::uint64_t number = 0;  // of those at one address; 0 where there is but one
};

class HttpClient {
 public:
  enum class Broken {
    kNoRoom,        // there is no connection left of our own: this says nothing of the other side
    kNotConnected,  // the connection was refused or did not come up
    kUnwritten,     // it broke before the request's last byte was written
    kReset          // it broke after that: the request may have run
  };

  class Line;
  struct Place;
  class Call {
   public:
    Call() = default;
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;
    virtual ~Call() = default;
    // The connection is there: the request to be written, or nothing to leave it to another call. After
    // `nothing` no further callback comes.
    virtual std::string OnReady() = 0;
    virtual void OnWritten() {}  // the request's last byte has left
    virtual void OnAnswer(HttpMessage& answer) = 0;
    // `status`: of an answer that had begun, else 0.
    virtual void OnBroken(Broken how, int status) = 0;
    // Whether an answer with this status says all there is to say: then its rest is hardly waited for.
    virtual bool Suffices(int) { return false; }

   private:
    friend class HttpClient;
    Place* place_ = nullptr;  // where it waits, or
    Line* line_ = nullptr;    // the connection it has taken
  };
  struct Abandoned {
    bool written = false;  // its last byte had been written
    int status = 0;        // of an answer that had begun, else 0
  };

  HttpClient(EventLoop& loop, const ClientBounds& bounds);
  ~HttpClient();

  // One callback ends the call; it may come before Start returns.
  void Start(const Peer& to, Call& call);
  Abandoned Abandon(Call& call);  // gives it up: no callback follows
  void CloseIdle(const Peer& to);
  // Whether a call could start there now on a connection that is open already.
  bool HasIdle(const Peer& to) const;

  int connections() const { return connections_; }
  long opened() const { return opened_; }

  std::size_t places() const { return places_.size(); }

  using Lines = std::list<std::unique_ptr<Line>>;
  struct Place {  // all that goes to one peer
    sockaddr_in address{};
    Lines lines;  // idle ones first, the one used last at the front; then busy ones, so that none is searched
    std::list<Call*> waiting;
    int connecting = 0;
  };

 private:
  using Key = std::tuple<std::uint32_t, std::uint16_t, std::uint64_t>;
  static Key KeyOf(const Peer& peer);
  void End(Call& call);  // it has no connection any more
  bool Open(Place& place);
  bool CloseOneIdle();
  void Serve(Place& place);
  void Drop(Line& line);
  void SweepLater();

  EventLoop& loop_;
  ClientBounds bounds_;
  int connections_ = 0;
  long opened_ = 0;
  std::map<Key, Place> places_;
  EventLoop::TimerId sweep_ = 0;
};

}  // namespace opalroute::net
