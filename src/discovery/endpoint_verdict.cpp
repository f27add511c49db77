#include "discovery/endpoint_verdict.h"

namespace opalroute {

const char* NameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kList:
      return "list";
    case Verdict::kListDraining:
      return "list drains";
    case Verdict::kAdded:
      return "srv, own";
    case Verdict::kAbsent:
      return "srv names others";
    case Verdict::kStandby:
      return "srv: standby";
    case Verdict::kNotOffered:
      return "srv: not offered";
    case Verdict::kRetained:
      return "held";
    case Verdict::kReturning:
      return "srv: returning";
  }
  return "";
}

}  // namespace opalroute
