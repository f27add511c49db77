// Accepts clients' requests: checks for repeated request ids, the destination and the capacity, records the
// request in the journal and posts it to the decision module.
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
  struct Dependencies {
    const Config& config;
    Counters& counters;
    const EndpointTable& endpoints;
    RequestTable& requests;
    DecisionLoop& decisions;
    UpstreamCalls& calls;
  };
  // `ready` returns whether the relay is ready to receive traffic.
  RequestIntake(const Dependencies& dependencies, std::function<bool()> ready);

  AcceptResult Accept(ClientRequest&& request, std::uint64_t& ticket) override;
  void Abort(std::uint64_t ticket) override;
  bool Ready() const override { return ready_(); }

  // Discovery's list has arrived: destinations that it does not name are rejected as unknown from now on.
  void SetListCurrent() { list_is_current_ = true; }
  // New requests are rejected from now on; repeats of accepted requests are still answered.
  void StopAccepting() { accepting_ = false; }

 private:
  const Dependencies dependencies_;
  const std::function<bool()> ready_;
  bool list_is_current_ = false;
  bool accepting_ = true;
};

}  // namespace opalroute
