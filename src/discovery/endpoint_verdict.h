// Why a merged endpoint is, or is not, in service.
#pragma once

namespace opalroute {

enum class Verdict {
  kList,          // in service by the list, and SRV does not exclude it
  kListDraining,  // the list drains it
  kAdded,         // only SRV names it, and the operators' file has its address as the destination's own
  kAbsent,        // SRV names others of this destination, and not this one
  kStandby,       // SRV names others of a better priority
  kNotOffered,    // SRV says that the service is not offered
  kRetained,      // SRV excludes it, but too many would be drained at once, or the last one
  kReturning      // SRV names it again, not yet for long enough
};

// The text that operators are shown.
const char* NameOf(Verdict verdict);

}  // namespace opalroute
