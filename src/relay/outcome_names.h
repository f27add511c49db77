// The names of attempts' outcomes in log lines.
#pragma once

#include "opalroute/events.h"

namespace opalroute {

const char* NameOf(Outcome outcome);

}  // namespace opalroute
