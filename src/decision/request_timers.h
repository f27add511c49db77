// The due times of requests: when a backoff ends, and when a request expires.
#pragma once

#include <optional>

#include "decision/request.h"

namespace opalroute::decision {

// Owns the delayed requests and the expiries, both ordered by time.
class RequestTimers {
 public:
  // Delays the request for a backoff that ends at `until`.
  void Delay(Request& request, Seconds until);
  void CancelDelay(const Request& request);
  void SetExpiry(Request& request, Seconds at);
  void ClearExpiry(Request& request);

  // Removes a request whose backoff has ended and returns it; nothing if there is none.
  std::optional<RequestId> TakeEndedBackoff(Seconds now);
  // A request that has expired. Stays the same until its expiry is set again or cleared.
  std::optional<RequestId> FindExpired(Seconds now) const;
  Seconds NextDue() const;  // kNever: none

 private:
  RequestsByTime delayed_;
  RequestsByTime expiries_;
};

}  // namespace opalroute::decision
