// What all parts of the decision module share: settings, clock, random draws and the list of actions.
#pragma once

#include <utility>
#include <vector>

#include "decision/random.h"
#include "opalroute/actions.h"
#include "opalroute/settings.h"
#include "opalroute/types.h"

namespace opalroute::decision {

// One for each router; the parts keep a reference to it.
struct DecisionContext {
  explicit DecisionContext(const Settings& settings);

  // Appends an action of the event that is being handled.
  template <typename T>
  void Emit(T&& action) {
    actions->emplace_back(std::forward<T>(action));
  }

  const Settings settings;
  Random random;
  Seconds now = 0;                         // of the event that is being handled
  std::vector<Action>* actions = nullptr;  // of the event that is being handled
  double share_count;                      // relays that limits and budgets are divided by; 1 or more
};

}  // namespace opalroute::decision
