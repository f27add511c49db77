// The stages of leaving a zone and of returning to it. Pure. A stage is ordered by its round and, within the
// round, by its step: whoever hears of a later one takes it over, so notes may be lost, doubled or out of
// order.
//
//   in -> leaving -> out -> returning -> in      a question (leaving) begins a new round, and so does out
//            \-> in (contradicted, or never agreed)
// Danger: who was frozen or cut off while others agreed withdraws the question that they have answered. As
// out begins a round, no withdrawal is later than it. By hand: `leave` brings it to out, and there it stays,
// untried, until the order ends; `keep` lets it return and holds it in.
#pragma once

#include <cstdint>
#include <vector>

#include "tier/note.h"
#include "zones/agreement.h"
#include "zones/orders.h"

namespace opalroute::zones {

enum class Step { kLeaving, kOut, kReturning, kIn };  // in their order within a round
const char* NameOf(Step step);

struct Stage {
  std::uint64_t round = 0;
  Step step = Step::kIn;
  int relapses = 0;   // in a row
  Seconds since = 0;  // as a time of the own clock
  bool Before(const Stage& other) const {
    return round != other.round ? round < other.round : step < other.step;
  }
};

struct StageRules {
  Seconds agreed_for = 0.15;   // a zone is being left once it has been agreed for so long
  Seconds leaving = 0.5;       // and left once it has still been agreed after that
  Seconds undecided = 2;       // being left for longer, it is in again
  double leaving_share = 0.5;  // of the ordinary sends meanwhile
  Seconds least_out = 1;       // before a return; doubled with each relapse in a row ...
  Seconds most_out = 16;       // ... up to this
  Seconds served_for = 1;      // scouts are served for so long before the return
  int scouts = 3;
  double cold_from = 0.22;  // the settings' figures of endpoints that come back
  Seconds ramp = 13;
  Seconds calm = 60;  // in for so long, its relapses are forgotten
};

// What the decision module is told.
struct Order {
  double share = 1;    // of the ordinary sends; 0: none while there is another zone
  bool scout = false;  // this relay tries it
  bool operator==(const Order& o) const { return share == o.share && scout == o.scout; }
};

class Stages {
 public:
  Stages(const StageRules& rules, int zones, tier::Peer own);

  // What others say, or what was kept over a restart. True: it was later, and is taken over.
  bool Hear(Seconds now, int zone, const Stage& stage);
  // What is so by now.
  struct Facts {
    bool failing = false;       // agreed
    bool contradicted = false;  // by as many as it takes
    Sight own;
    std::vector<tier::Peer> live;
    ByHand order{};  // of the operators, in force
  };
  // True: the stage has changed.
  bool Tick(Seconds now, int zone, const Facts& facts);
  const Stage& Of(int zone) const { return zones_[static_cast<std::size_t>(zone)].stage; }
  Order OrderFor(Seconds now, int zone) const;

 private:
  struct Zone {
    Stage stage;
    Seconds failing_since = -1;  // below 0: it is not
    bool scout = false;
    // Out: the first call of this relay that was served since, with none that was not after it; below 0:
    // none.
    Seconds served_since = -1;
  };
  bool Serves(Zone& zone, const Sight& own) const;
  void Enter(Seconds now, Zone& zone, std::uint64_t round, Step step, int relapses);
  bool Leaves(Seconds now, Zone& zone, const Facts& facts);
  bool Obey(Seconds now, Zone& zone, ByHand order);

  const StageRules rules_;
  const tier::Peer own_;
  std::vector<Zone> zones_;
};

// The scouts of a zone in a round: those of the live tier that rank first (rendezvous hashing).
std::vector<tier::Peer> ScoutsOf(const std::vector<tier::Peer>& live, int zone, std::uint64_t round,
                                 int scouts);

}  // namespace opalroute::zones
