#include "zone_failover/zone_health_observer.h"

#include <algorithm>
#include <cmath>

#include "decision/random.h"

namespace opalroute::zone_failover {

namespace {

// Largest difference between the time of a call's OnSent and the one that OnEnded computes from its duration.
constexpr Seconds kSameCallTolerance = 0.05;
constexpr double kLatencyGain = 0.2;          // weight of the latest call in the moving average
constexpr std::size_t kMaxInFlight = 64;      // calls per endpoint that are watched for a timeout
constexpr std::size_t kMaxEndpoints = 20000;  // above this, endpoints without calls in flight are dropped

std::uint32_t BitOf(DestinationId destination) {
  return 1U << decision::Random(static_cast<std::uint64_t>(destination)).UniformBelow(kDestinationBits);
}

FaultKind FaultOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRejected:
      return FaultKind::kRejected;
    case Outcome::kConnectFailed:
      return FaultKind::kConnectFailed;
    case Outcome::kError:
    case Outcome::kReset:
      return FaultKind::kReset;
    case Outcome::kTimeout:
      return FaultKind::kTimeout;
    case Outcome::kServed:
    case Outcome::kCancelled:
    case Outcome::kNotSent:
    case Outcome::kLocalShortage:
    case Outcome::kOutOfConnections:  // the endpoint is up, but its connection table is full
      break;
  }
  return FaultKind::kNone;
}

// Removes the call that was sent at about `sent`. Returns false if there is none.
bool RemoveCall(std::vector<Seconds>& in_flight, Seconds sent) {
  const auto nearest = std::min_element(in_flight.begin(), in_flight.end(), [sent](Seconds a, Seconds b) {
    return std::abs(a - sent) < std::abs(b - sent);
  });
  if (nearest == in_flight.end() || std::abs(*nearest - sent) >= kSameCallTolerance) return false;
  in_flight.erase(nearest);
  return true;
}

}  // namespace

const char* NameOf(FaultKind fault) {
  constexpr const char* kNames[kFaultKinds] = {"none", "turned away", "refused", "broken", "silent", "slow"};
  return kNames[static_cast<int>(fault)];
}

ZoneHealthObserver::ZoneHealthObserver(const Options& options, int zones)
    : options_(options), zones_(static_cast<std::size_t>(zones)) {}

void ZoneHealthObserver::DropIdleEndpoints() {
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    it = it->second.in_flight.empty() ? endpoints_.erase(it) : std::next(it);
  }
}

void ZoneHealthObserver::OnSent(Seconds now, int zone, DestinationId destination, EndpointId endpoint) {
  if (endpoints_.size() > kMaxEndpoints) DropIdleEndpoints();
  Endpoint& entry = endpoints_[endpoint];
  entry.zone = zone;
  entry.destination = destination;
  if (entry.in_flight.size() < kMaxInFlight) entry.in_flight.push_back(now);
}

void ZoneHealthObserver::OnEnded(Seconds now, int zone, DestinationId destination, EndpointId endpoint,
                                 Outcome outcome, Seconds duration) {
  const auto it = endpoints_.find(endpoint);
  const Seconds sent = now - duration;
  bool is_slow = false;
  if (it != endpoints_.end()) {
    Endpoint& entry = it->second;
    const bool was_in_flight = RemoveCall(entry.in_flight, sent);
    if (!was_in_flight && outcome == Outcome::kTimeout) return;
    is_slow = entry.mean_latency > 0 && duration > options_.slow_factor * entry.mean_latency;
    const bool is_typical = entry.mean_latency <= 0 || duration < options_.slow_factor * entry.mean_latency;
    if (outcome == Outcome::kServed && is_typical) UpdateLatency(entry, duration);
  }
  if (outcome == Outcome::kServed && !is_slow) return RecordSuccess(zone, destination, sent);
  const FaultKind fault = is_slow && outcome == Outcome::kServed ? FaultKind::kSlow : FaultOf(outcome);
  if (fault != FaultKind::kNone) RecordFailure(now, zone, destination, fault);
}

void ZoneHealthObserver::UpdateLatency(Endpoint& endpoint, Seconds duration) {
  for (Seconds* mean : {&endpoint.mean_latency, &mean_latency_}) {
    *mean = *mean > 0 ? *mean + kLatencyGain * (duration - *mean) : duration;
  }
}

void ZoneHealthObserver::Tick(Seconds now) {
  for (auto& [id, entry] : endpoints_) {
    const Seconds mean_latency = entry.mean_latency > 0 ? entry.mean_latency : mean_latency_;
    const Seconds timeout =
        mean_latency > 0 ? options_.timeout_factor * mean_latency : options_.default_timeout;
    const auto timed_out = std::remove_if(entry.in_flight.begin(), entry.in_flight.end(),
                                          [&](Seconds sent) { return now - sent > timeout; });
    if (timed_out == entry.in_flight.end()) continue;
    entry.in_flight.erase(timed_out, entry.in_flight.end());
    RecordFailure(now, entry.zone, entry.destination, FaultKind::kTimeout);
  }
}

// A success shows that the endpoint was healthy when the call was sent, so it counts from that time.
void ZoneHealthObserver::RecordSuccess(int zone, DestinationId destination, Seconds sent) {
  if (!IsValidZone(zone)) return;
  Zone& entry = zones_[static_cast<std::size_t>(zone)];
  LatestCall& latest = entry.latest[destination];
  latest.success_at = std::max(latest.success_at, sent);
  if (sent >= latest.at) {
    latest.succeeded = true;
    latest.at = sent;
  }
  entry.success_at = std::max(entry.success_at, sent);
}

// A failure shows that the endpoint is unhealthy now, so it counts from the present.
void ZoneHealthObserver::RecordFailure(Seconds now, int zone, DestinationId destination, FaultKind fault) {
  if (!IsValidZone(zone)) return;
  Zone& entry = zones_[static_cast<std::size_t>(zone)];
  LatestCall& latest = entry.latest[destination];
  latest.succeeded = false;
  latest.at = now;
  entry.failure_at = now;
  entry.fault = fault;
}

ZoneObservation ZoneHealthObserver::Observe(Seconds now, int zone) const {
  const Zone& entry = zones_[static_cast<std::size_t>(zone)];
  ZoneObservation observation{0, 0, 0, entry.success_at, entry.failure_at, entry.fault};
  // Only failures since this relay's last success in the zone count. Otherwise random failures would add up.
  const Seconds failed_since = std::max(now - options_.failure_lifetime, entry.success_at);
  for (const auto& [destination, latest] : entry.latest) {
    const std::uint32_t bit = BitOf(destination);
    if (!latest.succeeded && latest.at > failed_since) observation.failed |= bit;
    if (latest.succeeded && latest.at > now - options_.success_lifetime) observation.succeeded |= bit;
    if (latest.success_at > now - options_.destination_lifetime) observation.observed |= bit;
  }
  observation.succeeded &= ~observation.failed;
  return observation;
}

}  // namespace opalroute::zone_failover
