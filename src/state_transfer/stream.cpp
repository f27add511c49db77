#include "state_transfer/stream.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "net/framing.h"

namespace opalroute::state_transfer {

void FrameReader::Append(net::RingBuffer& in) {
  while (!in.empty()) {
    const std::string_view front = in.Front();
    if (!broken_) bytes_.append(front);
    in.Consume(front.size());
  }
}

std::optional<Message> FrameReader::Next() {
  while (!broken_) {
    const net::FrameRead read = net::ReadFrame(std::string_view(bytes_).substr(at_), kMaxFrameBytes);
    if (read.state == net::FrameState::kBroken) broken_ = true;
    if (read.state != net::FrameState::kWhole) break;
    at_ += read.size;
    taken_ += read.size;
    if (auto message = DecodeFrame(read.record)) return message;
  }
  bytes_.erase(0, std::exchange(at_, 0));
  return std::nullopt;
}

SnapshotSlices::SnapshotSlices(net::EventLoop& loop, const RouteStateSource& source,
                               std::function<bool(std::vector<NamedRouteState>)> slice,
                               std::function<void()> done)
    : loop_(loop),
      source_(source),
      slice_(std::move(slice)),
      done_(std::move(done)),
      from_(std::numeric_limits<DestinationId>::min()) {
  Resume();
}

void SnapshotSlices::Resume() {
  if (timer_ != 0) return;
  timer_ = loop_.At(loop_.Now(), [this] {
    timer_ = 0;
    Step();
  });
}

void SnapshotSlices::Step() {
  if (!from_) return done_();
  const Seconds began = loop_.Now();
  std::vector<NamedRouteState> heard = source_(from_, kDestinations);
  const bool more = heard.empty() || slice_(std::move(heard));
  longest_ = std::max(longest_, loop_.Now() - began);
  if (more) Resume();
}

}  // namespace opalroute::state_transfer
