// Variable-length integers (base 128, as in Protocol Buffers): seven bits per byte, lowest bits first.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace opalroute::membership {

// Appends one to ten bytes.
void AppendVarint(std::string& bytes, std::uint64_t number);

// Removes a number from the front of `bytes` and returns it. Returns nullopt if the bytes end within the
// number or if it takes more than ten bytes.
std::optional<std::uint64_t> ReadVarint(std::string_view& bytes);

}  // namespace opalroute::membership
