// The metrics for operators' tools, as lines of `edge.name=number`. The names are part of the operators'
// interface.
#pragma once

#include <string>

#include "config/config.h"
#include "metrics/counters.h"
#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"
#include "relay/listener_takeover.h"
#include "relay/request_table.h"

namespace opalroute {

// `now` is the time of the event loop that drives `decisions`.
std::string OperationsMetrics(const Config& config, const Counters& counters, const EndpointTable& endpoints,
                              const RequestTable& requests, const DecisionLoop& decisions,
                              const net::MemoryBudget& memory, const ListenerTakeover& listeners,
                              Seconds now);

}  // namespace opalroute
