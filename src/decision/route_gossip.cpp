#include "decision/route_gossip.h"

#include <cstddef>

namespace opalroute::decision {
namespace {

constexpr char kMagic = 'L';
constexpr std::string_view kKinds = "rbc";
constexpr std::size_t kHeaderBytes = 2;
constexpr std::size_t kHashBytes = 4;
constexpr int kVarintBits = 7;  // payload bits of a byte; the eighth is set if another byte follows
constexpr unsigned kVarintMask = 127;
constexpr unsigned kVarintContinuation = 128;
constexpr int kMaxShift = 63;

std::uint64_t ZigzagEncode(std::int64_t value) {
  return (static_cast<std::uint64_t>(value) << 1) ^ (value < 0 ? ~std::uint64_t{0} : 0);
}

std::int64_t ZigzagDecode(std::uint64_t value) {
  return static_cast<std::int64_t>((value >> 1) ^ ((value & 1) != 0 ? ~std::uint64_t{0} : 0));
}

void AppendVarint(std::uint64_t value, std::string& bytes) {
  for (; value > kVarintMask; value >>= kVarintBits)
    bytes += static_cast<char>(kVarintContinuation | (value & kVarintMask));
  bytes += static_cast<char>(value);
}

// Reads a number at `position` and advances it past the number. Nothing if the number is incomplete or longer
// than 10 bytes.
std::optional<std::uint64_t> ReadVarint(std::string_view bytes, std::size_t& position) {
  std::uint64_t value = 0;
  for (int shift = 0; shift <= kMaxShift && position < bytes.size(); shift += kVarintBits) {
    const auto byte = static_cast<unsigned char>(bytes[position++]);
    value |= static_cast<std::uint64_t>(byte & kVarintMask) << shift;
    if ((byte & kVarintContinuation) == 0) return value;
  }
  return std::nullopt;
}

}  // namespace

std::uint32_t HashName(std::string_view name) {
  constexpr std::uint32_t kOffsetBasis = 2166136261U;
  constexpr std::uint32_t kPrime = 16777619U;
  std::uint32_t hash = kOffsetBasis;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  return hash == 0 ? 1 : hash;
}

std::string EncodeRouteGossip(const RouteGossip& gossip) {
  std::string bytes = {kMagic, static_cast<char>(gossip.kind)};
  AppendVarint(ZigzagEncode(gossip.destination), bytes);
  if (gossip.name_hash == 0) return bytes;
  for (std::size_t i = 0; i < kHashBytes; ++i) bytes += static_cast<char>(gossip.name_hash >> (8 * i));
  return bytes;
}

std::optional<RouteGossip> DecodeRouteGossip(std::string_view bytes) {
  if (bytes.size() <= kHeaderBytes || bytes[0] != kMagic) return std::nullopt;
  if (kKinds.find(bytes[1]) == std::string_view::npos) return std::nullopt;
  RouteGossip gossip;
  gossip.kind = static_cast<RouteGossip::Kind>(bytes[1]);
  std::size_t position = kHeaderBytes;
  const auto destination = ReadVarint(bytes, position);
  if (!destination) return std::nullopt;
  gossip.destination = ZigzagDecode(*destination);
  const std::string_view hash = bytes.substr(position);
  if (!hash.empty() && hash.size() != kHashBytes) return std::nullopt;
  for (std::size_t i = 0; i < hash.size(); ++i)
    gossip.name_hash |= static_cast<std::uint32_t>(static_cast<unsigned char>(hash[i])) << (8 * i);
  return gossip;
}

}  // namespace opalroute::decision
