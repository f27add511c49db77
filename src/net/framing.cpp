#include "net/framing.h"

#include <zlib.h>

namespace opalroute::net {

namespace {

std::uint32_t ChecksumOf(std::string_view record) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const unsigned char*>(record.data()), static_cast<unsigned>(record.size())));
}

void PutShort(std::string& bytes, std::size_t number) {
  for (int i = 0; i < 4; ++i) bytes += static_cast<char>(number >> (8 * i) & 255U);
}

std::uint32_t ShortAt(std::string_view bytes, std::size_t at) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < 4; ++i)
    number |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
  return number;
}

}  // namespace

std::string Frame(std::string_view record) {
  std::string bytes;
  bytes.reserve(kFrameHead + record.size());
  PutShort(bytes, record.size());
  PutShort(bytes, ChecksumOf(record));
  bytes += record;
  return bytes;
}

FrameRead ReadFrame(std::string_view bytes, std::size_t most) {
  FrameRead read;
  if (bytes.size() < kFrameHead) return read;
  const std::size_t size = ShortAt(bytes, 0);
  if (size > most) {
    read.state = FrameState::kBroken;
    return read;
  }
  if (bytes.size() - kFrameHead < size) return read;
  read.record = bytes.substr(kFrameHead, size);
  read.size = kFrameHead + size;
  read.state = ChecksumOf(read.record) == ShortAt(bytes, 4) ? FrameState::kWhole : FrameState::kBroken;
  return read;
}

}  // namespace opalroute::net
