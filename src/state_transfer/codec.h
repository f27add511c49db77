// Encodes and decodes what state transfer sends and saves (proto/state_transfer.proto), and keeps decoded
// values in their ranges. Pure.
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
constexpr Seconds kMaxAge = 3600;     // of an observation, and of a Retry-After; longer ones are out of range
constexpr double kMaxSendRate = 1e6;  // requests a second
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxFrameBytes = std::size_t{64} * 1024;  // of a frame's record
constexpr std::size_t kMaxDatagramBytes = 256;                  // the limit for datagrams between relays

// The state of a route whose endpoint has an id of the endpoint list instead of a number of one process.
// `state.endpoint` has no meaning.
struct NamedRouteState {
  std::string endpoint;  // empty: the destination as a whole
  RouteState state;
};

struct SnapshotRequest {
  std::uint32_t version = kVersion;
  std::string name;  // of the relay that asks
};

struct SnapshotHeader {
  std::uint32_t version = kVersion;
  std::string name;             // of the relay whose state it is
  Seconds uptime = 0;           // of that relay
  std::int64_t written_at = 0;  // Unix time in microseconds, in a saved file alone
};

struct SnapshotChunk {
  Seconds since_header = 0;  // when it was made, after the header was
  std::vector<NamedRouteState> routes;
  int out_of_range = 0;  // values left out while decoding: negative, not a number, or too large
};

struct SnapshotEnd {
  std::uint64_t route_count = 0;  // in all chunks together
};

using Message = std::variant<SnapshotRequest, SnapshotHeader, SnapshotChunk, SnapshotEnd>;

// A complete frame, ready for a stream or a file.
std::string EncodeFrame(const Message& message);
// Decodes a frame's record. Returns nullopt for what is no message, or of a kind that this version does not
// know.
std::optional<Message> DecodeFrame(std::string_view record);

struct Datagram {
  std::uint32_t version = kVersion;
  std::uint32_t nonce = 0;
  bool is_request = false;
  std::vector<NamedRouteState> routes;
  int out_of_range = 0;  // values left out while decoding
};

struct EncodedDatagram {
  std::string bytes;
  std::size_t route_count = 0;  // of the routes from the front that fit
};

EncodedDatagram EncodeDatagram(const Datagram& datagram);
// Returns nullopt for a datagram that is not state transfer's.
std::optional<Datagram> DecodeDatagram(std::string_view bytes);

// Makes a route's state older by this time: Retry-Afters get shorter, ages grow.
void AgeBy(RouteState& state, Seconds by);

}  // namespace opalroute::state_transfer
