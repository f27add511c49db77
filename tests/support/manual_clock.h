// A clock whose time only the test changes.
#pragma once

#include <cstdint>

#include "net/clock.h"

namespace opalroute::net {

class ManualClock : public Clock {
 public:
  Seconds Now() const override { return now; }
  std::int64_t WallMicros() const override { return static_cast<std::int64_t>(now * 1e6); }
  Seconds now = 1000;
};

}  // namespace opalroute::net
