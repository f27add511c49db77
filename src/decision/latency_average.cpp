#include "decision/latency_average.h"

namespace opalroute::decision {
namespace {

constexpr double kSmoothingFactor = 0.2;  // weight of the newest sample

}  // namespace

void LatencyAverage::Add(Seconds latency, Seconds now) {
  mean = mean > 0 ? mean + kSmoothingFactor * (latency - mean) : latency;
  measured_at = now;
}

}  // namespace opalroute::decision
