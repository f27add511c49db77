#include "zone_failover/zone_consensus.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace opalroute::zone_failover {

namespace {

int BitsOf(std::uint32_t bits) { return __builtin_popcount(bits); }

}  // namespace

void ZoneConsensus::Add(Seconds seen, membership::Peer from, std::uint64_t life, std::uint64_t number,
                        const Report& report) {
  if (report.size() != static_cast<std::size_t>(zones_)) return;
  auto kept =
      std::find_if(reports_.begin(), reports_.end(), [from](const ReportEntry& k) { return k.from == from; });
  if (kept == reports_.end()) kept = reports_.insert(kept, ReportEntry{from, 0, 0, 0, {}});
  if (std::tie(life, number) > std::tie(kept->life, kept->number)) *kept = {from, seen, life, number, report};
}

// What is as old as this says nothing of anything any more. Danger: the number of one that is forgotten is
// forgotten too: a replay would count. Notes are checked before.
void ZoneConsensus::Forget(Seconds now) {
  const Seconds oldest = now - ZoneReport::kMaxAge;
  reports_.erase(std::remove_if(reports_.begin(), reports_.end(),
                                [oldest](const ReportEntry& kept) { return kept.seen < oldest; }),
                 reports_.end());
}

ZoneView ZoneConsensus::ViewOf(Seconds now, int zone) const {
  return ViewOf(now, zone, options_.success_lifetime, -1e9);
}

ZoneView ZoneConsensus::ViewOf(Seconds now, int zone, Seconds fresh, Seconds since) const {
  ZoneView view;
  std::uint32_t bad = 0, good = 0, served = 0, seen = 0;
  int by_wrong[6] = {};
  for (const ReportEntry& kept : reports_) {
    const ZoneReport& r = kept.report[static_cast<std::size_t>(zone)];
    const Seconds older = now - kept.seen;
    if (kept.seen < since) continue;
    if (older < ZoneReport::kMaxAge) seen |= r.observed;
    if (r.success_age + older < options_.success_lifetime) served |= r.succeeded;
    if (r.ReportsFailure(options_.failure_lifetime, older)) {
      ++view.failure_reporters;
      view.failure_reports += BitsOf(r.failed);
      ++by_wrong[static_cast<int>(r.fault)];
      bad |= r.failed;
    } else if (r.ReportsSuccess(fresh, older)) {
      ++view.success_reporters;
      good |= r.succeeded;
    }
  }
  view.fault = static_cast<FaultKind>(std::max_element(std::begin(by_wrong), std::end(by_wrong)) - by_wrong);
  // Danger: where calls fail by chance, or are turned away above a limit, whoever accuses has been served
  // too. A partner that anybody was served by a moment ago is not out.
  good |= served;
  view.succeeded_destinations = BitsOf(good);
  view.failed_destinations = BitsOf(bad & ~good);
  view.destinations = BitsOf(seen | bad | good);
  return view;
}

int ZoneConsensus::QuorumOf(double parts) const {
  if (parts < 2) return 1;
  return std::min(1 + static_cast<int>(std::ceil(options_.quorum * parts)), options_.max_quorum);
}

bool ZoneConsensus::IsFailing(Seconds now, int zone, const ZoneView& v, double parts, Seconds control_since,
                              bool moved) const {
  if (v.failure_reporters < QuorumOf(parts) ||
      v.success_reporters > options_.contradiction_share * v.failure_reporters)
    return false;
  if (v.failed_destinations < options_.min_failed_destinations ||
      v.failure_reports < options_.min_failure_reports)
    return false;
  if (v.fault == FaultKind::kSlow) return false;  // it serves; told, not left
  // Danger: above their limits most of a zone's partners may turn all away for a while. A zone spares nobody.
  const bool away = v.fault == FaultKind::kRejected;
  if (away && v.succeeded_destinations > 0) return false;
  if (v.failed_destinations < (away && moved ? 1 : options_.min_failed_share) * v.destinations) return false;
  // Danger: an accusation lasts for longer than what is served since a stage began. Held against all accusers
  // the control came short until most had spoken anew; so it is held against those who have.
  const int spoken = ViewOf(now, zone, options_.success_lifetime, control_since).failure_reporters;
  const double enough = options_.control_share * std::max(spoken, QuorumOf(parts));
  for (int other = 0; other < zones_; ++other) {
    if (other == zone) continue;
    const ZoneView control =
        ViewOf(now, other, std::min(options_.control_window, now - control_since), control_since);
    if (control.success_reporters >= options_.control_success_ratio * control.failure_reporters &&
        control.success_reporters >= enough)
      return true;
  }
  return false;  // all at once: that is no zone's trouble
}

bool ZoneConsensus::IsContradicted(const ZoneView& v) const {
  return v.success_reporters > 0 && v.success_reporters > options_.contradiction_share * v.failure_reporters;
}

}  // namespace opalroute::zone_failover
