#include "zone_failover/report_scheduler.h"

#include <algorithm>

namespace opalroute::zone_failover {

namespace {

constexpr double kBurst = 2;                 // reports that may be sent at once
constexpr double kMinReportRate = 1.0 / 60;  // reports per second and relay
constexpr double kMaxReportRate = 4;         // reports per second and relay

// A failure report is redundant once this many quorums of relays have reported failures.
constexpr int kSufficientQuorums = 3;

// Any report is redundant once the success reporters exceed the consensus's contradiction share by this
// factor.
constexpr double kSufficientContradiction = 2;

}  // namespace

ReportScheduler::ReportScheduler(const FailoverOptions& options, std::uint64_t seed, Seconds now,
                                 const ZoneHealthObserver& observer, const ZoneConsensus& consensus,
                                 const ZoneEvacuation& evacuation)
    : options_(options),
      observer_(observer),
      consensus_(consensus),
      evacuation_(evacuation),
      random_(seed),
      zones_(static_cast<std::size_t>(options.zones)),
      budget_{kBurst, now},
      urgent_budget_{kBurst, now} {}

void ReportScheduler::UpdateSuspicion(Seconds now, int zone, const ZoneView& view) {
  Zone& entry = At(zone);
  const bool is_suspected =
      view.failure_reporters > 0 || evacuation_.StateOf(zone).phase == EvacuationPhase::kEvacuating;
  if (is_suspected && !entry.is_suspected) entry.suspected_at = now;
  entry.is_suspected = is_suspected;
}

// The new state is gossiped so that relays which have not reached it themselves adopt it. kEvacuating is not
// yet a decision, so it is not gossiped separately.
void ReportScheduler::OnLocalStateChange(int zone) {
  const bool is_decided = evacuation_.StateOf(zone).phase != EvacuationPhase::kEvacuating;
  At(zone).confirmations = is_decided ? std::optional(0) : std::nullopt;
}

void ReportScheduler::OnAdoptedState(int zone) { At(zone).confirmations.reset(); }

void ReportScheduler::OnConfirmedState(int zone) {
  std::optional<int>& confirmations = At(zone).confirmations;
  if (confirmations && ++*confirmations >= options_.sufficient_confirmations) confirmations.reset();
}

bool ReportScheduler::AreAllZonesHealthy(Seconds now) const {
  for (int zone = 0; zone < options_.zones; ++zone) {
    if (evacuation_.StateOf(zone).phase != EvacuationPhase::kInService) return false;
    if (At(zone).is_suspected || observer_.Observe(now, zone).failed != 0) return false;
  }
  return true;
}

bool ReportScheduler::TakeDueReport(Seconds now) {
  if (next_report_at_ == decision::kNever) {
    if (!HasAnythingToReport(now)) return false;
    next_report_at_ = now + options_.report_delay * random_.Uniform();
  }
  if (now < next_report_at_ || !RefillAndCheckBudgets(now)) return false;
  next_report_at_ = decision::kNever;
  if (IsRedundant(now) && !HasStateToGossip()) return false;
  if (!budget_.TryTake()) urgent_budget_.TryTake();
  MarkReported(now);
  return true;
}

void ReportScheduler::MarkReported(Seconds now) {
  for (int zone = 0; zone < options_.zones; ++zone) {
    const ZoneObservation observation = observer_.Observe(now, zone);
    At(zone).reported_at = std::max(observation.success_at, observation.failure_at);
    At(zone).confirmations.reset();
  }
}

bool ReportScheduler::HasStateToGossip() const {
  return std::any_of(zones_.begin(), zones_.end(),
                     [](const Zone& zone) { return zone.confirmations.has_value(); });
}

bool ReportScheduler::HasAnythingToReport(Seconds now) const {
  if (HasStateToGossip()) return true;
  for (int zone = 0; zone < options_.zones; ++zone) {
    if (HasUnreportedCalls(now, zone)) return true;
  }
  return false;
}

// Failures are worth reporting until the zone is evacuated. Successes are worth reporting while the zone is
// suspected, if the calls were sent since the suspicion began.
bool ReportScheduler::HasUnreportedCalls(Seconds now, int zone) const {
  const Zone& entry = At(zone);
  const ZoneObservation observation = observer_.Observe(now, zone);
  if (observation.ReportsFailure()) {
    return observation.failure_at > entry.reported_at &&
           evacuation_.StateOf(zone).phase != EvacuationPhase::kEvacuated;
  }
  return entry.is_suspected && observation.succeeded != 0 &&
         observation.success_at > std::max(entry.suspected_at, entry.reported_at);
}

// Whether other relays have reported enough for a verdict on every zone of which this relay has unreported
// calls. Where destinations are at their limits some relays report failures all the time, so a few reports of
// either kind must suffice.
bool ReportScheduler::IsRedundant(Seconds now) const {
  for (int zone = 0; zone < options_.zones; ++zone) {
    if (!HasUnreportedCalls(now, zone)) continue;
    const ZoneView view = consensus_.ViewOf(now, zone);
    const bool is_contradicted =
        view.success_reporters >
        options_.consensus.contradiction_share * kSufficientContradiction * view.failure_reporters;
    if (is_contradicted) continue;
    const bool is_confirmed = view.failure_reporters >= kSufficientQuorums * Quorum() &&
                              observer_.Observe(now, zone).ReportsFailure();
    if (!is_confirmed) return false;
  }
  return true;
}

int ReportScheduler::Quorum() const { return consensus_.QuorumOf(options_.membership.fleet_size); }

// Whether the fleet is deciding on a zone, or is about to.
bool ReportScheduler::IsUrgent(Seconds now) const {
  if (HasStateToGossip()) return true;
  for (int zone = 0; zone < options_.zones; ++zone) {
    const EvacuationPhase phase = evacuation_.StateOf(zone).phase;
    if (phase == EvacuationPhase::kEvacuating) return true;
    if (phase != EvacuationPhase::kEvacuated && HasUnreportedCalls(now, zone) &&
        2 * consensus_.ViewOf(now, zone).failure_reporters >= Quorum()) {
      return true;
    }
  }
  return false;
}

// Urgent reports have a separate budget. Where some relays report failures all the time, the other reports
// would otherwise use up the budget that is needed when the zone fails.
bool ReportScheduler::RefillAndCheckBudgets(Seconds now) {
  const double rate = std::clamp(options_.reports_per_second / options_.membership.fleet_size, kMinReportRate,
                                 kMaxReportRate);
  budget_.Refill(now, rate, kBurst);
  urgent_budget_.Refill(now, options_.urgent_reports_per_second, kBurst);
  return budget_.tokens >= 1 || (urgent_budget_.tokens >= 1 && IsUrgent(now));
}

}  // namespace opalroute::zone_failover
