// Decides whether connections that have carried a call may carry another one. Where the responses of a
// connection cannot be paired with its calls, each call needs a connection of its own. No I/O; the caller
// passes the time.
#pragma once

#include <algorithm>
#include <map>

#include "opalroute/types.h"

namespace opalroute {

class ConnectionReusePolicy {
 public:
  // How long connections are not reused after a response that belonged to no call: those to the endpoint that
  // sent it, and those to all endpoints, as the cause may lie between them and this relay.
  // `doubt_suspension`: the same for an endpoint with an outcome that has come into doubt without such a
  // response.
  ConnectionReusePolicy(Seconds endpoint_suspension, Seconds general_suspension, Seconds doubt_suspension)
      : endpoint_suspension_(endpoint_suspension),
        general_suspension_(general_suspension),
        doubt_suspension_(doubt_suspension) {}

  // An endpoint has sent a response that belonged to no call. Returns whether reuse was allowed until now.
  bool OnUnmatchedResponse(Seconds now, EndpointId endpoint) {
    const bool was_allowed = MayReuse(now, endpoint);
    suspended_until_ = now + general_suspension_;
    endpoints_suspended_until_[endpoint] = now + endpoint_suspension_;
    return was_allowed;
  }
  void OnDoubtedOutcome(Seconds now, EndpointId endpoint) {
    Seconds& until = endpoints_suspended_until_[endpoint];
    until = std::max(until, now + doubt_suspension_);
  }
  bool MayReuse(Seconds now, EndpointId endpoint) const {
    if (now < suspended_until_) return false;
    const auto suspended = endpoints_suspended_until_.find(endpoint);
    return suspended == endpoints_suspended_until_.end() || now >= suspended->second;
  }
  void Forget(EndpointId endpoint) { endpoints_suspended_until_.erase(endpoint); }

 private:
  const Seconds endpoint_suspension_;
  const Seconds general_suspension_;
  const Seconds doubt_suspension_;
  Seconds suspended_until_ = 0;
  std::map<EndpointId, Seconds> endpoints_suspended_until_;
};

}  // namespace opalroute
