// Requests that wait for an endpoint, by destination and bucket, and the choice of the next one to send.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "decision/context.h"
#include "decision/endpoint_table.h"
#include "decision/latency_estimator.h"
#include "decision/request.h"

namespace opalroute::decision {

// Owns the set of destinations with waiting requests, and the waiting requests in each Destination.
class RequestQueue {
 public:
  RequestQueue(const DecisionContext& context, EndpointTable& table, const LatencyEstimator& latency);

  // Adds a request that may go to the endpoints in `scope`.
  void Add(Request& request, const EndpointScope& scope);
  // Removes a request; does nothing if it does not wait.
  void Remove(Request& request);

  // Destinations with waiting requests.
  const std::map<DestinationId, Destination*>& active_destinations() const { return active_; }
  // The bucket of the request of greatest weight that may go to one of the endpoints; of equal ones, the one
  // whose latency objective ends first. With `avoid_non_idempotent`, as in a recovery trial, a non-idempotent
  // request comes after all others. Nothing if no request may go.
  std::optional<BucketKey> BestBucket(const Destination& destination, const std::vector<Endpoint*>& endpoints,
                                      bool avoid_non_idempotent) const;
  // The request of a nonempty bucket that is sent next.
  RequestId BestRequest(const Destination& destination, const BucketKey& bucket) const;
  // The request of least weight that may be shed, of the destination with the most such requests. Nothing if
  // there is none.
  std::optional<RequestId> LeastValuableOfLongestQueue() const;

 private:
  double WeightAt(const BucketKey& bucket, Seconds age) const;
  const QueueEntry& BestEntry(const BucketKey& bucket, const RequestsByTime& requests, Seconds latency) const;

  const DecisionContext& context_;
  EndpointTable& table_;
  const LatencyEstimator& latency_;
  std::map<DestinationId, Destination*> active_;
};

}  // namespace opalroute::decision
