// Classifies the outcomes of attempts.
#pragma once

#include "opalroute/events.h"

namespace opalroute::decision {

// Whether the request certainly had no effect at the endpoint.
bool ProvesNeverRan(Outcome outcome);

// Whether the attempt may still be running at the endpoint, so that a later one could overtake it.
bool MayStillBeRunning(Outcome outcome);

// Whether the request may be retried without a backoff of its own, because the route's backoff delays it or
// the attempt has already taken its time.
bool IsRetriedImmediately(Outcome outcome);

// Whether the outcome says nothing about the health of the endpoint.
bool IsInconclusive(Outcome outcome);

}  // namespace opalroute::decision
