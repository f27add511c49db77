// What all relays together say of each zone. Each relay's latest report counts, a later one in place of an
// earlier, and fades; the verdict is a pure function of the reports, so whoever has the same says the same.
// docs/zones.md has the options that were weighed.
#pragma once

#include <cstdint>
#include <vector>

#include "tier/note.h"
#include "zones/evidence.h"

namespace opalroute::zones {

// One relay's report of one zone; ages as it was made.
struct ZoneReport {
  std::uint32_t good = 0, bad = 0, seen = 0;  // as Sight has them
  Seconds good_age = kLongestReported, bad_age = kLongestReported;
  Wrong wrong{};
  static constexpr Seconds kLongestReported = 3;  // what is older is not told

  // Its latest word is that calls are not served, or that they are. Neither: it has seen nothing of late.
  bool Accuses(Seconds fresh, Seconds older) const {
    return bad != 0 && bad_age + older < fresh && bad_age <= good_age;
  }
  bool Vouches(Seconds fresh, Seconds older) const {
    return good != 0 && good_age + older < fresh && good_age < bad_age;
  }
};
using Report = std::vector<ZoneReport>;  // by zone

struct View {  // of one zone, from all fresh reports
  int accusers = 0, vouchers = 0;
  int words = 0;                                          // of accusers: each names so many partners
  int bad_partners = 0, good_partners = 0, partners = 0;  // of those that can be told apart
  Wrong wrong{};                                          // of most accusers
};

class Agreement {
 public:
  struct Rules {
    Seconds fresh = 1;          // a call that was served counts for so long from when it was sent ...
    Seconds bad_for = 1.5;      // ... and one that was not from when that was known
    double quorum = 0.25;       // of the tier's parts, and one more, must accuse ...
    int most_quorum = 20;       // ... though no more than this
    double against = 0.25;      // vouchers over accusers, from which on nothing is agreed
    double partners = 0.6;      // of the zone's partners that were seen must fail
    int least_partners = 2;     // and so many, ...
    int least_words = 6;        // on so many words
    double control = 0.25;      // of the accusers: so many relays must be served in one other zone, ...
    Seconds control_for = 1.5;  // ... within this
    double well = 1.5;          // vouchers over accusers that a zone has which serves as the control
  };
  Agreement(const Rules& rules, int zones) : rules_(rules), zones_(zones) {}

  // `seen`: when it was made at the earliest. An earlier one than that known of this relay changes nothing.
  void Add(Seconds seen, tier::Peer from, std::uint64_t life, std::uint64_t number, const Report& report);
  void Forget(Seconds now);
  View Of(Seconds now, int zone) const;
  int QuorumOf(double parts) const;
  // The zone as a whole does not serve, though another one does: to relays whose calls there were sent
  // since `control_since`. `moved`: another zone has been left, and its load is here too.
  // `view`: of that zone, as of now.
  bool Failing(Seconds now, int zone, const View& view, double parts, Seconds control_since = -1e9,
               bool moved = false) const;
  // The same relays say otherwise: at least a quarter as many as accuse it are served there.
  bool Contradicted(const View& view) const;

 private:
  // Vouchers of that long, by reports that were made since then.
  View Of(Seconds now, int zone, Seconds fresh, Seconds since) const;
  struct Kept {
    tier::Peer from = 0;
    Seconds seen = 0;
    std::uint64_t life = 0, number = 0;
    Report report;
  };
  const Rules rules_;
  const int zones_;
  std::vector<Kept> reports_;  // one a relay, in no order; read many times a second
};

}  // namespace opalroute::zones
