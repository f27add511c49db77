// Framing of records in a byte stream or a file. A frame is the length of the record (4 bytes), its CRC-32
// checksum (4 bytes), both little-endian, and the record itself.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace opalroute::net {

constexpr std::size_t kFrameHeaderSize = 8;  // length and checksum

std::string EncodeFrame(std::string_view record);

enum class FrameState { kComplete, kPartial, kCorrupt };  // corrupt: longer than allowed, or a wrong checksum
struct FrameRead {
  FrameState state = FrameState::kPartial;
  std::string_view record;  // if complete: points into the bytes that were passed in
  std::size_t size = 0;     // if complete: of the frame, header included
};

// Reads the frame at the start of `bytes`. A record longer than `max_size` bytes counts as corrupt.
FrameRead ReadFrame(std::string_view bytes, std::size_t max_size);

}  // namespace opalroute::net
