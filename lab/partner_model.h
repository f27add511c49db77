// A partner as the operators describe theirs, without sockets: limit, outage, cold return, collapse, told
// waits. Pure: the clock is handed in. The rules' figures are the settings'.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace opalroute::lab {

using Seconds = double;

struct PartnerSettings {
  double capacity = 40;     // calls a second that it can do, warm
  double limit = 30;        // calls a second that it takes from all relays, warm; more are answered 'full'
  Seconds window = 1;       // over which the limit counts
  Seconds latency = 0.2;    // mean time of a call; drawn between half and one and a half of it
  Seconds shut_from = 0;    // an outage: all calls are turned away ...
  Seconds shut_to = 0;      // ... until then (0: there is none)
  double tells_wait = 0.7;  // share of the refusals that tell how long to wait
  Seconds wait = 0.5;       // told above the limit; while shut: until it opens
  double cold_from = 0.22;  // of its capacity, as it opens
  Seconds ramp = 13;        // until it is warm
  double overload_factor = 2;
  Seconds overload_for = 2;
  Seconds wait_grace = 0.1;  // calls that come this soon after a wait was told had left before
  std::uint64_t seed = 1;
};

class PartnerModel {
 public:
  explicit PartnerModel(const PartnerSettings& settings) : s_(settings), random_(settings.seed) {}

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
  bool collapsed() const { return collapsed_; }
  // Calls that it can do at that moment, a second.
  double CapacityAt(Seconds now) const;

 private:
  struct Told {
    int relay;
    Seconds from, until;
  };
  bool Shut(Seconds now) const { return s_.shut_to > 0 && now >= s_.shut_from && now < s_.shut_to; }
  void CountOverload(Seconds now, int relay);
  Seconds CountWait(Seconds now, int relay, const std::string& message);
  double Draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  const PartnerSettings s_;
  std::mt19937_64 random_;
  std::vector<Call> calls_;
  std::vector<Breach> breaches_;
  std::deque<Seconds> taken_;   // within the limit's window
  std::deque<Seconds> weight_;  // all calls since it opened, within overload_for
  std::vector<Told> told_;
  std::set<std::string> ran_;  // messages that may take effect only once
  bool collapsed_ = false;
};

}  // namespace opalroute::lab
