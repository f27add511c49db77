#include "relay/endpoint_suspension.h"

#include <utility>

namespace opalroute {

EndpointSuspension::EndpointSuspension(const Config& config, EndpointTable& endpoints,
                                       DecisionLoop& decisions)
    : config_(config),
      endpoints_(endpoints),
      decisions_(decisions),
      suspended_(config.state_folder, config.limits.suspended_file_bytes) {
  endpoints_.SetSuspended(suspended_.ids());
}

admin::CommandResult EndpointSuspension::Set(const std::string& endpoint, bool suspended) {
  const bool known = endpoints_.WasListed(endpoint) || suspended_.Has(endpoint);
  if (!known) return admin::CommandResult::kUnknownEndpoint;
  if (!suspended_.SetSuspended(endpoint, suspended)) return admin::CommandResult::kNotPersisted;
  Apply();
  return admin::CommandResult::kDone;
}

void EndpointSuspension::Refresh() {
  if (suspended_.Refresh()) Apply();
}

void EndpointSuspension::Apply() {
  const ListUpdate update = endpoints_.SetSuspended(suspended_.ids());
  if (update.entries.empty()) return;
  decisions_.Post(update);
  TransferredState slow_start = SlowStartFor(update);
  if (!slow_start.routes.empty()) decisions_.Post(std::move(slow_start));
}

// Operators usually suspend an endpoint to restart it, so a resumed endpoint gets a slow start.
TransferredState EndpointSuspension::SlowStartFor(const ListUpdate& update) const {
  TransferredState transferred;
  for (const ListedEndpoint& endpoint : update.entries) {
    if (endpoint.status != EndpointStatus::kInService) continue;
    if (!KindOf(config_.settings, endpoint.kind).limits_per_endpoint) continue;
    RouteState state;
    state.destination = endpoint.destination;
    state.endpoint = endpoint.endpoint;
    state.recovery_age = 0;
    transferred.routes.push_back(state);
  }
  return transferred;
}

}  // namespace opalroute
