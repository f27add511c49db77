#include "discovery/status_reason.h"

namespace opalroute {

const char* NameOf(StatusReason reason) {
  switch (reason) {
    case StatusReason::kList:
      return "list";
    case StatusReason::kListDraining:
      return "list drains";
    case StatusReason::kAdded:
      return "srv, own";
    case StatusReason::kNotNamed:
      return "srv names others";
    case StatusReason::kStandby:
      return "srv: standby";
    case StatusReason::kNotOffered:
      return "srv: not offered";
    case StatusReason::kRetained:
      return "held";
    case StatusReason::kReturning:
      return "srv: returning";
  }
  return "";
}

}  // namespace opalroute
