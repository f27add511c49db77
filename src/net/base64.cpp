#include "net/base64.h"

#include <cstddef>
#include <cstdint>

namespace opalroute::net {
namespace {

constexpr char kAlphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kAlphabet[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return text;
}

std::optional<std::string> DecodeBase64(const std::string& text) {
  const std::string alphabet(kAlphabet);
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    if (c == '=') break;
    const auto value = alphabet.find(c);
    if (value == std::string::npos) return std::nullopt;
    group = group << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255U);
    }
  }
  return bytes;
}

}  // namespace opalroute::net
