// The state that all parts of the decision library share: settings, current time, random numbers and output
// actions.
#pragma once

#include <utility>
#include <vector>

#include "decision/random.h"
#include "opalroute/actions.h"
#include "opalroute/settings.h"
#include "opalroute/types.h"

namespace opalroute::decision {

// A fleet of more relays than this counts as large: a relay has little traffic to each route, so that the
// fleet depends on gossip, and what each of its relays may do on its own adds up.
constexpr int kLargeFleet = 8;

// Each router has one; its parts keep a reference to it.
struct DecisionContext {
  explicit DecisionContext(const Settings& settings);

  bool IsLargeFleet() const { return settings.relay_count > kLargeFleet; }
  // Appends an action in response to the current event.
  template <typename T>
  void Emit(T&& action) {
    actions->emplace_back(std::forward<T>(action));
  }

  const Settings settings;
  Random random;
  Seconds now = 0;                         // time of the current event
  std::vector<Action>* actions = nullptr;  // output of the current event
  double share_count;                      // number of relays that share limits and budgets; 1 or more
};

}  // namespace opalroute::decision
