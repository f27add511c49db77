// The learner's side: asks running instances for what they believe, and ends when all have told it or time is
// up. Whatever came whole before a break is passed on.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/limits.h"
#include "net/connection.h"
#include "state_transfer/stream.h"

namespace opalroute::state_transfer {

class SnapshotClient {
 public:
  struct Report {
    sockaddr_in address{};
    std::string name;  // the donor's; empty: it said none
    std::string result =
        "late";  // whole; or why not: late, refused, cut, garbled, newer, older, itself, too_much
    std::uint64_t route_count = 0;
    std::size_t bytes = 0;
    int out_of_range = 0;
    Seconds running = 0;  // the donor's, as it says
    Seconds took = 0;
  };
  class Owner {
   public:
    virtual ~Owner() = default;
    // One belief of that donor, as it was at the time `made` by this relay's clock.
    virtual void OnRouteState(int donor, const NamedRouteState& heard, Seconds made) = 0;
    virtual void OnSnapshotsEnded(const std::vector<Report>& reports) = 0;  // last
  };

  // `time`: seconds from now until it ends in any case.
  SnapshotClient(net::EventLoop& loop, const std::vector<sockaddr_in>& donors, std::string name, Seconds time,
                 const Limits& limits, Owner& owner);
  ~SnapshotClient();

 private:
  class Session;
  void Ended();
  void Finish();

  net::EventLoop& loop_;
  const std::string name_;
  const Limits& limits_;
  Owner& owner_;
  std::vector<std::unique_ptr<Session>> sessions_;
  std::vector<Report> reports_;
  std::size_t running_ = 0;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace opalroute::state_transfer
