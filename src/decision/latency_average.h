// A moving average of latencies.
#pragma once

#include "decision/never.h"

namespace opalroute::decision {

// Exponential moving average, initialized with the first sample.
struct LatencyAverage {
  Seconds mean = 0;  // 0: no sample yet
  Seconds measured_at = -kNever;

  void Add(Seconds latency, Seconds now);
};

}  // namespace opalroute::decision
