// What couriers tell one another of a lane as it happens: a few bytes, as notes are priced by their length.
// Pure; what follows from one is decided in rules.cpp.
//
//   byte 0     'L'
//   byte 1     kind
//   bytes 2..  destination, zigzag, seven bits a byte, the lowest first
//   last four  route, the lowest byte first; left out for a destination as a whole
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "opalroute/request_router.h"

namespace opalroute {

struct LaneNote {
  enum class Kind : char {
    kRefused = 'r',  // above its limit
    kBack = 'b',     // serves after an outage
    kCrowded = 'c'   // short of connections
  };
  Kind kind{};
  DestinationId destination{};
  std::uint32_t route = 0;  // the tag of an endpoint that has a limit of its own; 0: the destination
};

// The same for one name at every courier, never 0 (FNV-1a). Two routes of one destination that share a tag
// would be taken for each other: one pair in four thousand million.
inline std::uint32_t HashName(std::string_view name) {
  std::uint32_t hash = 2166136261U;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
  return hash == 0 ? 1 : hash;
}

inline std::string WriteLaneNote(const LaneNote& note) {
  std::string bytes = {'L', static_cast<char>(note.kind)};
  const auto wide = static_cast<std::uint64_t>(note.destination);
  std::uint64_t rest = (wide << 1) ^ (note.destination < 0 ? ~std::uint64_t{0} : 0);
  for (; rest >= 128; rest >>= 7) bytes += static_cast<char>(128 | (rest & 127));
  bytes += static_cast<char>(rest);
  for (int i = 0; note.route != 0 && i < 4; ++i) bytes += static_cast<char>(note.route >> (8 * i));
  return bytes;
}

// Nothing for bytes that are no such note, whole.
inline std::optional<LaneNote> ReadLaneNote(std::string_view bytes) {
  if (bytes.size() < 3 || bytes[0] != 'L') return std::nullopt;
  LaneNote note;
  note.kind = static_cast<LaneNote::Kind>(bytes[1]);
  if (std::string_view("rbc").find(bytes[1]) == std::string_view::npos) return std::nullopt;
  std::size_t at = 2;
  std::uint64_t wide = 0;
  for (int shift = 0;; shift += 7, ++at) {
    if (at == bytes.size() || shift > 63) return std::nullopt;
    wide |= static_cast<std::uint64_t>(bytes[at] & 127) << shift;
    if ((bytes[at] & 128) == 0) break;
  }
  note.destination = static_cast<DestinationId>((wide >> 1) ^ ((wide & 1) != 0 ? ~std::uint64_t{0} : 0));
  const std::string_view tail = bytes.substr(at + 1);
  if (!tail.empty() && tail.size() != 4) return std::nullopt;
  for (std::size_t i = 0; i < tail.size(); ++i)
    note.route |= static_cast<std::uint32_t>(static_cast<unsigned char>(tail[i])) << (8 * i);
  return note;
}

}  // namespace opalroute
