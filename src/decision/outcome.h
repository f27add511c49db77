// What the outcome of an attempt proves.
#pragma once

#include "opalroute/events.h"

namespace opalroute::decision {

// Whether the request surely had no effect at the endpoint.
bool ProvesNeverRan(Outcome outcome);

// Whether the attempt may still run at the endpoint, so that a later one could overtake it.
bool MayStillRun(Outcome outcome);

// Whether the request may be sent again without a backoff of its own: the route's backoff holds it back, or
// the endpoint has had its time.
bool IsRetriedAtOnce(Outcome outcome);

// Whether the outcome says nothing of the endpoint.
bool IsInconclusive(Outcome outcome);

}  // namespace opalroute::decision
