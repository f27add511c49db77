// The due times of requests: the ends of their backoffs, and the times at which they have to be answered.
#pragma once

#include <optional>

#include "decision/request.h"

namespace opalroute::decision {

// Owns both orders by time.
class RequestTimers {
 public:
  // The request waits for the end of a backoff.
  void Delay(Request& request, Seconds until);
  void CancelDelay(const Request& request);
  void SetExpiry(Request& request, Seconds at);
  void ClearExpiry(Request& request);

  // A request whose backoff is over, once.
  std::optional<RequestId> TakeDelayed(Seconds now);
  // A request that has to be answered; the same one until its expiry is set anew or cleared.
  std::optional<RequestId> FindExpired(Seconds now) const;
  Seconds NextDue() const;  // kNever: none

 private:
  RequestLine delayed_;
  RequestLine expiries_;
};

}  // namespace opalroute::decision
