// Encodes and decodes the messages of state transfer (proto/state_transfer.proto), and checks the ranges of
// decoded values. Pure functions without I/O.
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
constexpr Seconds kMaxAge = 3600;  // limit of ages, Retry-Afters and latencies; longer ones are out of range
constexpr double kMaxSendRate = 1e6;  // calls per second
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxFrameBytes = std::size_t{64} * 1024;  // of a record, without the frame header
constexpr std::size_t kMaxDatagramBytes = 256;                  // as for all datagrams between relays

// A route's state that identifies the endpoint by its id in the endpoint list, since an EndpointId is valid
// in one process only. `state.endpoint` is ignored.
struct NamedRouteState {
  std::string endpoint;  // empty: the whole destination
  RouteState state;
};

struct SnapshotRequest {
  std::uint32_t version = kVersion;
  std::string name;  // of the relay that sends the request
};

struct SnapshotHeader {
  std::uint32_t version = kVersion;
  std::string name;             // of the relay that made the snapshot
  Seconds uptime = 0;           // of that relay
  std::int64_t written_at = 0;  // Unix time in microseconds; only in a saved file
};

struct SnapshotChunk {
  Seconds since_header = 0;  // from the creation of the header to that of this chunk
  std::vector<NamedRouteState> routes;
  int out_of_range = 0;  // values dropped by the decoder: negative, NaN, or too large
};

struct SnapshotEnd {
  std::uint64_t route_count = 0;  // total of all chunks
};

using Message = std::variant<SnapshotRequest, SnapshotHeader, SnapshotChunk, SnapshotEnd>;

// Returns a complete frame for a stream or a file.
std::string EncodeFrame(const Message& message);
// Decodes a frame's record. Returns nullopt if it is not a valid message or its kind is unknown to this
// version.
std::optional<Message> DecodeFrame(std::string_view record);

struct Datagram {
  std::uint32_t version = kVersion;
  std::uint32_t nonce = 0;
  bool is_request = false;
  std::vector<NamedRouteState> routes;
  int out_of_range = 0;  // values dropped by the decoder
};

struct EncodedDatagram {
  std::string bytes;
  std::size_t route_count = 0;  // number of routes, from the front, that fit
};

EncodedDatagram EncodeDatagram(const Datagram& datagram);
// Returns nullopt if the bytes are not a datagram of state transfer.
std::optional<Datagram> DecodeDatagram(std::string_view bytes);

// Ages a route's state by this time: reduces the Retry-After and increases the ages.
void AgeBy(RouteState& state, Seconds by);

}  // namespace opalroute::state_transfer
