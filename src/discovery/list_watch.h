// One watch on the endpoint list: an HTTP request to discovery whose chunked answer stays open and brings a
// JSON object for each change, and empty lines in between.
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

namespace opalroute {

class ListWatch : private net::Connection::Owner {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void OnWatchUpdate(ListWatch& watch, const EndpointListUpdate& news) = 0;  // a list, or changes
    virtual void OnWatchHeartbeat(ListWatch& watch) = 0;                               // an empty line
    // It has failed or ended and is of no use any more; called once, and never after Close.
    virtual void OnWatchEnd(ListWatch& watch, const char* why) = 0;
  };

  // Asks the discovery at `address` for what has changed since a generation, or for the whole list. What
  // fails at once is told by OnWatchEnd in a later round of the loop.
  ListWatch(net::EventLoop& loop, const sockaddr_in& address, std::optional<long long> since,
            const Limits& limits, Handler& handler);
  ~ListWatch() override;
  void Close();  // no callback follows
  std::optional<long long> since() const { return since_; }

 private:
  void OnOpen(net::Connection& connection) override;
  void OnData(net::Connection& connection) override;
  void OnEnd(net::Connection& connection, net::Connection::End how) override;

  void ReadChunk(std::string_view piece);
  void ReadLine();
  void DeliverLines();
  void Expect(net::Seconds within);
  void End(const char* why);

  // A line of the watch; without news it was empty.
  using Line = std::optional<EndpointListUpdate>;

  net::EventLoop& loop_;
  const sockaddr_in address_;
  const std::optional<long long> since_;
  const Limits& limits_;
  Handler& handler_;
  std::unique_ptr<net::Connection> connection_;
  net::HttpParser parser_;
  std::string text_;           // an object that is not whole yet
  std::size_t part_seen_ = 0;  // of it: so much was found to be a part of one
  std::vector<Line> lines_;    // read and not yet told
  bool broken_ = false;        // a line can't be read
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace opalroute
