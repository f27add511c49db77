// Frames of proto/learning.proto on a connection, and beliefs read from the relay in bounded slices.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/ring_buffer.h"
#include "state_transfer/codec.h"

namespace opalroute::state_transfer {

using Seconds = net::Seconds;

// Takes bytes in and gives messages out. What is unknown is passed over; after a broken frame nothing
// follows.
class FrameReader {
 public:
  void Append(net::RingBuffer& in);
  void Append(std::string_view bytes) { bytes_.append(bytes); }
  std::optional<Message> Next();
  bool broken() const { return broken_; }
  bool empty() const { return bytes_.empty(); }
  std::size_t taken() const { return taken_; }  // bytes of whole frames

 private:
  std::string bytes_;
  std::size_t at_ = 0, taken_ = 0;
  bool broken_ = false;
};

// What a relay believes, by destination: up to `most` of them from `from` on, which is then where to go on.
using RouteStateSource =
    std::function<std::vector<NamedRouteState>(std::optional<DestinationId>& from, int most)>;

// Reads all of a source, one slice a turn of the event loop, so that no slice holds up the relay's own work.
class SnapshotSlices {
 public:
  static constexpr int kDestinations = 128;  // a slice; measured in docs/learning.md

  // `slice` says whether the next may follow; else Resume has to be called. `done` comes last.
  SnapshotSlices(net::EventLoop& loop, const RouteStateSource& source,
                 std::function<bool(std::vector<NamedRouteState>)> slice, std::function<void()> done);
  ~SnapshotSlices() { loop_.Cancel(timer_); }
  SnapshotSlices(const SnapshotSlices&) = delete;
  SnapshotSlices& operator=(const SnapshotSlices&) = delete;
  void Resume();
  Seconds longest() const { return longest_; }  // a slice has taken

 private:
  void Step();

  net::EventLoop& loop_;
  const RouteStateSource& source_;
  std::function<bool(std::vector<NamedRouteState>)> slice_;
  std::function<void()> done_;
  std::optional<DestinationId> from_;
  Seconds longest_ = 0;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace opalroute::state_transfer
