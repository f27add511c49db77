#include "decision/upstream.h"

namespace opalroute::decision {

void Endpoint::RecordOutcome(bool in_objective) {
  untried = false;
  latest_within_objective = in_objective;
}

}  // namespace opalroute::decision
