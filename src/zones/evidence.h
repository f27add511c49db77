// What one relay's own calls say of each zone: whose latest call there went well and whose did not. Partners
// are told apart, calls are not counted: a busy partner that fails is one partner. Pure.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "opalroute/rules.h"

namespace opalroute::zones {

// How a call ended that was not served; which of them most of a zone's are names its trouble.
enum class Wrong { kNone, kTurnedAway, kRefused, kBroken, kSilent, kSlow };
const char* NameOf(Wrong wrong);

constexpr int kPartnerBits = 32;  // partners are told apart by so many bits

// Of one zone, within `fresh`.
struct Sight {
  std::uint32_t good = 0, bad = 0;  // partners by the latest word of each
  std::uint32_t seen = 0;           // partners that were served within `remembered`
  Seconds good_at = -1e9;           // the latest call that was served, by when it was sent
  Seconds bad_at = -1e9;            // the latest that was not, by when that was known
  Wrong wrong{};                    // of the latest
  bool Accuses() const { return bad != 0 && bad_at >= good_at; }
};

class Evidence {
 public:
  struct Rules {
    Seconds fresh = 1;          // an older call that was served says nothing any more ...
    Seconds bad_for = 3;        // ... nor one that was not, with nothing served since
    Seconds remembered = 10;    // partners that were served here are known for so long
    double silent_after = 2.5;  // usual times of a call; still out then, it counts as silent
    double slow_after = 4;      // and served after so many as slow
    Seconds unknown = 1;        // the same where no time is known at all
  };
  Evidence(const Rules& rules, int zones) : rules_(rules), zones_(static_cast<std::size_t>(zones)) {}

  void Sent(Seconds now, int zone, DestinationId destination, EndpointId endpoint);
  // A call or probe that had been sent there so long ago. Those that say nothing of the endpoint are passed
  // over.
  void Ended(Seconds now, int zone, DestinationId destination, EndpointId endpoint, Outcome outcome,
             Seconds duration);
  // Notices what stays out too long.
  void Tick(Seconds now);
  Sight Of(Seconds now, int zone) const;
  int zones() const { return static_cast<int>(zones_.size()); }

 private:
  struct Endpoint {
    int zone = 0;
    DestinationId destination = 0;
    Seconds usual = 0;  // smoothed time of a served call
    std::vector<Seconds> out;
  };
  struct Latest {
    bool good = false;
    Seconds at = 0;
    Seconds served = -1e9;
  };
  struct Zone {
    std::unordered_map<DestinationId, Latest> latest;
    Seconds good_at = -1e9, bad_at = -1e9;
    Wrong wrong{};
  };
  void Note(Seconds now, int zone, DestinationId destination, Seconds sent, Wrong wrong);

  const Rules rules_;
  std::vector<Zone> zones_;
  std::unordered_map<EndpointId, Endpoint> endpoints_;
  Seconds usual_ = 0;  // of all
};

}  // namespace opalroute::zones
