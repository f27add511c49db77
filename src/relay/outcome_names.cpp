#include "relay/outcome_names.h"

namespace opalroute {

const char* NameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kServed:
      return "served";
    case Outcome::kError:
      return "error";
    case Outcome::kRejected:
      return "rejected";
    case Outcome::kTimeout:
      return "timeout";
    case Outcome::kConnectFailed:
      return "connect_failed";
    case Outcome::kReset:
      return "reset";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotSent:
      return "not_sent";
    case Outcome::kOutOfConnections:
      return "out_of_connections";
    case Outcome::kLocalShortage:
      return "local_shortage";
  }
  return "unknown";
}

}  // namespace opalroute
