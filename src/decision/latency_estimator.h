// How long calls are expected to take.
#pragma once

#include "decision/context.h"
#include "decision/endpoint_table.h"
#include "decision/latency_average.h"

namespace opalroute::decision {

// How much longer a call with `requests` takes than one with a single request, as a factor.
double BatchStretch(int requests);

// Owns the average over all destinations; the others stand in Endpoint and Destination.
class LatencyEstimator {
 public:
  LatencyEstimator(const DecisionContext& context, const EndpointTable& table);

  // A call was served, `latency` after it was sent; for batches, the time of a single request.
  void AddServed(Endpoint& endpoint, Destination& destination, Seconds latency);
  // Another relay's measurement, where nothing is known here.
  void Merge(LatencyAverage& average, Seconds latency, Seconds measured_at) const;
  // The usual latency at the destination; unknown: of all destinations; 0: nothing is known.
  Seconds Expected(const Destination& destination) const;
  // The time after which a call to the endpoint counts as slow beyond reason.
  Seconds CallTimeout(const Endpoint& endpoint) const;

 private:
  const DecisionContext& context_;
  const EndpointTable& table_;
  Seconds longest_objective_ = 0;
  LatencyAverage overall_;
};

}  // namespace opalroute::decision
