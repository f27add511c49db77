// Whether, where and when a request may be sent again, and how long an attempt may take.
#pragma once

#include <optional>

#include "decision/context.h"
#include "decision/endpoint_table.h"
#include "decision/latency_estimator.h"
#include "decision/request.h"

namespace opalroute::decision {

// Where the next attempt may go, and before when its first byte has to leave.
struct AttemptBounds {
  int zone = kAnyZone;
  Seconds until = kNever;
};

// Has no state of its own: it reads a request, its class and expected latencies.
class RetryPolicy {
 public:
  RetryPolicy(DecisionContext& context, EndpointTable& table, const LatencyEstimator& latency);

  // What earlier attempts that may have run leave open; nothing: no other attempt.
  std::optional<AttemptBounds> Bounds(const Request& request) const;
  // Whether another attempt may be made at all now.
  bool MayAttempt(const Request& request, const std::optional<AttemptBounds>& bounds) const;
  // Whether the request surely has no effect that the client's next one would double.
  bool MayReject(const Request& request) const;
  // When the request has to be answered. One that waits is answered as soon as it could no longer be served
  // in time.
  Seconds Expiry(const Request& request) const;
  // Whether there is time for a retry after an attempt has ended.
  bool MayRetry(const Request& request) const;
  // Draws the end of the backoff before the next attempt.
  Seconds DrawBackoffEnd(const Request& request, Outcome last);
  // When an attempt that leaves now times out; `stretch` is the batch's. 0: only with the request.
  Seconds TimeoutAt(const Request& request, const Endpoint& endpoint, double stretch) const;

 private:
  DecisionContext& context_;
  EndpointTable& table_;
  const LatencyEstimator& latency_;
};

}  // namespace opalroute::decision
