#include "decision/upstream.h"

namespace opalroute::decision {

void Endpoint::SetLatestInObjective(bool in_objective) {
  untried = false;
  latest_in_objective = in_objective;
}

}  // namespace opalroute::decision
