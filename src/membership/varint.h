// Variable-length integers (base 128, as in Protocol Buffers): seven bits a byte, the lowest first.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace opalroute::membership {

// Appends one to ten bytes.
void AppendVarint(std::string& bytes, std::uint64_t number);

// Removes a number from the front of `bytes`. Nothing if it has no end within them or within 64 bits.
std::optional<std::uint64_t> ReadVarint(std::string_view& bytes);

}  // namespace opalroute::membership
