// Operators' suspensions in force: to the decisions a suspended endpoint is draining, whatever the list says
// of it.
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
  // Reads the suspensions of the state folder and marks them in `endpoints`; to be made before the first list
  // is handed to the decisions. Throws std::system_error if they can't be read.
  EndpointSuspension(const Config& config, EndpointTable& endpoints, DecisionLoop& decisions);

  // An operator's command.
  admin::CommandResult Set(const std::string& endpoint, bool suspended);
  // Takes over what another process of this relay has been told.
  void Refresh();

 private:
  void Apply();
  TransferredState SlowStartOf(const ListUpdate& update) const;

  const Config& config_;
  EndpointTable& endpoints_;
  DecisionLoop& decisions_;
  admin::SuspendedEndpoints suspended_;
};

}  // namespace opalroute
