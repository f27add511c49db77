// The figures that operators' tools read: lines of `edge.name=number`, as the operators' page names them.
#pragma once

#include <string>

#include "config/config.h"
#include "metrics/counters.h"
#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"
#include "relay/request_table.h"

namespace opalroute {

// `now`: of the loop that drives `decisions`.
std::string OperationsMetrics(const Config& config, const Counters& counters, const EndpointTable& endpoints,
                              const RequestTable& requests, const DecisionLoop& decisions, Seconds now);

}  // namespace opalroute
