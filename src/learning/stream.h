// Frames of proto/learning.proto on a connection, and beliefs read from the relay in bounded slices.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "learning/codec.h"
#include "net/event_loop.h"
#include "net/ring_buffer.h"

namespace opalroute::learning {

using Seconds = net::Seconds;

// Takes bytes in and gives messages out. What is unknown is passed over; after a broken frame nothing
// follows.
class MessageReader {
 public:
  void Take(net::RingBuffer& in);
  void Take(std::string_view bytes) { bytes_.append(bytes); }
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
using Source = std::function<std::vector<Heard>(std::optional<DestinationId>& from, int most)>;

// Reads all of a source, one slice a turn of the event loop, so that no slice holds up the relay's own work.
class Slices {
 public:
  static constexpr int kDestinations = 128;  // a slice; measured in docs/learning.md

  // `slice` says whether the next may follow; else Resume has to be called. `done` comes last.
  Slices(net::EventLoop& loop, const Source& source, std::function<bool(std::vector<Heard>)> slice,
         std::function<void()> done);
  ~Slices() { loop_.Cancel(timer_); }
  Slices(const Slices&) = delete;
  Slices& operator=(const Slices&) = delete;
  void Resume();
  Seconds longest() const { return longest_; }  // a slice has taken

 private:
  void Step();

  net::EventLoop& loop_;
  const Source& source_;
  std::function<bool(std::vector<Heard>)> slice_;
  std::function<void()> done_;
  std::optional<DestinationId> from_;
  Seconds longest_ = 0;
  net::EventLoop::TimerId timer_ = 0;
};

}  // namespace opalroute::learning
