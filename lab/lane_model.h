// A lane of a partner: what has one limit, one pace and one outage at a time (a destination, or one endpoint
// where routes are apart). As the operators describe theirs: limit, told waits, outages, cold return,
// collapse. Pure: the clock is handed in.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <vector>

#include "lab/draw.h"
#include "opalroute/request_router.h"

namespace opalroute::lab {

enum class TroubleKind {
  kShut,    // turns all calls away, and tells some how long it lasts
  kRefuse,  // its connections are refused
  kHang,    // takes calls and answers none
  kReset,   // breaks the connection after the call ran, by chance
  kErrors,  // calls fail after they may have run, by chance
  kSlow,    // takes so many times as long
  kSpoilt,  // calls run, and their answers are no HTTP, by chance
  kVanish   // its machine is cut off: nothing that is sent to it is answered, nor a new connection
};

// Strikes each call by chance, rather than all of them.
constexpr bool ByChance(TroubleKind kind) {
  return kind == TroubleKind::kErrors || kind == TroubleKind::kReset || kind == TroubleKind::kSpoilt;
}

struct LaneOutage {
  TroubleKind kind{};
  Seconds from = 0, to = 0;
  double chance = 1;  // of a call, where it strikes by chance
  double factor = 1;  // kSlow
};

struct LaneSettings {
  double limit = 0;    // calls a second that it takes from all relays; more are answered 'full'. 0: none
  Seconds window = 0;  // above 0: the limit is a count in each span of this length, else a plain rate
  bool refused_count = true;  // refused calls use up the limit
  double capacity = 40;       // calls a second that it can do, warm
  double tells_wait = 0.7;    // share of the refusals that tell how long to wait
  Seconds wait = 0.5;  // told above a plain rate; above a count, to the end of the span; shut, until it opens
  Seconds latency = 0.2;       // mean time of a call
  double latency_cv = 0.4;     // its coefficient of variation (log-normal)
  double cold_from = 0.22;     // of its capacity and limit, as an outage ends
  Seconds ramp = 13;           // until it is warm
  double overload_factor = 2;  // sent more than this many times what it can do ...
  Seconds overload_for = 2;    // ... for this long while cold, it falls over and stays down
  double overload_slack = 2;   // standard deviations above that left to chance
  // Calls that wait for one of its places, of which it has as many as its capacity needs; one that finds no
  // room is answered 'full'. Below 0: places without end.
  int queue = -1;
};

class LaneModel {
 public:
  LaneModel(const LaneSettings& settings, std::vector<LaneOutage> outages, std::uint64_t seed)
      : s_(settings), outages_(std::move(outages)), random_(seed) {}

  enum class Fate { kServed, kFull, kError, kReset, kHangs, kSpoilt };
  struct Verdict {
    Fate fate{};
    Seconds wait = 0;   // told
    Seconds takes = 0;  // until its answer, or its end, leaves
    bool ran = false;
    bool fell_over = false;  // by this call
  };
  // A call, or a probe, whose last byte has arrived.
  Verdict Take(Seconds now);
  bool RefusesConnections(Seconds now) const;
  bool VanishedAt(Seconds now) const;

  // Calls that it can do at that moment, a second.
  double CapacityAt(Seconds now) const;
  // Cold: back from an outage for less than the ramp.
  bool ColdAt(Seconds now) const;
  // Down, shut, silent, or failing most calls: what happens in it tells a relay of the outage.
  bool OutAt(Seconds now) const;
  bool collapsed() const { return collapsed_; }
  const LaneSettings& settings() const { return s_; }
  const std::vector<LaneOutage>& outages() const { return outages_; }

 private:
  const LaneOutage* At(Seconds now) const;
  std::optional<Seconds> OpenedAt(Seconds now) const;
  double Draw() { return DrawUniform(random_); }
  bool AboveLimit(Seconds now, double share);
  Seconds WaitToTell(Seconds now, const LaneOutage* shut);
  static bool IsOutage(const LaneOutage& outage);
  // For a call that takes so long: when it begins. None: there is no room in the queue.
  std::optional<Seconds> TakePlace(Seconds now, Seconds takes);

  const LaneSettings s_;
  const std::vector<LaneOutage> outages_;  // by time, apart from one another
  pcg32 random_;
  double tokens_ = 1, count_ = 0;
  Seconds filled_ = 0;
  std::int64_t span_ = 0;
  std::deque<Seconds> weight_;     // calls while cold, within overload_for
  std::multiset<Seconds> places_;  // when each is free
  std::deque<Seconds> begins_;     // of calls that have not begun
  bool collapsed_ = false;
};

}  // namespace opalroute::lab
