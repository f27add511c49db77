// Decides which idle connections to close: those of many relays together can use up an endpoint's connection
// limit.
#pragma once

#include <set>

#include "decision/context.h"
#include "decision/endpoint_table.h"
#include "decision/zone_traffic.h"

namespace opalroute::decision {

// Owns the set of endpoints whose idle connections are to be closed.
class IdleConnections {
 public:
  IdleConnections(DecisionContext& context, EndpointTable& table, const ZoneTraffic& zones);

  // Records that the endpoint is out of connections. Returns whether that was unknown or last seen longer ago
  // than the overload window: relays that have started since then have not been notified.
  bool MarkOutOfConnections(Endpoint& endpoint);
  // Handles the end of a call to the endpoint.
  void OnCallEnded(const Endpoint& endpoint);
  // Closes idle connections to the endpoint at the end of the batch, unless a call is in flight there by
  // then.
  void CloseAtBatchEnd(EndpointId endpoint) { to_close_.insert(endpoint); }
  void OnBatchEnd();

 private:
  DecisionContext& context_;
  EndpointTable& table_;
  const ZoneTraffic& zones_;
  std::set<EndpointId> to_close_;
};

}  // namespace opalroute::decision
