#include "decision/context.h"

#include <algorithm>

namespace opalroute::decision {

DecisionContext::DecisionContext(const Settings& settings)
    : settings(settings), random(settings.seed), share_count(std::max(1, settings.relay_count)) {}

}  // namespace opalroute::decision
