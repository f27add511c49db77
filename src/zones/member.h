// One relay as a member of its tier: who is there, what all say of the zones, and what follows for the
// decision module. Puts the parts of src/tier and src/zones together; pure, so the laboratory plays hundreds
// of them.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "parts.h"
#include "tier/tier.h"
#include "zones/agreement.h"
#include "zones/codec.h"
#include "zones/evidence.h"
#include "zones/orders.h"
#include "zones/stages.h"

namespace opalroute::zones {

constexpr tier::Peer kAll = -1;

struct MemberRules {
  tier::Rules tier;
  Evidence::Rules evidence;
  Agreement::Rules agreement;
  StageRules stages;
  int zones = 1;
  bool shares = true;            // the module's parts follow the tier's size
  bool leave = true;             // zones are left together
  Seconds heed = 0.15;           // a report waits up to this, and does not go if others have said enough
  int told_stage = 3;            // a new stage: so many others have told it
  double reports_a_second = 20;  // of the whole tier, in the mean, while nothing is in question; and ...
  double urgent_a_second = 0.2;  // ... of each relay beyond that, once half a quorum accuses a zone
  Seconds grow_every = 0.5;      // parts grow no more often; they fall at once
  Seconds join_time = 0.3;       // a process that starts waits so long for the first word
};

class Member {
 public:
  struct Change {  // of a zone's stage
    int zone = 0;
    Stage before, now;
    View view;
    bool heard = false;  // taken over from another relay
  };
  struct Ordered {  // by an operator, here or elsewhere
    int zone = 0;
    HandOrder order;
    bool heard = false;
  };
  struct Do {
    std::vector<std::pair<tier::Peer, std::string>> notes;  // to kAll: to every other one
    std::vector<opalroute::Event> events;                   // for the decision module
    std::vector<Change> changes;
    std::vector<Ordered> orders;
  };

  // What an earlier process of this relay left: stages with ages, and orders with what was left of them; by
  // zone, or nothing.
  struct Kept {
    std::vector<Stage> stages;
    std::vector<HandOrder> orders;
  };
  Member(const MemberRules& rules, std::uint64_t life, std::uint64_t seed, Seconds now,
         const Kept& kept = {});

  void Sent(Seconds now, int zone, DestinationId destination, EndpointId endpoint) {
    evidence_.Sent(now, zone, destination, endpoint);
  }
  void Ended(Seconds now, int zone, DestinationId destination, EndpointId endpoint, Outcome outcome,
             Seconds duration) {
    evidence_.Ended(now, zone, destination, endpoint, outcome, duration);
  }
  // False: these bytes are none of the tier's.
  bool Take(Seconds now, tier::Peer from, std::string_view bytes, Do& out);
  void Refused(Seconds now, tier::Peer peer) { tier_.Refused(now, peer); }
  // To be called every `kTick`.
  void Tick(Seconds now, Do& out);
  void Leave(Do& out);
  // An operator's order to this relay: it is told to all. False: zones are not left together here, or there
  // is no such zone.
  bool Order(Seconds now, int zone, ByHand what, Seconds lasts, Do& out);

  // Word has come, or none will: clients may be let in.
  bool Joined(Seconds now) const;
  const tier::Tier& tier() const { return tier_; }
  const Stage& StageOf(int zone) const { return stages_.Of(zone); }
  View ViewOf(Seconds now, int zone) const { return agreement_.Of(now, zone); }
  zones::Order OrderFor(Seconds now, int zone) const { return stages_.OrderFor(now, zone); }
  const HandOrder& HandOrderOf(int zone) const { return orders_.Of(zone); }
  ByHand InForce(Seconds now, int zone) const { return orders_.InForce(now, zone); }
  int zones() const { return rules_.zones; }
  Kept Keep(Seconds now) const;  // for the next process

  static constexpr Seconds kTick = 0.05;

 private:
  static constexpr double kBurst = 2;  // reports that may go at once
  struct Zone {
    Seconds reported = -1e9;  // the newest sight that has been told
    Seconds accused = -1e9;   // since then others accuse it, or it is being left
    bool is_accused = false;
    // Of the stage that this relay has come to by itself: others that were heard to be in it; or nothing to
    // tell.
    std::optional<int> also_there;
    zones::Order told;
  };
  Said Say(Seconds now, bool report) const;
  Report OwnReport(Seconds now) const;
  void Write(Seconds now, std::vector<tier::Tier::Out>& notes, Do& out);
  bool IsAnotherLeft(int zone) const;
  bool HasNews(Seconds now, int zone) const;
  bool SaidEnough(Seconds now) const;
  bool HasStage() const;
  bool IsUrgent(Seconds now) const;
  bool MayReport(Seconds now);
  bool IsQuiet(Seconds now) const;
  void ReportIfDue(Seconds now, Do& out);
  void TellModule(Seconds now, Do& out);
  void Hear(Seconds now, const Said& said, Do& out);
  void TellAll(Seconds now, Do& out);
  std::vector<Stage> StagesByAge(Seconds now) const;

  const MemberRules rules_;
  const std::uint64_t life_;
  const Seconds started_;
  Random random_;
  tier::Tier tier_;
  Evidence evidence_;
  Agreement agreement_;
  Stages stages_;
  Orders orders_;
  std::vector<Zone> zones_;
  TokenBucket bucket_{kBurst, 0}, urgent_{kBurst, 0};  // for reports
  Seconds report_at_ = kNever;
  std::uint64_t own_reports_ = 0;
  double parts_told_ = 0;
  Seconds parts_told_at_ = -1e9;
};

}  // namespace opalroute::zones
