// An HTTP client with a pool of kept-alive connections per peer. A call is an object with callbacks.
#pragma once

#include <netinet/in.h>

#include <limits>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <tuple>

#include "net/address.h"
#include "net/connection.h"
#include "net/http.h"

namespace opalroute::net {

struct ClientBounds {
  HttpBounds http;
  std::size_t request_bytes = 0;  // output buffer per connection
  int connections = 0;            // to all peers together
  bool keeps_connections = true;  // false: each connection carries one call
  Seconds connect_timeout = 0;
  Seconds idle_timeout = 0;  // shorter than that of the server, so that the client closes first
  // A connection that is opened although others to its peer are idle takes the place of the one that has been
  // idle longest, if that has been idle for this long.
  Seconds replaceable_after = std::numeric_limits<Seconds>::infinity();
  Seconds watch_timeout = 0;     // of an idle connection that no call may use again
  Seconds response_timeout = 0;  // from the first byte of a response to its last
  // For the rest of a response whose status suffices (Call::StatusSuffices), or that belongs to no call.
  Seconds response_rest_timeout = 0;
  MemoryBudget* memory = nullptr;  // null: the memory of the connections is not counted
  MemoryOwner memory_owner = MemoryOwner::kEndpoints;
};

// The remote side of a call. Peers with the same address but another number or process share no connections:
// a connection of a former peer at this address may be dead, or still deliver data for that peer.
struct Peer {
  sockaddr_in address{};
  std::uint64_t number = 0;  // tells peers with the same address apart; 0 if there is only one
  std::int64_t process = 0;  // tells the processes of a peer apart

  bool operator==(const Peer& other) const {
    return KeyOf(address) == KeyOf(other.address) && number == other.number && process == other.process;
  }
};

// The place of a call among those of its connection.
struct Exchange {
  std::uint64_t connection = 0;  // counted from 1 over all connections of the client; 0: none yet
  int position = 0;              // calls that the connection had carried before

  // HTTP/1.1 pairs responses with requests by their order alone, so a response may be a repetition of an
  // earlier one of its connection, or be that of an earlier request. The first one can be neither.
  bool IsFirst() const { return position == 0; }
};

// Bytes that came while no call was in flight on their connection, or the end of the connection.
struct UnmatchedInput {
  std::uint64_t connection = 0;
  int calls = 0;  // that the connection has carried
  Seconds since_last_response = 0;
  // The bytes came together with the end of the latest response, so that no call can be credited with them.
  bool came_with_response = false;
  bool connection_ended = false;  // without further bytes; `response` is empty then
  HttpMessage response;           // as far as it has come; status 0: not even its status line
};

class HttpClient {
 public:
  enum class Failure {
    kNoLocalConnection,  // this side could not provide a connection, which says nothing about the peer
    kNotConnected,       // the connection was refused or not established in time
    kNotWritten,         // the connection broke before the last byte of the request was written
    kReset               // the connection broke after that: the request may have been processed
  };

  class PooledConnection;
  struct PeerPool;
  class Call {
   public:
    Call() = default;
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;
    virtual ~Call() = default;
    // A connection is available. Returns the request to write, or an empty string to leave the connection to
    // another call; then no further callback follows.
    virtual std::string OnReady() = 0;
    virtual void OnWritten() {}  // the last byte of the request has been written to the socket
    virtual void OnResponse(HttpMessage& response) = 0;
    // `status`: of the response if one had begun, else 0.
    virtual void OnFailure(Failure how, int status) = 0;
    // Whether the call must be the first one of its connection.
    virtual bool RequiresNewConnection() const { return false; }
    // Whether the status alone tells the caller all it needs. Then the rest of the response is awaited for at
    // most response_rest_timeout.
    virtual bool StatusSuffices(int) { return false; }

    // Set when the call is given its connection.
    const Exchange& exchange() const { return exchange_; }

   private:
    friend class HttpClient;
    PeerPool* pool_ = nullptr;                // set while the call waits for a connection
    PooledConnection* connection_ = nullptr;  // set while the call uses it
    Exchange exchange_;
  };
  class Observer {
   public:
    virtual ~Observer() = default;
    // The connection, which has carried calls before, is closed. May call CloseIdle, but start no call.
    virtual void OnUnmatchedInput(const Peer& peer, const UnmatchedInput& input) = 0;
    // Whether a connection to the peer that has carried a call may carry another one.
    virtual bool MayReuseConnection(const Peer&) const { return true; }
  };
  struct CallProgress {
    bool written = false;  // the last byte of the request had been written
    int status = 0;        // of the response if one had begun, else 0
  };

  HttpClient(EventLoop& loop, const ClientBounds& bounds);
  ~HttpClient();
  void SetObserver(Observer* observer) { observer_ = observer; }  // null: none

  // The call ends with one of its callbacks, possibly before Start returns.
  void Start(const Peer& to, Call& call);
  CallProgress Abandon(Call& call);  // cancels the call: no callback follows
  void CloseIdle(const Peer& to);
  // Whether an idle connection to the peer is open on which a call could start now.
  bool HasIdleConnection(const Peer& to) const;

  int connections() const { return connections_; }
  long opened() const { return opened_; }  // connections opened so far

  std::size_t pool_count() const { return pools_.size(); }

  using PooledConnections = std::list<std::unique_ptr<PooledConnection>>;
  struct PeerPool {  // connections and waiting calls of one peer
    Peer peer;
    // Idle connections, the most recently used first, precede those in use: finding one does not search
    // through the busy ones.
    PooledConnections pooled;
    std::list<Call*> waiting;
    int connecting = 0;
  };

 private:
  using Key = std::tuple<std::uint64_t, std::uint64_t, std::int64_t>;
  static Key KeyOf(const Peer& peer);
  void Detach(Call& call);  // clears its pool and connection
  bool Open(PeerPool& pool);
  bool CloseOldestIdle();
  void CloseReplaceable(PeerPool& pool);
  void ServeWaiting(PeerPool& pool);
  bool ServeOneWaiting(PeerPool& pool);
  bool MayReuse(const PeerPool& pool) const;
  bool MayCarry(const PooledConnection& connection, const PeerPool& pool) const;
  void Drop(PooledConnection& connection);
  void ScheduleSweep();

  EventLoop& loop_;
  ClientBounds bounds_;
  Observer* observer_ = nullptr;
  int connections_ = 0;
  long opened_ = 0;
  std::map<Key, PeerPool> pools_;
  EventLoop::TimerId sweep_timer_ = 0;
};

}  // namespace opalroute::net
