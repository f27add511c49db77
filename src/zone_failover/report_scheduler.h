// Decides when a relay broadcasts a report of its zones, in addition to those that membership messages carry.
// A report is due a random delay after the relay has something new to report, unless other relays have
// reported enough by then (as in the Trickle algorithm, RFC 6206) or the rate limit holds it back. Does no
// I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "decision/never.h"
#include "decision/random.h"
#include "decision/token_bucket.h"
#include "zone_failover/failover_options.h"

namespace opalroute::zone_failover {

class ReportScheduler {
 public:
  // The observer, the consensus and the evacuation must outlive the scheduler.
  ReportScheduler(const FailoverOptions& options, std::uint64_t seed, Seconds now,
                  const ZoneHealthObserver& observer, const ZoneConsensus& consensus,
                  const ZoneEvacuation& evacuation);

  // Call with the current view of a zone before ZoneEvacuation::Tick of that zone.
  void UpdateSuspicion(Seconds now, int zone, const ZoneView& view);

  // This relay has changed the state of the zone on its own decision.
  void OnLocalStateChange(int zone);

  // This relay has adopted the state of the zone from gossip.
  void OnAdoptedState(int zone);

  // Gossip from another relay has the same state of the zone as this relay.
  void OnConfirmedState(int zone);

  // Whether every zone is in service and neither this relay nor any other reports failures, so that gossip
  // needs no report.
  bool AreAllZonesHealthy(Seconds now) const;

  // Returns whether to send a report now. If so, it is counted as sent.
  bool TakeDueReport(Seconds now);

 private:
  struct Zone {
    Seconds reported_at = kLongAgo;   // time of the latest call that has been reported
    Seconds suspected_at = kLongAgo;  // start of the latest suspicion
    bool is_suspected = false;        // some relay reports failures, or the zone is being evacuated
    // Messages that confirm a state which this relay decided on and has not gossiped; std::nullopt: no such
    // state.
    std::optional<int> confirmations;
  };

  const Zone& At(int zone) const { return zones_[static_cast<std::size_t>(zone)]; }
  Zone& At(int zone) { return zones_[static_cast<std::size_t>(zone)]; }
  bool HasStateToGossip() const;
  bool HasAnythingToReport(Seconds now) const;
  bool HasUnreportedCalls(Seconds now, int zone) const;
  bool IsRedundant(Seconds now) const;
  bool IsUrgent(Seconds now) const;
  bool RefillAndCheckBudgets(Seconds now);
  void MarkReported(Seconds now);
  int Quorum() const;

  const FailoverOptions options_;
  const ZoneHealthObserver& observer_;
  const ZoneConsensus& consensus_;
  const ZoneEvacuation& evacuation_;
  decision::Random random_;
  std::vector<Zone> zones_;
  decision::TokenBucket budget_;
  decision::TokenBucket urgent_budget_;
  Seconds next_report_at_ = decision::kNever;
};

}  // namespace opalroute::zone_failover
