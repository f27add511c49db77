#include "decision/idle_connections.h"

#include <utility>

#include "decision/recovery_budget.h"

namespace opalroute::decision {
namespace {

constexpr double kShortageDuration = 4;  // slow start durations for which a shortage of connections counts

}  // namespace

IdleConnections::IdleConnections(DecisionContext& context, EndpointTable& table, const ZoneTraffic& zones)
    : context_(context), table_(table), zones_(zones) {}

bool IdleConnections::MarkOutOfConnections(Endpoint& endpoint) {
  const Seconds before = std::exchange(endpoint.out_of_connections_at, context_.now);
  return context_.now - before > context_.settings.overload_window;
}

void IdleConnections::OnCallEnded(const Endpoint& endpoint) {
  const Settings& settings = context_.settings;
  if (!endpoint.in_flight_send_times.empty()) return;
  // Without gossip, a relay that holds connections does not learn that others cannot get one.
  const bool is_large_fleet_without_gossip = settings.relay_count > kLargeFleet && !settings.may_gossip;
  const bool lacks_connections =
      context_.now - endpoint.out_of_connections_at < kShortageDuration * settings.slow_start_duration;
  if (is_large_fleet_without_gossip || zones_.IsEvacuated(endpoint.zone) || lacks_connections)
    CloseAtBatchEnd(endpoint.endpoint);
}

void IdleConnections::OnBatchEnd() {
  for (const EndpointId id : std::exchange(to_close_, {})) {
    const Endpoint* endpoint = table_.FindEndpoint(id);
    if (endpoint != nullptr && endpoint->in_flight_send_times.empty())
      context_.Emit(CloseIdleConnections{id});
  }
}

}  // namespace opalroute::decision
