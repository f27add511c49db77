// The donor's side of learning: a TCP listener of its own. A learner asks; what this relay believes is
// streamed to it in chunks, one bounded slice a turn of the event loop.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "config/limits.h"
#include "net/connection.h"
#include "net/listener.h"
#include "state_transfer/stream.h"

namespace opalroute::state_transfer {

class SnapshotServer {
 public:
  SnapshotServer(net::EventLoop& loop, const sockaddr_in& listen, std::string name, RouteStateSource source,
                 const Limits& limits);
  ~SnapshotServer();
  sockaddr_in address() const { return listener_.address(); }
  Seconds longest_pause() const { return longest_pause_; }  // of the loop, for one slice of any snapshot told

 private:
  class Session;
  void Accept(int fd);
  void Drop(Session& session);

  net::EventLoop& loop_;
  const std::string name_;
  const RouteStateSource source_;
  const Limits& limits_;
  const Seconds started_;
  Seconds longest_pause_ = 0;
  std::map<Session*, std::unique_ptr<Session>> sessions_;
  net::Listener listener_;
};

}  // namespace opalroute::state_transfer
