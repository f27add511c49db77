// An event loop on a simulated clock, with the limits and the address that tests of state transfer use.
#pragma once

#include <functional>

#include "config/limits.h"
#include "lab/simulated_clock.h"
#include "net/address.h"
#include "net/event_loop.h"

namespace opalroute::state_transfer {

class ScriptedLoop {
 public:
  lab::SimulatedClock clock;
  net::EventLoop loop{clock};
  Limits limits;
  sockaddr_in any_port = *net::ParseAddress("127.0.0.1:0");  // binds to a free port

  // Runs until `done`, at most for `max_iterations`. The clock advances by 1 ms every 50 iterations.
  void RunUntil(const std::function<bool()>& done, int max_iterations = 20000) {
    for (int i = 0; i < max_iterations && !done(); ++i) {
      loop.RunOnce(0);
      if (i % 50 == 49) clock.Advance(0.001);
    }
  }
};

}  // namespace opalroute::state_transfer
