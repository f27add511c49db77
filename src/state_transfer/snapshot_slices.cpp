#include "state_transfer/snapshot_slices.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace opalroute::state_transfer {

SnapshotSlices::SnapshotSlices(net::EventLoop& loop, const RouteStateSource& source, OnSlice on_slice,
                               std::function<void()> on_done)
    : loop_(loop),
      source_(source),
      on_slice_(std::move(on_slice)),
      on_done_(std::move(on_done)),
      from_(std::numeric_limits<DestinationId>::min()),
      timer_(loop) {
  Resume();
}

void SnapshotSlices::Resume() {
  if (timer_.pending()) return;
  timer_.Start(loop_.Now(), [this] { ReadSlice(); });
}

void SnapshotSlices::ReadSlice() {
  if (!from_) return on_done_();
  const Seconds started = loop_.Now();
  std::vector<NamedRouteState> routes = source_(from_, kDestinationsPerSlice);
  const bool wants_more = routes.empty() || on_slice_(std::move(routes));
  longest_slice_ = std::max(longest_slice_, loop_.Now() - started);
  if (wants_more) Resume();
}

}  // namespace opalroute::state_transfer
