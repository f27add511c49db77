#include "membership/varint.h"

namespace opalroute::membership {

namespace {

constexpr unsigned kContinuationBit = 128;  // set in every byte but the last
constexpr unsigned kPayloadMask = 127;
constexpr int kPayloadBits = 7;

}  // namespace

void AppendVarint(std::string& bytes, std::uint64_t number) {
  for (; number >= kContinuationBit; number >>= kPayloadBits) {
    bytes += static_cast<char>(kContinuationBit | (number & kPayloadMask));
  }
  bytes += static_cast<char>(number);
}

std::optional<std::uint64_t> ReadVarint(std::string_view& bytes) {
  std::uint64_t number = 0;
  for (int shift = 0; shift < 64 && !bytes.empty(); shift += kPayloadBits) {
    const auto byte = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    number |= static_cast<std::uint64_t>(byte & kPayloadMask) << shift;
    if ((byte & kContinuationBit) == 0) return number;
  }
  return std::nullopt;
}

}  // namespace opalroute::membership
