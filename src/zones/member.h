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
  double reports_a_second = 20;  // of the whole tier, in the mean
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
  struct Do {
    std::vector<std::pair<tier::Peer, std::string>> notes;  // to kAll: to every other one
    std::vector<opalroute::Event> events;                   // for the decision module
    std::vector<Change> changes;
  };

  // `kept`: the stages as an earlier process of this relay left them, with ages; none: nothing is known.
  Member(const MemberRules& rules, std::uint64_t life, std::uint64_t seed, Seconds now,
         const std::vector<Stage>& kept = {});

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

  // Word has come, or none will: clients may be let in.
  bool Joined(Seconds now) const;
  const tier::Tier& tier() const { return tier_; }
  const Stage& StageOf(int zone) const { return stages_.Of(zone); }
  View ViewOf(Seconds now, int zone) const { return agreement_.Of(now, zone); }
  Order OrderFor(Seconds now, int zone) const { return stages_.OrderFor(now, zone); }
  int zones() const { return rules_.zones; }
  std::vector<Stage> Keep(Seconds now) const;  // for the next process, with ages

  static constexpr Seconds kTick = 0.05;

 private:
  struct Zone {
    Seconds reported = -1e9;  // the newest sight that has been told
    Seconds accused = -1e9;   // since then others accuse it, or it is being left
    bool is_accused = false;
    Order told;
  };
  Said Say(Seconds now, bool report) const;
  Report OwnReport(Seconds now) const;
  void Write(Seconds now, std::vector<tier::Tier::Out>& notes, Do& out);
  bool HasNews(Seconds now, int zone) const;
  bool SaidEnough(Seconds now) const;
  bool IsQuiet(Seconds now) const;
  void ReportIfDue(Seconds now, Do& out);
  void TellModule(Seconds now, Do& out);
  void Hear(Seconds now, const Said& said, Do& out);

  const MemberRules rules_;
  const std::uint64_t life_;
  const Seconds started_;
  Random random_;
  tier::Tier tier_;
  Evidence evidence_;
  Agreement agreement_;
  Stages stages_;
  std::vector<Zone> zones_;
  TokenBucket bucket_{2, 0};
  Seconds report_at_ = kNever;
  std::uint64_t own_reports_ = 0;
  double parts_told_ = 0;
  Seconds parts_told_at_ = -1e9;
};

}  // namespace opalroute::zones
