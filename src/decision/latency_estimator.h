// Estimates how long calls take, from the latencies of earlier ones.
#pragma once

#include "decision/context.h"
#include "decision/endpoint_table.h"
#include "decision/latency_average.h"

namespace opalroute::decision {

// Expected latency of a call that carries `requests` requests, as a multiple of a call with a single request.
double BatchLatencyFactor(int requests);

// Owns the average over all destinations; Endpoint and Destination hold their own averages.
class LatencyEstimator {
 public:
  LatencyEstimator(const DecisionContext& context, const EndpointTable& table);

  // Adds the latency of a served call; the caller scales that of a batch to a call with a single request.
  void RecordServedCall(Endpoint& endpoint, Destination& destination, Seconds latency);
  // Takes over another relay's measurement if this relay has none.
  void Merge(LatencyAverage& average, Seconds latency, Seconds measured_at) const;
  // Mean latency of the destination; if unknown, of all destinations; 0 if that is unknown too.
  Seconds Expected(const Destination& destination) const;
  // Base timeout of a call with a single request: a multiple of the expected latency, or the longest latency
  // objective while no latency is known.
  Seconds CallTimeout(const Endpoint& endpoint) const;

 private:
  const DecisionContext& context_;
  const EndpointTable& table_;
  Seconds longest_objective_ = 0;
  LatencyAverage overall_;
};

}  // namespace opalroute::decision
