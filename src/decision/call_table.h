// The calls in flight, and the limits on how many there may be.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "decision/context.h"
#include "decision/endpoint_health.h"
#include "decision/endpoint_table.h"
#include "decision/latency_estimator.h"
#include "decision/request_table.h"

namespace opalroute::decision {

// Identifies an attempt of a request.
struct AttemptId {
  RequestId request_id = 0;
  int index = 0;  // into the request's attempts
};

// A call in flight, with one attempt for each request in its batch.
struct Call {
  EndpointId endpoint = 0;
  Seconds sent = 0;
  int pending = 0;  // attempts without an outcome
  bool cancelled = false;
  bool has_outcome = false;  // of at least one attempt
  std::vector<AttemptId> attempts;
};

// Owns the calls in flight, and maintains their counts in Endpoint and Destination.
class CallTable {
 public:
  CallTable(DecisionContext& context, EndpointTable& table, RequestTable& requests,
            const LatencyEstimator& latency);

  // Opens a call to the endpoint and returns its number.
  std::uint64_t Open(Destination& destination, Endpoint& endpoint);
  void AddAttempt(std::uint64_t call, AttemptId attempt);
  Call& At(std::uint64_t call) { return calls_.at(call); }
  // Counts one attempt of the call as ended; the call ends with its last attempt.
  void EndAttempt(std::uint64_t call, Destination& destination, Endpoint& endpoint);

  int FreeSlots() const;
  std::uint64_t latest_call() const { return latest_call_; }
  // Whether the endpoint may get one more call. All outliers evenly share a part of the slots; each may have
  // at least one call, as it could not recover otherwise.
  bool MayOpenCall(const Endpoint& endpoint) const;
  // Frees a slot that a lost call occupies: cancels the oldest call that has taken much longer than usual.
  void ReclaimSlot(EndpointHealth& health);

 private:
  bool CancelIfOverdue(std::uint64_t id, Call& call, const Endpoint& endpoint);
  // Returns null if the attempt already has its outcome or is being cancelled.
  Attempt* FindCancellable(std::uint64_t call, const AttemptId& id);

  DecisionContext& context_;
  EndpointTable& table_;
  RequestTable& requests_;
  const LatencyEstimator& latency_;
  std::map<std::uint64_t, Call> calls_;
  std::uint64_t latest_call_ = 0;
};

}  // namespace opalroute::decision
