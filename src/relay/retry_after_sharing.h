// Shares Retry-After times with the other process of this relay: the two count as one, and what an endpoint
// has asked of either binds both.
#pragma once

#include <vector>

#include "config/config.h"
#include "hot_restart/shared_retry_after.h"
#include "journal/persistent_clock.h"
#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"

namespace opalroute {

class RetryAfterSharing {
 public:
  // Throws std::system_error if the state folder can't be used.
  RetryAfterSharing(const Config& config, const PersistentClock& clock, const EndpointTable& endpoints,
                    DecisionLoop& decisions, int own_process_slot, int other_process_slot);

  // An endpoint has asked this process to wait for so long, in seconds.
  void Publish(EndpointId endpoint, Seconds retry_after);
  // Hands the other process's times to the decisions, if it has written any since the last call.
  void ApplyIfChanged();
  // The same in any case: endpoints may be known by now that were not.
  void Apply();

 private:
  TransferredState StateOf(const std::vector<hot_restart::SharedRetryAfter>& active, std::int64_t now) const;

  const Config& config_;
  const PersistentClock& clock_;
  const EndpointTable& endpoints_;
  DecisionLoop& decisions_;
  hot_restart::SharedRetryAfterTable table_;
};

}  // namespace opalroute
