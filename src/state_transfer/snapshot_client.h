// Fetches snapshots from running relays over TCP, and ends when all transfers have ended or the timeout has
// passed. Chunks that arrived complete before a transfer failed are passed on.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "config/limits.h"
#include "net/connection.h"
#include "net/timer.h"
#include "state_transfer/frame_reader.h"
#include "state_transfer/snapshot_result.h"

namespace opalroute::state_transfer {

class SnapshotClient {
 public:
  // How the transfer from one relay went.
  struct Report {
    sockaddr_in address{};
    std::string name;  // of that relay, from its header; empty: no header arrived
    SnapshotResult result = SnapshotResult::kTimedOut;
    std::uint64_t route_count = 0;
    std::size_t bytes = 0;
    int out_of_range = 0;  // values dropped by the decoder
    Seconds uptime = 0;    // of that relay, from its header
    Seconds duration = 0;
  };

  class Owner {
   public:
    virtual ~Owner() = default;
    // A route's state as of `observed_at` on this relay's clock. `server` is an index into the addresses that
    // were passed to the constructor.
    virtual void OnRouteState(int server, const NamedRouteState& route, Seconds observed_at) = 0;
    // Called last, and never from within the constructor.
    virtual void OnSnapshotsEnded(const std::vector<Report>& reports) = 0;
  };

  // Fetches from the relays at `servers`, for at most `timeout` seconds. `name` is the name of this relay.
  // `loop`, `limits` and `owner` must outlive the client.
  SnapshotClient(net::EventLoop& loop, const std::vector<sockaddr_in>& servers, std::string name,
                 Seconds timeout, const Limits& limits, Owner& owner);
  ~SnapshotClient();

 private:
  class Session;
  void OnSessionEnded();
  void Finish();

  net::EventLoop& loop_;
  const std::string name_;
  const Limits& limits_;
  Owner& owner_;
  std::vector<std::unique_ptr<Session>> sessions_;
  std::vector<Report> reports_;
  std::size_t running_sessions_ = 0;
  net::Timer timer_;  // first the timeout, then the deferred call of Finish
};

}  // namespace opalroute::state_transfer
