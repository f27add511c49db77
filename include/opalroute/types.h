// Types shared by settings, events and actions.
#pragma once

#include <cstdint>

namespace opalroute {

// A time in seconds on a monotonic clock, or a duration. All times of the interface are on the same clock.
using Seconds = double;

using RequestId = std::uint64_t;
using EndpointId = std::uint32_t;
using DestinationId = std::int64_t;

// Index of a zone into the deployment's zones. Where a zone may be unknown, it is optional: an endpoint whose
// zone is unknown is never assumed to be in the zone of another endpoint.
enum class ZoneId : int {};

// Index of an endpoint kind into Settings::kinds.
enum class KindId : int {};

// What a relay holds of the health of an upstream route.
enum class RouteCondition {
  kServing,    // no fault since the latest served call
  kFaulty,     // calls have failed or were rejected, but too few to suspect an outage
  kSuspected,  // an outage is suspected: only recovery trials are sent
  kSlowStart,  // it serves calls again after an outage: the rate of calls is limited
};

}  // namespace opalroute
