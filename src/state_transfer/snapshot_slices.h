// Reads all route states of a relay in slices, one per iteration of the event loop, so that the relay's other
// work continues meanwhile.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "net/event_loop.h"
#include "net/timer.h"
#include "state_transfer/codec.h"

namespace opalroute::state_transfer {

// Returns the states of a relay's routes, ordered by destination, of up to `max_destinations` destinations
// starting at `from`. Sets `from` to the start of the next slice, or to nullopt at the end.
using RouteStateSource =
    std::function<std::vector<NamedRouteState>(std::optional<DestinationId>& from, int max_destinations)>;

class SnapshotSlices {
 public:
  using OnSlice = std::function<bool(std::vector<NamedRouteState>)>;

  // Calls `on_slice` with each slice that is not empty; if it returns false, the next slice is read only
  // after Resume. Calls `on_done` at the end, which may destroy this object. `loop` and `source` must outlive
  // it.
  SnapshotSlices(net::EventLoop& loop, const RouteStateSource& source, OnSlice on_slice,
                 std::function<void()> on_done);
  SnapshotSlices(const SnapshotSlices&) = delete;
  SnapshotSlices& operator=(const SnapshotSlices&) = delete;

  void Resume();
  // The longest time that a slice has taken.
  Seconds longest_slice() const { return longest_slice_; }

 private:
  static constexpr int kDestinationsPerSlice = 128;

  void ReadSlice();

  net::EventLoop& loop_;
  const RouteStateSource& source_;
  const OnSlice on_slice_;
  const std::function<void()> on_done_;
  std::optional<DestinationId> from_;
  Seconds longest_slice_ = 0;
  net::Timer timer_;
};

}  // namespace opalroute::state_transfer
