// The calls that are in flight, and how many more an endpoint may hold.
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

// An attempt of a request.
struct AttemptId {
  RequestId request_id = 0;
  int index = 0;  // into the request's attempts
};

// One call carries as many requests as were batched.
struct Call {
  EndpointId endpoint = 0;
  Seconds sent = 0;
  int pending = 0;  // attempts without an outcome
  bool cancelled = false;
  bool judged = false;  // an outcome has counted for its endpoint
  std::vector<AttemptId> attempts;
};

// Owns the calls in flight, and the counts of them in Endpoint and Destination.
class CallTable {
 public:
  CallTable(DecisionContext& context, EndpointTable& table, RequestTable& requests,
            const LatencyEstimator& latency);

  // Opens a call to the endpoint and returns its number.
  std::uint64_t Open(Destination& destination, Endpoint& endpoint);
  void AddAttempt(std::uint64_t call, AttemptId attempt);
  Call& At(std::uint64_t call) { return calls_.at(call); }
  // One attempt has come to its outcome; the call ends with the last one.
  void EndAttempt(std::uint64_t call, Destination& destination, Endpoint& endpoint);

  int FreeSlots() const;
  std::uint64_t latest_call() const { return latest_call_; }
  // Outliers share a part of the slots evenly, each with at least one call, else none would recover.
  bool MayHoldAnotherCall(const Endpoint& endpoint) const;
  // Lost calls hold slots: cancels the oldest call that has taken much longer than usual.
  void ReclaimSlot(EndpointHealth& health);

 private:
  bool CancelIfOverdue(std::uint64_t id, Call& call, const Endpoint& endpoint);
  // Null: the attempt has its outcome, or is cancelled already.
  Attempt* FindCancellable(std::uint64_t call, const AttemptId& id);

  DecisionContext& context_;
  EndpointTable& table_;
  RequestTable& requests_;
  const LatencyEstimator& latency_;
  std::map<std::uint64_t, Call> calls_;
  std::uint64_t latest_call_ = 0;
};

}  // namespace opalroute::decision
