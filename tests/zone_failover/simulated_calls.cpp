#include "tests/zone_failover/simulated_calls.h"

#include <utility>

#include "lab/draw.h"

namespace opalroute {

namespace {

// Probability that a health-check relay makes a call that would go into the evacuated zone.
constexpr double kHealthCheckProbability = 0.2;

}  // namespace

zone_failover::FailoverOptions FailoverOptionsFor(int fleet_size) {
  zone_failover::FailoverOptions options;
  options.membership.fleet_size = fleet_size;
  options.zones = kZones;
  options.evacuation.slow_start_duration = 4;
  return options;
}

CallResult FailedCall(Outcome outcome) { return {outcome, outcome == Outcome::kTimeout ? 3 : 0.02}; }

SimulatedCalls::SimulatedCalls(SimulatedFleet& fleet, double rate, Response response)
    : fleet_(fleet), rate_(rate), response_(std::move(response)) {}

void SimulatedCalls::RunUntil(Seconds until) {
  fleet_.RunUntil(until, [this] { Step(); });
}

EndpointId SimulatedCalls::EndpointOf(int destination, int zone) {
  return static_cast<EndpointId>(destination * kZones + zone + 1);
}

void SimulatedCalls::Step() {
  EndDueCalls();
  for (int relay = 0; relay < fleet_.size(); ++relay) {
    if (!fleet_.IsRunning(relay)) continue;
    double expected_calls = rate_ * zone_failover::ZoneFailover::kTickInterval;
    for (; lab::DrawUniform(fleet_.random()) < expected_calls; expected_calls -= 1) Call(relay);
  }
}

void SimulatedCalls::EndDueCalls() {
  while (!in_flight_.empty() && in_flight_.begin()->first <= fleet_.now) {
    const InFlight call = in_flight_.begin()->second;
    in_flight_.erase(in_flight_.begin());
    if (!fleet_.IsRunning(call.relay) || &fleet_[call.relay] != call.caller) continue;
    call.caller->OnEnded(fleet_.now, call.zone, call.destination, EndpointOf(call.destination, call.zone),
                         call.result.outcome, call.result.duration);
  }
}

void SimulatedCalls::Call(int relay) {
  const int destination = fleet_.UniformBelow(kDestinations);
  const int zone = fleet_.UniformBelow(kZones);
  const ZoneTrafficShare& share = fleet_.TrafficShareOf(relay, zone);
  const double probability = share.is_health_check_relay ? kHealthCheckProbability : share.traffic_share;
  if (lab::DrawUniform(fleet_.random()) >= probability) return;
  ++calls_by_zone[zone];
  const CallResult result = response_(relay, destination, zone);
  fleet_[relay].OnSent(fleet_.now, zone, destination, EndpointOf(destination, zone));
  in_flight_.emplace(fleet_.now + result.duration,
                     InFlight{relay, destination, zone, &fleet_[relay], result});
}

int CountInPhase(SimulatedFleet& fleet, int zone, zone_failover::EvacuationPhase phase) {
  int count = 0;
  for (int relay = 0; relay < fleet.size(); ++relay) {
    count += fleet.IsUp(relay) && fleet[relay].StateOf(zone).phase == phase;
  }
  return count;
}

}  // namespace opalroute
