// The forms in which beliefs travel (proto/learning.proto), and the ranges that they are held to. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "opalroute/request_router.h"

namespace opalroute::state_transfer {

constexpr std::uint32_t kVersion = 1;
constexpr Seconds kMaxAge = 3600;     // of an observation, and of a wait: what is beyond is no sound value
constexpr double kMaxSendRate = 1e6;  // calls a second
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxFrameBytes = 64 * 1024;  // bytes of a record
constexpr std::size_t kMaxDatagramBytes = 256;     // a datagram between relays holds no more

// A belief whose endpoint is still a name. `belief.endpoint` counts for nothing until the name was looked up.
struct NamedRouteState {
  std::string endpoint;  // empty: the destination as a whole
  RouteState state;
};

struct SnapshotRequest {
  std::uint32_t version = kVersion;
  std::string name;
};
struct SnapshotHeader {
  std::uint32_t version = kVersion;
  std::string name;
  Seconds running = 0;
  std::int64_t written_at = 0;  // Unix time in microseconds, in a saved file alone
};
struct SnapshotChunk {
  Seconds since_begin = 0;
  std::vector<NamedRouteState> routes;
  int out_of_range = 0;  // values left out while reading: negative, not a number, or too large
};
struct SnapshotEnd {
  std::uint64_t route_count = 0;
};
using Message = std::variant<SnapshotRequest, SnapshotHeader, SnapshotChunk, SnapshotEnd>;

// Whole frames, ready for a stream or a file.
std::string EncodeFrame(const Message& message);
// Reads a frame's record. None: no such message, or of a kind that this version does not know.
std::optional<Message> DecodeFrame(std::string_view record);

struct Datagram {
  std::uint32_t version = kVersion;
  std::uint32_t nonce = 0;
  bool is_request = false;
  std::vector<NamedRouteState> routes;
  int out_of_range = 0;
};
// As many lanes as fit into a datagram, from the front; returns how many in `written`.
std::string EncodeDatagram(const Datagram& note, std::size_t& written);
std::optional<Datagram> DecodeDatagram(std::string_view bytes);

// Makes a belief older by this: waits get shorter, ages grow.
void AgeBy(RouteState& belief, Seconds by);

}  // namespace opalroute::state_transfer
