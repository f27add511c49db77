// Derives the memory that buffers of variable size may hold from the memory that the process may use.
#pragma once

#include <cstddef>

#include "config/limits.h"

namespace opalroute::config {

// Sets Limits::memory and memory_is_scarce, and lowers the number of clients' connections to what their share
// covers. `memory_bytes`: what the process may use, its files in the state folder included.
// Limits::disk_bytes and the numbers of connections must be set.
void ApplyMemoryLimit(std::size_t memory_bytes, Limits& limits);

}  // namespace opalroute::config
