#include "decision/upstream.h"

namespace opalroute::decision {

void Endpoint::RecordOutcome(bool within_objective) {
  untried = false;
  latest_within_objective = within_objective;
}

}  // namespace opalroute::decision
