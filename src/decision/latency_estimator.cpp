#include "decision/latency_estimator.h"

#include <algorithm>

namespace opalroute::decision {
namespace {

constexpr double kBatchedRequestLatency =
    0.2;                              // of a call's latency: added by each further request of a batch
constexpr double kTimeoutFactor = 6;  // times the mean latency; calls may validly take several times the mean

}  // namespace

double BatchLatencyFactor(int requests) { return 1 + kBatchedRequestLatency * (requests - 1); }

LatencyEstimator::LatencyEstimator(const DecisionContext& context, const EndpointTable& table)
    : context_(context), table_(table) {
  for (const RequestClass& request_class : context.settings.classes)
    longest_objective_ = std::max(longest_objective_, request_class.latency_objective);
}

void LatencyEstimator::RecordServedCall(Endpoint& endpoint, Destination& destination, Seconds latency) {
  for (LatencyAverage* average : {&endpoint.latency, &destination.latency, &overall_})
    average->Add(latency, context_.now);
}

// Ignores a measurement that would give a shorter timeout than an unknown latency does.
void LatencyEstimator::Merge(LatencyAverage& average, Seconds latency, Seconds measured_at) const {
  const Seconds bounded = std::min(latency, longest_objective_);
  if (average.mean <= 0 && kTimeoutFactor * bounded > longest_objective_) average = {bounded, measured_at};
}

Seconds LatencyEstimator::Expected(const Destination& destination) const {
  return destination.latency.mean > 0 ? destination.latency.mean : overall_.mean;
}

Seconds LatencyEstimator::CallTimeout(const Endpoint& endpoint) const {
  const Seconds expected = endpoint.latency.mean > 0 ? endpoint.latency.mean
                                                     : Expected(table_.DestinationAt(endpoint.destination));
  return expected > 0 ? kTimeoutFactor * expected : longest_objective_;
}

}  // namespace opalroute::decision
