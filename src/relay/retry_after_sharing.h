// Shares Retry-After times with the other process of this relay during a hot restart. Endpoints see the two
// as one relay, so a Retry-After sent to one process applies to both.
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

  // Publishes a Retry-After that an endpoint has sent to this process, in seconds from now.
  void Publish(EndpointId endpoint, Seconds retry_after);
  // Calls Apply if the other process has published a time since the last call.
  void ApplyIfChanged();
  // Posts all Retry-After times in force to the decision module. Also needed after a list update, since a
  // time may belong to an endpoint that was unknown before.
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
