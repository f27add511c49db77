// Decides where idle connections are closed: idle connections of many relays fill an endpoint's table.
#pragma once

#include <set>

#include "decision/context.h"
#include "decision/endpoint_table.h"
#include "decision/zone_traffic.h"

namespace opalroute::decision {

// Owns the endpoints whose idle connections are to be closed.
class IdleConnections {
 public:
  IdleConnections(DecisionContext& context, EndpointTable& table, const ZoneTraffic& zones);

  // The endpoint is short of connections. Whether that was not known: relays that start later have not heard
  // of it.
  bool MarkOutOfConnections(Endpoint& endpoint);
  // A call to the endpoint has ended.
  void OnCallEnded(const Endpoint& endpoint);
  // Closes idle connections to the endpoint at the end of the batch if no call is in flight there.
  void CloseAtBatchEnd(EndpointId endpoint) { to_close_.insert(endpoint); }
  void OnBatchEnd();

 private:
  DecisionContext& context_;
  EndpointTable& table_;
  const ZoneTraffic& zones_;
  std::set<EndpointId> to_close_;
};

}  // namespace opalroute::decision
