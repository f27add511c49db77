// Encoding of the datagrams by which relays notify one another of events on an upstream route. GossipReceiver
// applies them.
//
//   byte 0     'L'
//   byte 1     kind
//   bytes 2..  destination: zigzag varint, seven bits per byte, least significant first
//   last four  hash of the endpoint's name, little-endian; absent for a destination as a whole
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "opalroute/types.h"

namespace opalroute::decision {

// An event on an upstream route.
struct RouteGossip {
  enum class Kind : char {
    kRejected = 'r',         // a call exceeded the rate limit
    kRecovered = 'b',        // serves again after an outage
    kOutOfConnections = 'c'  // the endpoint has no connection left
  };
  Kind kind{};
  DestinationId destination{};
  std::uint32_t name_hash = 0;  // of an endpoint that has a limit of its own; 0: the destination
};

// Hash of an endpoint's name (FNV-1a), the same at every relay and never 0. Endpoints of one destination
// whose hashes collide are treated as the same endpoint.
std::uint32_t HashName(std::string_view name);

std::string EncodeRouteGossip(const RouteGossip& gossip);

// Returns nothing unless `bytes` are exactly one such datagram.
std::optional<RouteGossip> DecodeRouteGossip(std::string_view bytes);

}  // namespace opalroute::decision
