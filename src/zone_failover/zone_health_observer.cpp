#include "zone_failover/zone_health_observer.h"

#include <algorithm>
#include <cmath>

#include "decision/random.h"

namespace opalroute::zone_failover {

namespace {

constexpr Seconds kSameCall = 0.05;       // two times of sending that are one call's differ by less
constexpr double kGain = 0.2;             // of the newest time of a call
constexpr std::size_t kMostOut = 64;      // calls watched for silence, an endpoint
constexpr std::size_t kMostHeld = 20000;  // endpoints; then those at rest are dropped

std::uint32_t BitOf(DestinationId destination) {
  return 1U << Random(static_cast<std::uint64_t>(destination)).Below(kDestinationBits);
}

FaultKind WrongOf(Outcome outcome) {
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
    case Outcome::kOutOfConnections:  // its table is full: it is there
      break;
  }
  return FaultKind::kNone;
}

}  // namespace

const char* NameOf(FaultKind wrong) {
  constexpr const char* kNames[] = {"none", "turned away", "refused", "broken", "silent", "slow"};
  return kNames[static_cast<int>(wrong)];
}

void ZoneHealthObserver::OnSent(Seconds now, int zone, DestinationId destination, EndpointId endpoint) {
  if (endpoints_.size() > kMostHeld)
    for (auto it = endpoints_.begin(); it != endpoints_.end();)
      it = it->second.in_flight.empty() ? endpoints_.erase(it) : std::next(it);
  Endpoint& e = endpoints_[endpoint];
  e.zone = zone;
  e.destination = destination;
  if (e.in_flight.size() < kMostOut) e.in_flight.push_back(now);
}

void ZoneHealthObserver::OnEnded(Seconds now, int zone, DestinationId destination, EndpointId endpoint,
                                 Outcome outcome, Seconds duration) {
  const auto it = endpoints_.find(endpoint);
  const Seconds sent = now - duration;
  Seconds usual = 0;
  if (it != endpoints_.end()) {
    Endpoint& e = it->second;
    const auto nearest =
        std::min_element(e.in_flight.begin(), e.in_flight.end(),
                         [sent](Seconds a, Seconds b) { return std::abs(a - sent) < std::abs(b - sent); });
    const bool known = nearest != e.in_flight.end() && std::abs(*nearest - sent) < kSameCall;
    if (known) e.in_flight.erase(nearest);
    if (!known && outcome == Outcome::kTimeout) return;  // its silence has counted already
    usual = e.latency;
    if (outcome == Outcome::kServed && (usual <= 0 || duration < options_.slow_factor * usual))
      for (Seconds* mean : {&e.latency, &latency_})
        *mean = *mean > 0 ? *mean + kGain * (duration - *mean) : duration;
  }
  if (outcome == Outcome::kServed)
    return Record(now, zone, destination, sent,
                  usual > 0 && duration > options_.slow_factor * usual ? FaultKind::kSlow : FaultKind::kNone);
  const FaultKind wrong = WrongOf(outcome);
  if (wrong != FaultKind::kNone) Record(now, zone, destination, sent, wrong);
}

void ZoneHealthObserver::Tick(Seconds now) {
  for (auto& [id, e] : endpoints_) {
    const Seconds usual = e.latency > 0 ? e.latency : latency_;
    const Seconds longest = usual > 0 ? options_.timeout_factor * usual : options_.default_latency;
    const auto late = std::remove_if(e.in_flight.begin(), e.in_flight.end(),
                                     [&](Seconds sent) { return now - sent > longest; });
    if (late == e.in_flight.end()) continue;
    const Seconds sent = *std::max_element(late, e.in_flight.end());
    e.in_flight.erase(late, e.in_flight.end());
    Record(now, e.zone, e.destination, sent, FaultKind::kTimeout);
  }
}

// A call that was served says that all was well when it was sent; one that was not, that it isn't now.
void ZoneHealthObserver::Record(Seconds now, int zone, DestinationId destination, Seconds sent,
                                FaultKind wrong) {
  if (zone < 0 || zone >= zones()) return;
  Zone& z = zones_[static_cast<std::size_t>(zone)];
  Latest& latest = z.latest[destination];
  if (wrong == FaultKind::kNone) {
    latest.last_success = std::max(latest.last_success, sent);
    if (sent >= latest.at) latest = {true, sent, latest.last_success};
    z.success_at = std::max(z.success_at, sent);
  } else {
    latest = {false, now, latest.last_success};
    z.failure_at = now;
    z.fault = wrong;
  }
}

ZoneObservation ZoneHealthObserver::Observe(Seconds now, int zone) const {
  const Zone& z = zones_[static_cast<std::size_t>(zone)];
  ZoneObservation sight{0, 0, 0, z.success_at, z.failure_at, z.fault};
  for (const auto& [destination, latest] : z.latest) {
    const std::uint32_t bit = BitOf(destination);
    // Only since this relay was last served there: where calls fail by chance, none of it adds up.
    if (!latest.succeeded && latest.at > std::max(now - options_.failure_lifetime, z.success_at))
      sight.failed |= bit;
    if (latest.succeeded && latest.at > now - options_.success_lifetime) sight.succeeded |= bit;
    if (latest.last_success > now - options_.destination_lifetime) sight.observed |= bit;
  }
  sight.succeeded &= ~sight.failed;
  return sight;
}

}  // namespace opalroute::zone_failover
