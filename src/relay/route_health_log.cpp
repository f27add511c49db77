#include "relay/route_health_log.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

#include "log/log.h"

namespace opalroute {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr double kMillisecondsPerSecond = 1000;
constexpr Seconds kMaxAge = 1e8;  // also of what has never happened

const char* NameOf(RouteCondition condition) {
  switch (condition) {
    case RouteCondition::kServing:
      return "serving";
    case RouteCondition::kFaulty:
      return "faulty";
    case RouteCondition::kSuspected:
      return "suspected";
    case RouteCondition::kSlowStart:
      return "slow_start";
  }
  return "unknown";
}

const char* NameOf(RouteHealthCause cause) {
  switch (cause) {
    case RouteHealthCause::kServed:
      return "served";
    case RouteHealthCause::kRejected:
      return "rejected";
    case RouteHealthCause::kFailed:
      return "failed";
    case RouteHealthCause::kStalled:
      return "no_responses";
    case RouteHealthCause::kElapsed:
      return "elapsed";
    case RouteHealthCause::kGossip:
      return "gossip";
    case RouteHealthCause::kTransfer:
      return "state_transfer";
    case RouteHealthCause::kRecovered:
      return "state_folder";
    case RouteHealthCause::kZone:
      return "zone";
  }
  return "unknown";
}

bool IsInRecovery(RouteCondition condition) {
  return condition == RouteCondition::kSuspected || condition == RouteCondition::kSlowStart;
}

Seconds AgeOf(std::int64_t since, std::int64_t now) {
  return static_cast<double>(std::max<std::int64_t>(0, now - since)) / static_cast<double>(kMicrosPerSecond);
}

}  // namespace

RouteHealthLog::RouteHealthLog(const Config& config, const PersistentClock& clock,
                               const EndpointTable& endpoints, DecisionLoop& decisions, Counters& counters,
                               int own_process_slot, int other_process_slot)
    : clock_(clock),
      endpoints_(endpoints),
      decisions_(decisions),
      counters_(counters),
      file_(config.state_folder, own_process_slot, other_process_slot, config.limits.saved_route_healths),
      line_limiter_(config.limits.route_health_log_lines) {}

void RouteHealthLog::Record(const RouteHealthChanged& change) {
  Save(change);
  if (change.condition == RouteCondition::kSuspected) ++counters_.suspected_outages;
  if (change.condition == RouteCondition::kSlowStart) ++counters_.slow_starts;
  if (change.cause == RouteHealthCause::kRecovered) ++counters_.recovered_route_healths;
  WriteLogLine(change);
}

void RouteHealthLog::Save(const RouteHealthChanged& change) {
  hot_restart::SavedRouteHealth saved;
  saved.destination = change.destination;
  saved.name_hash = change.endpoint != 0 ? endpoints_.At(change.endpoint).listed_endpoint.name_hash : 0;
  saved.condition = change.condition;
  saved.circuit_open = change.circuit_open;
  saved.faults = change.faults;
  saved.written = clock_.Micros();
  const Seconds age = std::max(0.0, change.age);
  saved.since = saved.written - std::llround(std::min(age, kMaxAge) * kMicrosPerSecond);
  if (!file_.Save(saved)) ++counters_.journal_failures;
}

void RouteHealthLog::Recover() {
  const std::vector<hot_restart::SavedRouteHealth> saved = file_.NotServing();
  if (saved.empty()) return;
  std::map<std::pair<DestinationId, std::uint32_t>, EndpointId> listed;
  for (const EndpointId id : endpoints_.Listed()) {
    const EndpointTable::Endpoint& endpoint = endpoints_.At(id);
    listed[{endpoint.destination, endpoint.listed_endpoint.name_hash}] = id;
  }
  const std::int64_t now = clock_.Micros();
  for (const hot_restart::SavedRouteHealth& health : saved) {
    RecoveredRouteHealth recovered;
    recovered.destination = health.destination;
    if (health.name_hash != 0) {
      const auto endpoint = listed.find({health.destination, health.name_hash});
      if (endpoint == listed.end()) continue;
      recovered.endpoint = endpoint->second;
    }
    recovered.condition = health.condition;
    recovered.circuit_open = health.circuit_open;
    recovered.faults = health.faults;
    recovered.age = AgeOf(health.since, now);
    decisions_.Post(recovered);
  }
}

void RouteHealthLog::WriteLogLine(const RouteHealthChanged& change) {
  const bool is_notable =
      IsInRecovery(change.condition) || IsInRecovery(change.previous) || change.circuit_open;
  if (!is_notable && !log::IsEnabled(log::Level::debug)) return;
  if (!line_limiter_.MayLog(clock_.Micros() / kMicrosPerSecond)) return;
  const log::Level level = is_notable ? log::Level::info : log::Level::debug;
  log::Write(level, "route_health",
             {{"destination", change.destination},
              {"endpoint", change.endpoint != 0 ? endpoints_.At(change.endpoint).id : ""},
              {"condition", NameOf(change.condition)},
              {"before", NameOf(change.previous)},
              {"cause", NameOf(change.cause)},
              {"faults", change.faults},
              {"circuit_open", change.circuit_open},
              {"age_ms", std::lround(std::min(change.age, kMaxAge) * kMillisecondsPerSecond)},
              {"relays", change.share_count},
              {"calls_per_second", change.calls_per_second},
              {"suppressed", line_limiter_.TakeSuppressed()}});
}

}  // namespace opalroute
