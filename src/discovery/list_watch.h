// One watch on the endpoint list: an HTTP request to discovery whose chunked answer stays open and carries a
// JSON object for each change, and empty lines as heartbeats.
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

// Why a watch is of no use any more.
enum class WatchEnd {
  kNotConnected,      // the connection could not be opened
  kTimedOut,          // no complete line in time
  kUnreadableLine,    // a line that is no endpoint list
  kNotHttp,           // the answer breaks HTTP or the bounds set for it
  kRejected,          // another status than 200
  kAnswerComplete,    // discovery has ended the answer
  kConnectionClosed,  // the connection was closed or broke
};
const char* NameOf(WatchEnd reason);

class ListWatch : private net::Connection::Owner {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void OnWatchUpdate(ListWatch& watch, const EndpointListUpdate& update) = 0;
    virtual void OnWatchHeartbeat(ListWatch& watch) = 0;
    // Called once at most, and never after Close.
    virtual void OnWatchEnd(ListWatch& watch, WatchEnd reason) = 0;
  };

  // Asks discovery at `address` for the changes after the generation `since`, or for the whole list. A
  // failure to connect is reported by OnWatchEnd in a later round of the loop. `loop`, `limits` and `handler`
  // must outlive the watch.
  ListWatch(net::EventLoop& loop, const sockaddr_in& address, std::optional<long long> since,
            const Limits& limits, Handler& handler);
  ~ListWatch() override;
  // No callback follows.
  void Close();
  std::optional<long long> since() const { return since_; }

 private:
  void OnOpen(net::Connection& connection) override;
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection, net::Connection::CloseReason how) override;

  void ReadChunk(std::string_view chunk);
  void ReadLine();
  void ReadCompleteLine(const nlohmann::json* list);
  void CheckUnfinishedObject();
  void DeliverLines();
  void ExpectLine(net::Seconds within);
  void End(WatchEnd reason);

  // A line of the answer: an update, or nothing for a heartbeat.
  using Line = std::optional<EndpointListUpdate>;

  net::EventLoop& loop_;
  const sockaddr_in address_;
  const std::optional<long long> since_;
  const Limits& limits_;
  Handler& handler_;
  std::unique_ptr<net::Connection> connection_;
  net::HttpParser parser_;
  std::string text_;               // of an object that is not complete yet
  std::size_t checked_bytes_ = 0;  // of `text_`: found to be the beginning of an object
  std::vector<Line> lines_;        // read and not yet delivered
  bool unreadable_ = false;        // a line can't be read
  net::Timer timer_;
};

}  // namespace opalroute
