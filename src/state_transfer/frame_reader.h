// Splits the bytes of a stream or a file into the messages of state transfer.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "net/ring_buffer.h"
#include "state_transfer/codec.h"

namespace opalroute::state_transfer {

class FrameReader {
 public:
  // Consumes all of `in`.
  void Append(net::RingBuffer& in);
  void Append(std::string_view bytes) { bytes_.append(bytes); }
  // Returns the next message, or nullopt if none is complete. Skips frames of an unknown kind. Returns no
  // message after a corrupt frame.
  std::optional<Message> Next();
  bool corrupt() const { return corrupt_; }                 // a corrupt frame was found
  std::size_t frame_bytes() const { return frame_bytes_; }  // of the frames read so far

 private:
  std::string bytes_;
  std::size_t offset_ = 0;  // of the next frame
  std::size_t frame_bytes_ = 0;
  bool corrupt_ = false;
};

}  // namespace opalroute::state_transfer
