// Accepts clients' requests: checks them against what the relay holds and serves, records them, and hands
// them to the decisions.
#pragma once

#include <cstdint>
#include <functional>

#include "config/config.h"
#include "ingress/request_listener.h"
#include "metrics/counters.h"
#include "relay/decision_loop.h"
#include "relay/endpoint_table.h"
#include "relay/request_table.h"
#include "relay/upstream_calls.h"

namespace opalroute {

class RequestIntake : public RequestHandler {
 public:
  struct Parts {
    const Config& config;
    Counters& counters;
    const EndpointTable& endpoints;
    RequestTable& requests;
    DecisionLoop& decisions;
    UpstreamCalls& calls;
  };
  // `ready`: whether the relay may be put to use.
  RequestIntake(const Parts& parts, std::function<bool()> ready);

  AcceptResult Accept(ClientRequest&& request, std::uint64_t& ticket) override;
  void Abort(std::uint64_t ticket) override;
  bool Ready() const override { return ready_(); }

  // Discovery's list has come: destinations that it does not name are unknown from now on.
  void SetListCurrent() { list_is_current_ = true; }
  // New requests are rejected from now on; repeats of accepted ones still get their answer.
  void StopAccepting() { accepting_ = false; }

 private:
  const Parts parts_;
  const std::function<bool()> ready_;
  bool list_is_current_ = false;
  bool accepting_ = true;
};

}  // namespace opalroute
