// Hedged requests: their budget at one destination, and which requests may be hedged.
#pragma once

#include "decision/never.h"
#include "decision/request.h"
#include "opalroute/settings.h"

namespace opalroute::decision {

struct Endpoint;

// Counts first sends and hedged requests of one destination; hedging is disabled after a rejection.
class HedgingBudget {
 public:
  void CountFirstSend() { ++first_sends_; }
  // Whether one more hedged request stays within the budget.
  bool AllowsAnother() const;
  void CountHedged() { ++hedged_; }
  // After a rejection, until a request is served.
  void Disable(Seconds now);
  void Enable() { disabled_ = false; }
  // Another relay disabled hedging at `disabled_at`.
  void MergeDisabled(Seconds disabled_at);

  bool disabled() const { return disabled_; }
  Seconds disabled_at() const { return disabled_at_; }

 private:
  long first_sends_ = 0;
  long hedged_ = 0;
  bool disabled_ = false;
  Seconds disabled_at_ = -kNever;
};

// Whether a second attempt at `second` may run beside the one just sent to `first`.
bool MayHedge(const Request& request, const Endpoint& first, const Endpoint& second,
              const Settings& settings);

}  // namespace opalroute::decision
