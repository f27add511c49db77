#include "state_transfer/frame_reader.h"

#include <utility>

#include "net/framing.h"

namespace opalroute::state_transfer {

void FrameReader::Append(net::RingBuffer& in) {
  while (!in.empty()) {
    const std::string_view front = in.Front();
    if (!corrupt_) bytes_.append(front);
    in.Consume(front.size());
  }
}

std::optional<Message> FrameReader::Next() {
  while (!corrupt_) {
    const net::FrameRead read = net::ReadFrame(std::string_view(bytes_).substr(offset_), kMaxFrameBytes);
    if (read.state == net::FrameState::kCorrupt) corrupt_ = true;
    if (read.state != net::FrameState::kComplete) break;
    offset_ += read.size;
    frame_bytes_ += read.size;
    if (auto message = DecodeFrame(read.record)) return message;
  }
  bytes_.erase(0, std::exchange(offset_, 0));
  return std::nullopt;
}

}  // namespace opalroute::state_transfer
