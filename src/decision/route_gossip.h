// The datagrams by which relays notify one another of events on an upstream route. Only the encoding; what
// follows from a datagram is decided elsewhere.
//
//   byte 0     'L'
//   byte 1     kind
//   bytes 2..  destination, zigzag, seven bits a byte, the lowest first
//   last four  hash of the endpoint's name, the lowest byte first; left out for a destination as a whole
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
    kRejected = 'r',         // over its rate limit
    kRecovered = 'b',        // serves after an outage
    kOutOfConnections = 'c'  // short of connections
  };
  Kind kind{};
  DestinationId destination{};
  std::uint32_t name_hash = 0;  // of an endpoint that has a limit of its own; 0: the destination
};

// Hash of an endpoint's name (FNV-1a), the same at every relay and never 0. Two endpoints of one destination
// with equal hashes would be taken for each other.
std::uint32_t HashName(std::string_view name);

std::string EncodeRouteGossip(const RouteGossip& gossip);

// Nothing for bytes that are not exactly one such datagram.
std::optional<RouteGossip> DecodeRouteGossip(std::string_view bytes);

}  // namespace opalroute::decision
