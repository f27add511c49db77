#include "relay/retry_after_sharing.h"

#include <cmath>
#include <cstdint>
#include <map>
#include <utility>

namespace opalroute {
namespace {

constexpr double kMicrosPerSecond = 1e6;

// Identifies an endpoint with limits of its own in both processes, whose endpoint numbers differ.
struct EndpointKey {
  DestinationId destination = 0;
  std::uint32_t name_hash = 0;
  bool operator<(const EndpointKey& other) const {
    return destination != other.destination ? destination < other.destination : name_hash < other.name_hash;
  }
};

}  // namespace

RetryAfterSharing::RetryAfterSharing(const Config& config, const PersistentClock& clock,
                                     const EndpointTable& endpoints, DecisionLoop& decisions,
                                     int own_process_slot, int other_process_slot)
    : config_(config),
      clock_(clock),
      endpoints_(endpoints),
      decisions_(decisions),
      table_(config.state_folder, own_process_slot, other_process_slot, config.limits.shared_retry_afters) {}

void RetryAfterSharing::Publish(EndpointId id, Seconds retry_after) {
  const EndpointTable::Endpoint& endpoint = endpoints_.At(id);
  const bool has_own_limits = KindOf(config_.settings, endpoint.kind).limits_per_endpoint;
  const double duration_us = (retry_after + config_.settings.tick) * kMicrosPerSecond;
  hot_restart::SharedRetryAfter shared;
  shared.destination = endpoint.destination;
  shared.name_hash = has_own_limits ? endpoint.listed_endpoint.name_hash : 0;
  shared.until = clock_.Micros() + static_cast<std::int64_t>(std::ceil(duration_us));
  table_.Publish(shared);
}

void RetryAfterSharing::ApplyIfChanged() {
  if (table_.HasChanges()) Apply();
}

void RetryAfterSharing::Apply() {
  const std::int64_t now = clock_.Micros();
  const std::vector<hot_restart::SharedRetryAfter> active = table_.Active(now);
  if (active.empty()) return;
  decisions_.Post(StateOf(active, now));
}

TransferredState RetryAfterSharing::StateOf(const std::vector<hot_restart::SharedRetryAfter>& active,
                                            std::int64_t now) const {
  std::map<EndpointKey, EndpointId> listed;
  for (const EndpointId id : endpoints_.Listed()) {
    const EndpointTable::Endpoint& endpoint = endpoints_.At(id);
    listed[{endpoint.destination, endpoint.listed_endpoint.name_hash}] = id;
  }
  TransferredState transferred;
  for (const hot_restart::SharedRetryAfter& shared : active) {
    RouteState state;
    state.destination = shared.destination;
    state.retry_after = static_cast<double>(shared.until - now) / kMicrosPerSecond;
    if (shared.name_hash != 0) {
      const auto endpoint = listed.find({shared.destination, shared.name_hash});
      if (endpoint == listed.end()) continue;
      state.endpoint = endpoint->second;
    }
    transferred.routes.push_back(state);
  }
  return transferred;
}

}  // namespace opalroute
