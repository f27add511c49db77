// What all relays together say of each zone. Each relay's latest report counts, a later one in place of an
// earlier, and fades; the verdict is a pure function of the reports, so whoever has the same says the same.
// docs/zones.md has the options that were weighed.
#pragma once

#include <cstdint>
#include <vector>

#include "membership/message.h"
#include "zone_failover/zone_health_observer.h"

namespace opalroute::zone_failover {

// One relay's report of one zone; ages as it was made.
struct ZoneReport {
  std::uint32_t succeeded = 0, failed = 0, observed = 0;  // as Sight has them
  Seconds success_age = kMaxAge, failure_age = kMaxAge;
  FaultKind fault{};
  static constexpr Seconds kMaxAge = 3;  // what is older is not told

  // Its latest word is that calls are not served, or that they are. Neither: it has seen nothing of late.
  bool ReportsFailure(Seconds fresh, Seconds older) const {
    return failed != 0 && failure_age + older < fresh && failure_age <= success_age;
  }
  bool ReportsSuccess(Seconds fresh, Seconds older) const {
    return succeeded != 0 && success_age + older < fresh && success_age < failure_age;
  }
};
using Report = std::vector<ZoneReport>;  // by zone

struct ZoneView {  // of one zone, from all fresh reports
  int failure_reporters = 0, success_reporters = 0;
  int failure_reports = 0;  // of accusers: each names so many partners
  int failed_destinations = 0, succeeded_destinations = 0,
      destinations = 0;  // of those that can be told apart
  FaultKind fault{};     // of most accusers
};

class ZoneConsensus {
 public:
  struct Options {
    Seconds success_lifetime = 1;       // a call that was served counts for so long from when it was sent ...
    Seconds failure_lifetime = 1.5;     // ... and one that was not from when that was known
    double quorum = 0.25;               // of the tier's parts, and one more, must accuse ...
    int max_quorum = 20;                // ... though no more than this
    double contradiction_share = 0.25;  // vouchers over accusers, from which on nothing is agreed
    double min_failed_share = 0.6;      // of the zone's partners that were seen must fail
    int min_failed_destinations = 2;    // and so many, ...
    int min_failure_reports = 6;        // on so many words
    double control_share = 0.25;   // of the accusers: so many relays must be served in one other zone, ...
    Seconds control_window = 1.5;  // ... within this
    double control_success_ratio = 1.5;  // vouchers over accusers that a zone has which serves as the control
  };
  ZoneConsensus(const Options& rules, int zones) : options_(rules), zones_(zones) {}

  // `seen`: when it was made at the earliest. An earlier one than that known of this relay changes nothing.
  void Add(Seconds seen, membership::Peer from, std::uint64_t life, std::uint64_t number,
           const Report& report);
  void Forget(Seconds now);
  ZoneView ViewOf(Seconds now, int zone) const;
  int QuorumOf(double parts) const;
  // The zone as a whole does not serve, though another one does: to relays whose calls there were sent
  // since `control_since`. `moved`: another zone has been left, and its load is here too.
  // `view`: of that zone, as of now.
  bool IsFailing(Seconds now, int zone, const ZoneView& view, double parts, Seconds control_since = -1e9,
                 bool moved = false) const;
  // The same relays say otherwise: at least a quarter as many as accuse it are served there.
  bool IsContradicted(const ZoneView& view) const;

 private:
  // Vouchers of that long, by reports that were made since then.
  ZoneView ViewOf(Seconds now, int zone, Seconds fresh, Seconds since) const;
  struct ReportEntry {
    membership::Peer from = 0;
    Seconds seen = 0;
    std::uint64_t life = 0, number = 0;
    Report report;
  };
  const Options options_;
  const int zones_;
  std::vector<ReportEntry> reports_;  // one a relay, in no order; read many times a second
};

}  // namespace opalroute::zone_failover
