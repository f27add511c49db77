// The fleet's view of each zone, from the reports of all relays. Only the latest report of each relay counts,
// until the calls that it reports are too old. The verdict is a pure function of the reports and of
// FleetState, so relays that know the same reports agree. See docs/zone-failover.md for the alternatives.
#pragma once

#include <cstdint>
#include <vector>

#include "membership/message.h"
#include "zone_failover/zone_health_observer.h"

namespace opalroute::zone_failover {

// One relay's report of one zone. Ages are as of the time of the report.
struct ZoneReport {
  static constexpr Seconds kMaxAge = 3;  // greater ages are reported as this; an older report is dropped

  std::uint32_t succeeded = 0;  // bits of destinations, as in ZoneObservation
  std::uint32_t failed = 0;
  std::uint32_t observed = 0;
  Seconds success_age = kMaxAge;
  Seconds failure_age = kMaxAge;
  FaultKind fault{};

  // Whether the relay's latest call into the zone failed (or succeeded) less than `lifetime` ago, given that
  // the report is `report_age` old. Both are false if the relay made no recent call.
  bool ReportsFailure(Seconds lifetime, Seconds report_age) const;
  bool ReportsSuccess(Seconds lifetime, Seconds report_age) const;
};

// One relay's report, by zone.
using Report = std::vector<ZoneReport>;

// One zone, from all recent reports.
struct ZoneView {
  int failure_reporters = 0;  // relays
  int success_reporters = 0;  // relays
  int failure_reports = 0;    // failed destinations of each failure reporter, summed over the relays
  // Destinations as counted by their bits. One that failed at one relay and served another counts as
  // succeeded.
  int failed_destinations = 0;
  int succeeded_destinations = 0;
  int destinations = 0;
  FaultKind fault{};  // the one that most failure reporters name
};

class ZoneConsensus {
 public:
  struct Options {
    Seconds success_lifetime = 1;    // a served call counts for this long after it was sent
    Seconds failure_lifetime = 1.5;  // a failed call counts for this long after the failure
    double quorum = 0.25;            // fraction of the share count that must report failures, plus one relay
    int max_quorum = 20;             // relays
    // Success reporters per failure reporter above which there is no consensus.
    double contradiction_share = 0.25;
    double min_failed_share = 0.6;  // of the zone's destinations
    int min_failed_destinations = 2;
    int min_failure_reports = 6;
    // A verdict requires another zone, the control, that serves calls.
    double control_share = 0.25;  // success reporters of the control per failure reporter of the failing zone
    Seconds control_window = 1.5;  // a served call into the control counts for this long after it was sent
    double control_success_ratio = 1.5;  // success reporters per failure reporter, both of the control
  };

  ZoneConsensus(const Options& options, int zones);

  // Stores a relay's report, unless one that is the same or later by incarnation and sequence is known.
  // `received_at` is no earlier than the time of the report.
  void AddReport(Seconds received_at, membership::Peer from, std::uint64_t incarnation,
                 std::uint64_t sequence, const Report& report);

  // Drops reports that are too old to count.
  void ExpireReports(Seconds now);

  ZoneView ViewOf(Seconds now, int zone) const;

  // How many relays must report failures for a verdict.
  int QuorumOf(double share_count) const;

  // The state of the fleet that a verdict depends on, besides the reports.
  struct FleetState {
    double share_count = 1;
    Seconds control_since = kLongAgo;  // only calls into the control zone sent since then count
    // Another zone is in a phase other than kInService, so the remaining zones carry some or all of its load.
    bool is_another_zone_out_of_service = false;
  };

  // Whether the zone as a whole fails while another zone, the control, serves. `view` is the zone's as of
  // `now`.
  bool IsFailing(Seconds now, int zone, const ZoneView& view, const FleetState& fleet) const;

  // Whether too many relays report successes in the zone for a verdict against it.
  bool IsContradicted(const ZoneView& view) const;

 private:
  struct ReportEntry {
    membership::Peer from = 0;
    Seconds received_at = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    Report report;
  };

  // Counts reports received at or after `since`, and success reporters by `success_lifetime`.
  ZoneView ViewOf(Seconds now, int zone, Seconds success_lifetime, Seconds since) const;
  bool HasFailureQuorum(const ZoneView& view, double share_count) const;
  bool HasEnoughFailedDestinations(const ZoneView& view, bool is_another_zone_out_of_service) const;
  bool IsAnotherZoneServing(Seconds now, int zone, const FleetState& fleet) const;

  const Options options_;
  const int zones_;
  std::vector<ReportEntry> reports_;  // one per relay, unordered; a vector because every view reads them all
};

}  // namespace opalroute::zone_failover
