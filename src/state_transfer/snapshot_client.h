// Fetches snapshots from running relays over TCP, and ends when all have delivered theirs or time is up. What
// arrived complete before a connection broke is passed on.
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
  // How the snapshot of one relay was received.
  struct Report {
    sockaddr_in address{};
    std::string name;  // as that relay gives it; empty: it gave none
    SnapshotResult result = SnapshotResult::kTimedOut;
    std::uint64_t route_count = 0;
    std::size_t bytes = 0;
    int out_of_range = 0;  // values left out
    Seconds uptime = 0;    // of that relay, as it states it
    Seconds duration = 0;
  };

  class Owner {
   public:
    virtual ~Owner() = default;
    // A route's state as it was at the time `observed_at` of this relay's clock. `server` is an index into
    // the addresses asked.
    virtual void OnRouteState(int server, const NamedRouteState& route, Seconds observed_at) = 0;
    // Comes last, never from within the constructor.
    virtual void OnSnapshotsEnded(const std::vector<Report>& reports) = 0;
  };

  // Asks the relays at `servers`, at most for `timeout` seconds from now; `name` is this relay's own. `loop`,
  // `limits` and `owner` must outlive the client.
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
  net::Timer timer_;  // the timeout, and then the end
};

}  // namespace opalroute::state_transfer
