// Serves snapshots over TCP on its own listener. A relay that starts sends a request, and this relay streams
// its route states to it in chunks, one slice per iteration of the event loop.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/limits.h"
#include "net/connection.h"
#include "net/listener.h"
#include "state_transfer/snapshot_slices.h"

namespace opalroute::state_transfer {

class SnapshotServer {
 public:
  // `name` is the name of this relay. `loop` and `limits` must outlive the server. Throws std::system_error
  // if it can't listen.
  SnapshotServer(net::EventLoop& loop, const sockaddr_in& listen, std::string name, RouteStateSource source,
                 const Limits& limits);
  ~SnapshotServer();
  // False after StopAccepting.
  bool accepts() const { return listener_.has_value(); }
  sockaddr_in address() const { return listener_->address(); }  // only while accepts()
  // Closes the listening socket; snapshots that are being sent go on.
  void StopAccepting() { listener_.reset(); }
  // The longest time that a slice of a snapshot has blocked the event loop, over all snapshots sent.
  Seconds longest_pause() const { return longest_pause_; }

 private:
  class Session;
  void Accept(int fd);
  void Drop(Session& session);

  net::EventLoop& loop_;
  const std::string name_;
  const RouteStateSource source_;
  const Limits& limits_;
  const Seconds started_at_;
  Seconds longest_pause_ = 0;
  std::map<Session*, std::unique_ptr<Session>> sessions_;
  std::optional<net::Listener> listener_;
};

}  // namespace opalroute::state_transfer
