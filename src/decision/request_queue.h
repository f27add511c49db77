// The requests that wait for an endpoint, by destination and bucket, and the choice of the next one.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "decision/context.h"
#include "decision/endpoint_table.h"
#include "decision/latency_estimator.h"
#include "decision/request.h"

namespace opalroute::decision {

// Owns the set of destinations with waiting requests, and the queue in each Destination.
class RequestQueue {
 public:
  RequestQueue(const DecisionContext& context, EndpointTable& table, const LatencyEstimator& latency);

  // The request waits for an endpoint in `zone`, or kAnyZone.
  void Add(Request& request, int zone);
  // The request waits no more.
  void Remove(Request& request);

  // Destinations with waiting requests.
  const std::map<DestinationId, Destination*>& active_destinations() const { return active_; }
  // The bucket of the most valuable request that may go to one of the endpoints; of equal ones, that whose
  // latency objective ends first. A recovery trial prefers idempotent requests. Nothing: none may.
  std::optional<BucketKey> BestBucket(const Destination& destination, const std::vector<Endpoint*>& endpoints,
                                      bool is_trial) const;
  // The request of a waiting bucket that goes next.
  RequestId BestRequest(const Destination& destination, const BucketKey& bucket) const;
  // The least valuable request that may be shed, of the destination with most of these. Nothing: none may.
  std::optional<RequestId> LeastValuableOfLongestQueue() const;

 private:
  double WeightAt(const BucketKey& bucket, Seconds age) const;
  const QueueEntry& BestEntry(const BucketKey& bucket, const RequestLine& line, Seconds latency) const;

  const DecisionContext& context_;
  EndpointTable& table_;
  const LatencyEstimator& latency_;
  std::map<DestinationId, Destination*> active_;
};

}  // namespace opalroute::decision
