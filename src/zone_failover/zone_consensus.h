// The fleet's view of each zone, from the reports of all relays. The latest report of each relay counts and
// fades with its age. The verdict is a pure function of the reports, so relays that have the same reports
// agree. docs/zone-failover.md has the alternatives.
#pragma once

#include <cstdint>
#include <vector>

#include "membership/message.h"
#include "zone_failover/zone_health_observer.h"

namespace opalroute::zone_failover {

// One relay's report of one zone; ages as of the time of the report.
struct ZoneReport {
  static constexpr Seconds kMaxAge = 3;  // older calls are not reported

  std::uint32_t succeeded = 0;  // bits of destinations, as in ZoneObservation
  std::uint32_t failed = 0;
  std::uint32_t observed = 0;
  Seconds success_age = kMaxAge;
  Seconds failure_age = kMaxAge;
  FaultKind fault{};

  // Whether the relay's latest call into the zone failed, or succeeded, within `lifetime`, for a report that
  // is `report_age` old. Neither: it made no recent call.
  bool ReportsFailure(Seconds lifetime, Seconds report_age) const;
  bool ReportsSuccess(Seconds lifetime, Seconds report_age) const;
};

// One relay's report, by zone.
using Report = std::vector<ZoneReport>;

// One zone, from all recent reports.
struct ZoneView {
  int failure_reporters = 0;    // relays
  int success_reporters = 0;    // relays
  int failure_reports = 0;      // destinations that failure reporters name, summed up over the relays
  int failed_destinations = 0;  // of those that can be told apart
  int succeeded_destinations = 0;
  int destinations = 0;
  FaultKind fault{};  // that most failure reporters name
};

class ZoneConsensus {
 public:
  struct Options {
    Seconds success_lifetime = 1;    // a served call counts for so long after it was sent
    Seconds failure_lifetime = 1.5;  // a failed call counts for so long after the failure
    double quorum = 0.25;            // part of the share count that must report failures, plus one relay
    int max_quorum = 20;             // relays
    double contradiction_share =
        0.25;  // success reporters per failure reporter above which there is no consensus
    double min_failed_share = 0.6;  // of the zone's destinations
    int min_failed_destinations = 2;
    int min_failure_reports = 6;
    double control_share = 0.25;  // success reporters of another zone per failure reporter of this one
    Seconds control_window = 1.5;
    double control_success_ratio = 1.5;  // success reporters per failure reporter of that other zone
  };

  ZoneConsensus(const Options& options, int zones);

  // `received_at`: no earlier than the report was made. Ignored if it is not later, by incarnation and
  // sequence, than the known one of that relay.
  void AddReport(Seconds received_at, membership::Peer from, std::uint64_t incarnation,
                 std::uint64_t sequence, const Report& report);

  // Drops reports that are too old to count.
  void ExpireReports(Seconds now);

  ZoneView ViewOf(Seconds now, int zone) const;

  // Failure reporters that a verdict takes.
  int QuorumOf(double share_count) const;

  // The state of the fleet that a verdict depends on, besides the reports.
  struct FleetState {
    double share_count = 1;
    Seconds control_since = kLongAgo;        // calls of the control zone must have been sent since
    bool is_another_zone_evacuated = false;  // so that its load is on the remaining zones
  };

  // The zone as a whole fails while another zone, the control, serves. `view`: of the zone, as of `now`.
  bool IsFailing(Seconds now, int zone, const ZoneView& view, const FleetState& fleet) const;

  // Too many relays are served in the zone for a verdict against it.
  bool IsContradicted(const ZoneView& view) const;

 private:
  struct ReportEntry {
    membership::Peer from = 0;
    Seconds received_at = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    Report report;
  };

  // Counts reports received since `since`, and successes of `success_lifetime`.
  ZoneView ViewOf(Seconds now, int zone, Seconds success_lifetime, Seconds since) const;
  bool HasFailureQuorum(const ZoneView& view, double share_count) const;
  bool HasEnoughFailedDestinations(const ZoneView& view, bool is_another_zone_evacuated) const;
  bool IsAnotherZoneServing(Seconds now, int zone, const FleetState& fleet) const;

  const Options options_;
  const int zones_;
  std::vector<ReportEntry> reports_;  // one a relay, unordered; a vector, as views read all of them often
};

}  // namespace opalroute::zone_failover
