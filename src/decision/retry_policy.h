// Decides whether, where and when a request may be sent again, and how long an attempt may take.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "decision/context.h"
#include "decision/endpoint_table.h"
#include "decision/latency_estimator.h"
#include "decision/request.h"

namespace opalroute::decision {

// The endpoints that the next attempt may go to, and the time before which its first byte must be sent.
struct AttemptBounds {
  EndpointScope scope;
  Seconds send_deadline = kNever;
};

// Whether all attempts of a request of this class that may run or have run must be in one zone.
bool IsBoundToZone(const RequestClass& request_class);

// Has no state of its own: reads a request, its class and the expected latencies.
class RetryPolicy {
 public:
  RetryPolicy(DecisionContext& context, EndpointTable& table, const LatencyEstimator& latency);

  // The bounds set by earlier attempts that may have run; nothing if no further attempt is allowed.
  std::optional<AttemptBounds> Bounds(const Request& request) const;
  // Whether an attempt that has not been sent yet may still be sent at `now`, by what is known of the
  // request's other attempts.
  bool MayStillSend(const Request& request, std::size_t attempt, Seconds now) const;
  // Whether another attempt may be made now.
  bool MayAttempt(const Request& request, const std::optional<AttemptBounds>& bounds) const;
  // Whether the client can repeat the request without doubling an effect of it.
  bool MayReject(const Request& request) const;
  // When the request is given up: at its deadline while an attempt is in flight, otherwise as soon as it
  // could no longer be served in time.
  Seconds Expiry(const Request& request) const;
  // Whether an attempt has to be the first call of its connection. A repeated or delayed response of another
  // request would prove that a non-idempotent one never ran, and it would be sent again; and it would put a
  // request in doubt over and over.
  bool RequiresNewConnection(const Request& request) const;
  // Whether there is time for a retry after an attempt has ended.
  bool MayRetry(const Request& request) const;
  // Whether one more call may carry the request now, while earlier ones are open at endpoints.
  bool MayOpenAnotherCall(const Request& request) const;
  // The end of the backoff before the next attempt, with random jitter.
  Seconds RandomBackoffEnd(const Request& request, Outcome last);
  // When an attempt that is sent now times out, in a call with this BatchLatencyFactor(). 0: it has no
  // timeout but the deadline of the request.
  Seconds TimeoutAt(const Request& request, const Endpoint& endpoint, double latency_factor) const;

 private:
  // The bounds set by `attempts`, which may run or have run, in the order in which they were sent.
  std::optional<AttemptBounds> BoundsSetBy(const std::vector<const Attempt*>& attempts,
                                           const Request& request) const;

  DecisionContext& context_;
  EndpointTable& table_;
  const LatencyEstimator& latency_;
};

}  // namespace opalroute::decision
