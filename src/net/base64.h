// Base64 (RFC 4648). Encoding pads; decoding stops at the first padding character.
#pragma once

#include <optional>
#include <string>

namespace opalroute::net {

std::string EncodeBase64(const std::string& bytes);
// Returns nullopt for a character outside of the alphabet.
std::optional<std::string> DecodeBase64(const std::string& text);

}  // namespace opalroute::net
