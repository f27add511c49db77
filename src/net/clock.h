// The only source of time: a steady clock for use within the process, and the wall clock for times that
// outlive it.
#pragma once

#include <cstdint>

namespace opalroute::net {

using Seconds = double;

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Seconds Now() const = 0;              // monotonic
  virtual std::int64_t WallMicros() const = 0;  // microseconds since the Unix epoch
};

class SystemClock : public Clock {
 public:
  Seconds Now() const override;
  std::int64_t WallMicros() const override;
};

}  // namespace opalroute::net
