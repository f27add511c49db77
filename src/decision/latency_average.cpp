#include "decision/latency_average.h"

namespace opalroute::decision {
namespace {

constexpr double kLatencyGain = 0.2;  // weight of the newest latency

}  // namespace

void LatencyAverage::Add(Seconds latency, Seconds now) {
  mean = mean > 0 ? mean + kLatencyGain * (latency - mean) : latency;
  measured_at = now;
}

}  // namespace opalroute::decision
