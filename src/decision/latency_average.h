// A smoothed mean of latencies.
#pragma once

#include "decision/never.h"

namespace opalroute::decision {

// Exponentially smoothed; the first value counts in full.
struct LatencyAverage {
  Seconds mean = 0;  // 0: nothing is known
  Seconds measured_at = -kNever;

  void Add(Seconds latency, Seconds now);
};

}  // namespace opalroute::decision
