// Decides when a relay sends a report of its zones on its own account, besides those in membership messages.
// A report is due when the relay has something new to report, after a random delay, unless other relays have
// reported enough by then (as in the Trickle algorithm) or the rate limit holds it back. Without I/O.
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

  // To be called with the current view of a zone, before its evacuation ticks.
  void UpdateSuspicion(Seconds now, int zone, const ZoneView& view);

  // This relay has changed the state of the zone by itself.
  void OnOwnStateChange(int zone);

  // This relay has adopted the state of the zone from gossip.
  void OnAdoptedState(int zone);

  // Gossip of another relay has the own state of the zone, or a later one.
  void OnConfirmedState(int zone);

  // No zone is in question, so that gossip needs no report.
  bool IsQuiet(Seconds now) const;

  // True: a report is to be sent now, and is counted as sent.
  bool TakeDueReport(Seconds now);

 private:
  struct Zone {
    Seconds reported_at = kLongAgo;   // the newest call that has been reported
    Seconds suspected_at = kLongAgo;  // since then it is suspected
    bool is_suspected = false;        // some relay reports failures, or the zone is being evacuated
    std::optional<int>
        confirmations;  // of a state that this relay has changed to by itself; nothing: none to spread
  };

  const Zone& At(int zone) const { return zones_[static_cast<std::size_t>(zone)]; }
  Zone& At(int zone) { return zones_[static_cast<std::size_t>(zone)]; }
  bool HasStateToSpread() const;
  bool HasUnreported(Seconds now) const;
  bool HasUnreportedCalls(Seconds now, int zone) const;
  bool IsRedundant(Seconds now) const;
  bool IsUrgent(Seconds now) const;
  bool HasBudget(Seconds now);
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
