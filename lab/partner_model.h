// The partner of the state transfer experiment: one route, and a record of the calls and of the rules that
// relays broke towards it. No I/O; the caller passes the time.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "lab/route_model.h"

namespace opalroute::lab {

struct PartnerSettings {
  RouteSettings route;
  Seconds outage_from = 0, outage_to = 0;  // all calls are rejected; outage_to 0: no outage
  std::uint64_t seed = 1;
};

class PartnerModel {
 public:
  explicit PartnerModel(const PartnerSettings& settings);

  struct Response {
    int status = 200;         // 200, 429 with a Retry-After, or 503
    Seconds retry_after = 0;  // 0: none
    Seconds delay = 0;        // until it is sent
  };
  // A relay's call with one message, when its last byte has arrived.
  Response HandleCall(Seconds now, int relay, const std::string& message, bool non_idempotent);

  struct Call {
    Seconds at;
    int relay;
    int status;
    // When the earliest Retry-After still in force was sent, to any relay; 0: none is in force.
    Seconds retry_after_since;
  };
  enum class BreachKind { kDuringRetryAfter, kCollapse, kRanTwice };
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
  struct RetryAfter {
    int relay;
    Seconds from, until;
  };
  Seconds CheckRetryAfter(Seconds now, int relay, const std::string& message);

  RouteModel route_;
  std::vector<Call> calls_;
  std::vector<Breach> breaches_;
  std::vector<RetryAfter> retry_afters_;
  std::set<std::string> ran_;  // the non-idempotent messages that ran
};

}  // namespace opalroute::lab
