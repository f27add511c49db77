#include "decision/latency_estimator.h"

#include <algorithm>

namespace opalroute::decision {
namespace {

constexpr double kBatchedRequestWork = 0.2;  // of a call: what each further request of a batch may add
constexpr double kTimeoutFactor = 6;         // mean latencies; calls that take several are legal

}  // namespace

double BatchStretch(int requests) { return 1 + kBatchedRequestWork * (requests - 1); }

LatencyEstimator::LatencyEstimator(const DecisionContext& context, const EndpointTable& table)
    : context_(context), table_(table) {
  for (const RequestClass& request_class : context.settings.classes)
    longest_objective_ = std::max(longest_objective_, request_class.latency_objective);
}

void LatencyEstimator::AddServed(Endpoint& endpoint, Destination& destination, Seconds latency) {
  for (LatencyAverage* average : {&endpoint.latency, &destination.latency, &overall_})
    average->Add(latency, context_.now);
}

// A measurement that would make a timeout shorter than for an unknown latency is left out.
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
