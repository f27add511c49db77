// A watch on the endpoint list: an HTTP request to discovery whose chunked response stays open and carries a
// JSON object for each update, and empty lines as heartbeats.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/limits.h"
#include "discovery/endpoint_source.h"
#include "net/connection.h"
#include "net/http.h"
#include "net/timer.h"

namespace opalroute {

// Why a watch has ended.
enum class WatchEndReason {
  kNotConnected,      // the connection could not be opened
  kTimedOut,          // no update or heartbeat in time
  kUnreadableLine,    // a line that is not an endpoint list
  kNotHttp,           // the response is invalid or exceeds the HTTP limits
  kRejected,          // a status other than 200
  kResponseEnded,     // discovery has ended the response
  kConnectionClosed,  // the connection was closed or failed
};
const char* NameOf(WatchEndReason reason);

class ListWatch : private net::Connection::Owner {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void OnWatchUpdate(ListWatch& watch, const EndpointListUpdate& update) = 0;
    virtual void OnWatchHeartbeat(ListWatch& watch) = 0;
    // Called at most once, and never after Close.
    virtual void OnWatchEnded(ListWatch& watch, WatchEndReason reason) = 0;
  };

  // Requests the changes after generation `since`, or the complete list without one, from discovery at
  // `address`. OnWatchEnded reports a failure to connect, in a later iteration of the event loop. `loop`,
  // `limits`, `memory` and `handler` must outlive the watch. `memory` may be null.
  ListWatch(net::EventLoop& loop, const sockaddr_in& address, std::optional<long long> since,
            const Limits& limits, net::MemoryBudget* memory, Handler& handler);
  ~ListWatch() override;
  // No callback follows.
  void Close();
  std::optional<long long> since() const { return since_; }

 private:
  void OnOpen(net::Connection& connection) override;
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection, net::Connection::CloseReason how) override;
  std::size_t HeldBytes() const override { return parser_.HeldBytes() + object_text_.capacity(); }

  void ReadChunk(std::string_view chunk);
  void ReadLine();
  void ReadCompleteLine(const nlohmann::json* list);
  void CheckUnfinishedObject();
  void DeliverLines();
  void StartLineTimeout(net::Seconds timeout);
  void End(WatchEndReason reason);

  // An update, or nullopt for a heartbeat.
  using Line = std::optional<EndpointListUpdate>;

  net::EventLoop& loop_;
  const sockaddr_in address_;
  const std::optional<long long> since_;
  const Limits& limits_;
  Handler& handler_;
  std::unique_ptr<net::Connection> connection_;
  net::HttpParser parser_;
  std::string object_text_;        // an object that is not complete yet
  std::size_t checked_bytes_ = 0;  // size of `object_text_` at its latest check
  std::vector<Line> lines_;        // not delivered yet
  bool unreadable_ = false;        // a line is not an endpoint list or too long
  net::Timer timer_;
};

}  // namespace opalroute
