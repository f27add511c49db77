// Reads all route states of a relay in slices, one a round of the event loop, so that the relay's own work
// goes on.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "net/event_loop.h"
#include "net/timer.h"
#include "state_transfer/codec.h"

namespace opalroute::state_transfer {

// The states of a relay's routes by destination: up to `most` destinations from `from` on. Sets `from` to
// where the next slice begins, or to nullopt at the end.
using RouteStateSource =
    std::function<std::vector<NamedRouteState>(std::optional<DestinationId>& from, int most)>;

class SnapshotSlices {
 public:
  using OnSlice = std::function<bool(std::vector<NamedRouteState>)>;

  // Calls `on_slice` with each slice that is not empty; if it returns false, the next one waits for Resume.
  // Calls `on_done` at the end, which may destroy this object. `loop` and `source` must outlive it.
  SnapshotSlices(net::EventLoop& loop, const RouteStateSource& source, OnSlice on_slice,
                 std::function<void()> on_done);
  SnapshotSlices(const SnapshotSlices&) = delete;
  SnapshotSlices& operator=(const SnapshotSlices&) = delete;

  void Resume();
  // The longest time that one slice has taken.
  Seconds longest() const { return longest_; }

 private:
  static constexpr int kDestinationsPerSlice = 128;

  void ReadSlice();

  net::EventLoop& loop_;
  const RouteStateSource& source_;
  const OnSlice on_slice_;
  const std::function<void()> on_done_;
  std::optional<DestinationId> from_;
  Seconds longest_ = 0;
  net::Timer timer_;
};

}  // namespace opalroute::state_transfer
