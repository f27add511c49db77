// Parses and formats IPv4 addresses and ports, such as "1.2.3.4:80".
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

namespace opalroute::net {

std::optional<sockaddr_in> ParseAddress(const std::string& text);
std::string FormatAddress(const sockaddr_in& address);
// Packs address and port into one integer, for use as a lookup key.
inline std::uint64_t KeyOf(const sockaddr_in& address) {
  return static_cast<std::uint64_t>(address.sin_addr.s_addr) << 16 | address.sin_port;
}

}  // namespace opalroute::net
