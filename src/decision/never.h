// The time that never comes.
#pragma once

#include <limits>

#include "opalroute/types.h"

namespace opalroute::decision {

// As a due time: none. As a rate: without a limit. Negated, as the time of an event: it has not happened.
constexpr Seconds kNever = std::numeric_limits<Seconds>::infinity();

}  // namespace opalroute::decision
