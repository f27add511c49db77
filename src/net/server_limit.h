// The limits of an HTTP server that end requests and connections of its clients.
#pragma once

#include <cstddef>

namespace opalroute::net {

enum class ServerLimit { kConnections, kMemory, kRequestTime, kHeadBytes, kBodyBytes };
constexpr std::size_t kServerLimits = 5;

inline const char* NameOf(ServerLimit limit) {
  switch (limit) {
    case ServerLimit::kConnections:
      return "connections";
    case ServerLimit::kMemory:
      return "memory";
    case ServerLimit::kRequestTime:
      return "request_time";
    case ServerLimit::kHeadBytes:
      return "head_bytes";
    case ServerLimit::kBodyBytes:
      return "body_bytes";
  }
  return "";
}

}  // namespace opalroute::net
