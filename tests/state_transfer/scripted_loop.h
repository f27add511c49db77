// An event loop on a scripted clock, with what the tests of state transfer need round it.
#pragma once

#include <functional>

#include "config/limits.h"
#include "lab/clock.h"
#include "net/address.h"
#include "net/event_loop.h"

namespace opalroute::state_transfer {

class ScriptedLoop {
 public:
  lab::Clock clock;
  net::EventLoop loop{clock};
  Limits limits;
  sockaddr_in any = *net::ParseAddress("127.0.0.1:0");  // a free port of the loopback interface

  // Runs until `done`, at most for so many rounds; 50 of them take a millisecond.
  void Until(const std::function<bool()>& done, int max_rounds = 20000) {
    for (int i = 0; i < max_rounds && !done(); ++i) {
      loop.RunOnce(0);
      if (i % 50 == 49) clock.Advance(0.001);
    }
  }
};

}  // namespace opalroute::state_transfer
