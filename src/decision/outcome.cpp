#include "decision/outcome.h"

namespace opalroute::decision {

bool ProvesNeverRan(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kNotSent || outcome == Outcome::kOutOfConnections ||
         outcome == Outcome::kLocalShortage;
}

bool MayStillBeRunning(Outcome outcome) {
  return outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled;
}

bool IsRetriedImmediately(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kTimeout || outcome == Outcome::kNotSent ||
         outcome == Outcome::kCancelled;
}

bool IsInconclusive(Outcome outcome) {
  return outcome == Outcome::kCancelled || outcome == Outcome::kNotSent || outcome == Outcome::kLocalShortage;
}

}  // namespace opalroute::decision
