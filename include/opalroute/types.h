// Types shared by settings, events and actions.
#pragma once

#include <cstdint>

namespace opalroute {

// Seconds on one clock that never goes back. All times of the interface are read off that clock.
using Seconds = double;

using RequestId = std::uint64_t;
using EndpointId = std::uint32_t;
using DestinationId = std::int64_t;

}  // namespace opalroute
