#include "zone_failover/zone_consensus.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace opalroute::zone_failover {

namespace {

int CountBits(std::uint32_t bits) { return __builtin_popcount(bits); }

}  // namespace

bool ZoneReport::ReportsFailure(Seconds lifetime, Seconds report_age) const {
  return failed != 0 && failure_age + report_age < lifetime && failure_age <= success_age;
}

bool ZoneReport::ReportsSuccess(Seconds lifetime, Seconds report_age) const {
  return succeeded != 0 && success_age + report_age < lifetime && success_age < failure_age;
}

ZoneConsensus::ZoneConsensus(const Options& options, int zones) : options_(options), zones_(zones) {}

void ZoneConsensus::AddReport(Seconds received_at, membership::Peer from, std::uint64_t incarnation,
                              std::uint64_t sequence, const Report& report) {
  if (report.size() != static_cast<std::size_t>(zones_)) return;
  auto entry = std::find_if(reports_.begin(), reports_.end(),
                            [from](const ReportEntry& known) { return known.from == from; });
  if (entry == reports_.end()) entry = reports_.insert(entry, ReportEntry{from, 0, 0, 0, {}});
  if (std::tie(incarnation, sequence) <= std::tie(entry->incarnation, entry->sequence)) return;
  *entry = {from, received_at, incarnation, sequence, report};
}

// The sequence of an expired report is dropped with it, so a replay would count. But membership rejects
// replays before they get here.
void ZoneConsensus::ExpireReports(Seconds now) {
  const Seconds oldest = now - ZoneReport::kMaxAge;
  reports_.erase(std::remove_if(reports_.begin(), reports_.end(),
                                [oldest](const ReportEntry& entry) { return entry.received_at < oldest; }),
                 reports_.end());
}

ZoneView ZoneConsensus::ViewOf(Seconds now, int zone) const {
  return ViewOf(now, zone, options_.success_lifetime, kLongAgo);
}

ZoneView ZoneConsensus::ViewOf(Seconds now, int zone, Seconds success_lifetime, Seconds since) const {
  ZoneView view;
  std::uint32_t failed = 0;
  std::uint32_t succeeded = 0;
  std::uint32_t observed = 0;
  int reporters_by_fault[kFaultKinds] = {};
  for (const ReportEntry& entry : reports_) {
    const ZoneReport& report = entry.report[static_cast<std::size_t>(zone)];
    const Seconds age = now - entry.received_at;
    if (entry.received_at < since) continue;
    if (age < ZoneReport::kMaxAge) observed |= report.observed;
    // Where calls fail at random or are rejected above a limit, failure reporters also have calls that were
    // served. A destination that has just served any relay does not count as failed.
    if (report.success_age + age < options_.success_lifetime) succeeded |= report.succeeded;
    if (report.ReportsFailure(options_.failure_lifetime, age)) {
      ++view.failure_reporters;
      view.failure_reports += CountBits(report.failed);
      ++reporters_by_fault[static_cast<int>(report.fault)];
      failed |= report.failed;
    } else if (report.ReportsSuccess(success_lifetime, age)) {
      ++view.success_reporters;
      succeeded |= report.succeeded;
    }
  }
  const int* const most_frequent =
      std::max_element(std::begin(reporters_by_fault), std::end(reporters_by_fault));
  view.fault = static_cast<FaultKind>(most_frequent - reporters_by_fault);
  view.succeeded_destinations = CountBits(succeeded);
  view.failed_destinations = CountBits(failed & ~succeeded);
  view.destinations = CountBits(observed | failed | succeeded);
  return view;
}

int ZoneConsensus::QuorumOf(double share_count) const {
  if (share_count < 2) return 1;
  return std::min(1 + static_cast<int>(std::ceil(options_.quorum * share_count)), options_.max_quorum);
}

bool ZoneConsensus::HasFailureQuorum(const ZoneView& view, double share_count) const {
  return view.failure_reporters >= QuorumOf(share_count) &&
         view.success_reporters <= options_.contradiction_share * view.failure_reporters;
}

bool ZoneConsensus::HasEnoughFailedDestinations(const ZoneView& view,
                                                bool is_another_zone_out_of_service) const {
  if (view.failed_destinations < options_.min_failed_destinations) return false;
  if (view.failure_reports < options_.min_failure_reports) return false;
  // Most destinations of a healthy zone may be above their limits and reject everything for a while. So
  // rejections count as the zone's failure only if none of its destinations serves.
  const bool is_rejecting = view.fault == FaultKind::kRejected;
  if (is_rejecting && view.succeeded_destinations > 0) return false;
  const double min_share = is_rejecting && is_another_zone_out_of_service ? 1 : options_.min_failed_share;
  return view.failed_destinations >= min_share * view.destinations;
}

bool ZoneConsensus::IsFailing(Seconds now, int zone, const ZoneView& view, const FleetState& fleet) const {
  if (view.fault == FaultKind::kSlow) return false;  // a slow zone still serves
  return HasFailureQuorum(view, fleet.share_count) &&
         HasEnoughFailedDestinations(view, fleet.is_another_zone_out_of_service) &&
         IsAnotherZoneServing(now, zone, fleet);
}

// False if all zones fail at once: then the cause is not this zone.
bool ZoneConsensus::IsAnotherZoneServing(Seconds now, int zone, const FleetState& fleet) const {
  // A failure report counts for longer than the successes since `control_since`. So the control's success
  // reporters are compared only with the relays that have reported a failure since then.
  const int failure_reporters =
      ViewOf(now, zone, options_.success_lifetime, fleet.control_since).failure_reporters;
  const double min_success_reporters =
      options_.control_share * std::max(failure_reporters, QuorumOf(fleet.share_count));
  const Seconds success_lifetime = std::min(options_.control_window, now - fleet.control_since);
  for (int other = 0; other < zones_; ++other) {
    if (other == zone) continue;
    const ZoneView control = ViewOf(now, other, success_lifetime, fleet.control_since);
    if (control.success_reporters >= options_.control_success_ratio * control.failure_reporters &&
        control.success_reporters >= min_success_reporters) {
      return true;
    }
  }
  return false;
}

bool ZoneConsensus::IsContradicted(const ZoneView& view) const {
  return view.success_reporters > 0 &&
         view.success_reporters > options_.contradiction_share * view.failure_reporters;
}

}  // namespace opalroute::zone_failover
