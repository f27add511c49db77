#include "decision/upstream.h"

namespace opalroute::decision {

bool Endpoint::NeedsTrial() const { return circuit.IsOpen() || route->health.IsSuspectedOut(); }

bool Endpoint::IsOutlier() const { return !circuit.IsClosed() || !latest_in_objective; }

bool Endpoint::LooksIdle() const { return in_flight.empty() && (untried || latest_in_objective); }

}  // namespace opalroute::decision
