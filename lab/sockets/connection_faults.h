// Draws the faults of one endpoint connection: calls that get no response, and connections that the endpoint
// closes while they are idle.
#pragma once

#include <optional>
#include <pcg_random.hpp>

#include "lab/scenario.h"

namespace opalroute::lab {

class ConnectionFaults {
 public:
  enum class CallFault {
    kNone,
    kClosed,  // the connection is closed in place of a response
    kReset,   // the same, with a reset
    kSilent   // no response, and the connection stays open
  };

  ConnectionFaults(const ConnectionFaultPlan& plan, pcg32& random) : plan_(plan), random_(random) {}

  // The fault of a call that has just arrived.
  CallFault DrawCallFault();
  // A response was written. Returns after which time, in seconds, the connection is closed if it is idle.
  std::optional<Seconds> DrawIdleClose();

 private:
  const ConnectionFaultPlan& plan_;
  pcg32& random_;
};

// Whether endpoints withdraw the message with this number. The same for each of its attempts.
bool IsWithdrawn(const WithdrawalPlan& plan, std::uint64_t message);

}  // namespace opalroute::lab
