// Hedged requests: the budget of a destination, and which requests may be hedged.
#pragma once

#include "decision/never.h"
#include "decision/request.h"
#include "opalroute/settings.h"

namespace opalroute::decision {

struct Endpoint;

// Counts the first sends and hedged requests of one destination, and whether hedging is disabled there.
class HedgingBudget {
 public:
  void CountFirstSend() { ++first_sends_; }
  // Whether the budget allows one more hedged request.
  bool AllowsAnother() const;
  void CountHedged() { ++hedged_; }
  // Disables hedging after a rejection, until a request is served.
  void Disable(Seconds now);
  void Enable() { disabled_ = false; }
  // Disables hedging because another relay did so at `disabled_at`; no effect if it is disabled already.
  void MergeDisabled(Seconds disabled_at);

  bool disabled() const { return disabled_; }
  Seconds disabled_at() const { return disabled_at_; }

 private:
  long first_sends_ = 0;
  long hedged_ = 0;
  bool disabled_ = false;
  Seconds disabled_at_ = -kNever;
};

// Whether the request may be hedged with an attempt at `second`, right after its attempt at `first` was sent.
bool MayHedge(const Request& request, const Endpoint& first, const Endpoint& second,
              const Settings& settings);

}  // namespace opalroute::decision
