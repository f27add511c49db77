#include "net/framing.h"

#include <zlib.h>

namespace opalroute::net {

namespace {

std::uint32_t ChecksumOf(std::string_view record) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const unsigned char*>(record.data()), static_cast<unsigned>(record.size())));
}

void AppendUint32(std::string& bytes, std::size_t number) {
  for (int i = 0; i < 4; ++i) bytes += static_cast<char>(number >> (8 * i) & 255U);
}

std::uint32_t ReadUint32(std::string_view bytes, std::size_t at) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < 4; ++i)
    number |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
  return number;
}

}  // namespace

std::string EncodeFrame(std::string_view record) {
  std::string bytes;
  bytes.reserve(kFrameHeaderSize + record.size());
  AppendUint32(bytes, record.size());
  AppendUint32(bytes, ChecksumOf(record));
  bytes += record;
  return bytes;
}

FrameRead ReadFrame(std::string_view bytes, std::size_t max_size) {
  FrameRead read;
  if (bytes.size() < kFrameHeaderSize) return read;
  const std::size_t size = ReadUint32(bytes, 0);
  if (size > max_size) {
    read.state = FrameState::kCorrupt;
    return read;
  }
  if (bytes.size() - kFrameHeaderSize < size) return read;
  read.record = bytes.substr(kFrameHeaderSize, size);
  read.size = kFrameHeaderSize + size;
  read.state = ChecksumOf(read.record) == ReadUint32(bytes, 4) ? FrameState::kComplete : FrameState::kCorrupt;
  return read;
}

}  // namespace opalroute::net
