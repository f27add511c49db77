// The partner of the learning experiment: one lane, and what it saw of the rules that bind relays towards it.
// Pure: the clock is handed in.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "lab/lane_model.h"

namespace opalroute::lab {

struct PartnerSettings {
  LaneSettings lane;
  Seconds shut_from = 0;  // an outage: all calls are turned away ...
  Seconds shut_to = 0;    // ... until then (0: there is none)
  std::uint64_t seed = 1;
};

class PartnerModel {
 public:
  explicit PartnerModel(const PartnerSettings& settings);

  struct Verdict {
    int status = 200;       // 200, 429 with a wait, or 503
    Seconds wait = 0;       // told
    Seconds answer_in = 0;  // seconds from now
  };
  // One call of a relay with one message, as its last byte has come.
  Verdict Take(Seconds now, int relay, const std::string& message, bool unsafe);

  struct Call {
    Seconds at;
    int relay;
    int status;
    Seconds wait_since;  // when the earliest wait still in force was told, to any relay; 0: none is
  };
  enum class BreachKind { kInWait, kCollapse, kTwice };
  struct Breach {
    Seconds at;
    int relay;
    BreachKind kind;
    std::string message;
  };
  const std::vector<Call>& calls() const { return calls_; }
  const std::vector<Breach>& breaches() const { return breaches_; }
  int Count(BreachKind kind) const;

 private:
  struct Told {
    int relay;
    Seconds from, until;
  };
  Seconds CountWait(Seconds now, int relay, const std::string& message);

  LaneModel lane_;
  std::vector<Call> calls_;
  std::vector<Breach> breaches_;
  std::vector<Told> told_;
  std::set<std::string> ran_;  // messages that may take effect only once
};

}  // namespace opalroute::lab
