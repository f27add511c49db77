// Types shared by settings, events and actions.
#pragma once

#include <cstdint>

namespace opalroute {

// A time in seconds on a monotonic clock, or a duration. All times of the interface are on the same clock.
using Seconds = double;

using RequestId = std::uint64_t;
using EndpointId = std::uint32_t;
using DestinationId = std::int64_t;

}  // namespace opalroute
