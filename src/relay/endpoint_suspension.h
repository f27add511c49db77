// Applies operators' suspensions of endpoints: the decision module sees a suspended endpoint as draining,
// whatever its status in the endpoint list.
#pragma once

#include <string>

#include "admin/operations_server.h"
#include "admin/suspended_endpoints.h"
#include "config/config.h"
#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"

namespace opalroute {

class EndpointSuspension {
 public:
  // Reads the suspensions from the state folder and applies them to `endpoints`. Must be constructed before
  // the first list is posted to the decision module. Throws std::system_error if they can't be read.
  EndpointSuspension(const Config& config, EndpointTable& endpoints, DecisionLoop& decisions);

  // Executes an operator's command to suspend or resume an endpoint.
  admin::CommandResult Set(const std::string& endpoint, bool suspended);
  // Applies the suspensions that another process of this relay has stored.
  void Refresh();

 private:
  void Apply();
  TransferredState SlowStartFor(const ListUpdate& update) const;

  const Config& config_;
  EndpointTable& endpoints_;
  DecisionLoop& decisions_;
  admin::SuspendedEndpoints suspended_;
};

}  // namespace opalroute
