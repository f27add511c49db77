#include "net/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace opalroute::net {

std::optional<sockaddr_in> ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) return std::nullopt;
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end) return std::nullopt;
  address.sin_port = htons(port);
  return address;
}

std::string FormatAddress(const sockaddr_in& address) {
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace opalroute::net
