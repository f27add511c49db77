// Infinity as a time or a rate.
#pragma once

#include <limits>

#include "opalroute/types.h"

namespace opalroute::decision {

// As a due time: nothing is due. As a rate: unlimited. Negated, as the time of an event: it has not happened.
constexpr Seconds kNever = std::numeric_limits<Seconds>::infinity();

}  // namespace opalroute::decision
