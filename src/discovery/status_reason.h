// The reason why a merged endpoint is or is not in service.
#pragma once

namespace opalroute {

enum class StatusReason {
  kList,          // in service: listed, and not excluded by SRV
  kListDraining,  // draining in the list
  kAdded,         // in service: named by SRV only, at an address that the operator settings assign
  kNotNamed,      // draining: SRV names other endpoints of the destination only
  kStandby,       // draining: SRV names endpoints with a better priority
  kNotOffered,    // draining: SRV says that the service is not offered
  kRetained,      // in service: excluded by SRV, but the drain limit or the last-endpoint rule keeps it
  kReturning      // draining: SRV names it again, but not yet for the return delay
};

// The text in the /pool page and in `opalroute pool`.
const char* NameOf(StatusReason reason);

}  // namespace opalroute
