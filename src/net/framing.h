// Records in a stream of bytes or a file: 4 bytes of length, 4 of checksum (CRC-32), both little-endian, then
// the record itself.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace opalroute::net {

constexpr std::size_t kFrameHead = 8;

std::string Frame(std::string_view record);

enum class FrameState { kWhole, kPartial, kBroken };  // broken: too long, or the checksum does not fit
struct FrameRead {
  FrameState state = FrameState::kPartial;
  std::string_view record;  // if whole; within `bytes`
  std::size_t size = 0;     // of the whole frame, if whole
};

// Reads the frame at the front. A record is at most `most` bytes long.
FrameRead ReadFrame(std::string_view bytes, std::size_t most);

}  // namespace opalroute::net
