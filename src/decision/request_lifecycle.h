// Moves a request from its receipt to its end: queued by key, waiting, delayed, in flight, ended.
#pragma once

#include <cstdint>
#include <string>

#include "decision/admission.h"
#include "decision/context.h"
#include "decision/endpoint_table.h"
#include "decision/key_order.h"
#include "decision/request_queue.h"
#include "decision/request_table.h"
#include "decision/request_timers.h"
#include "decision/retry_policy.h"

namespace opalroute::decision {

// Owns the timers, the ordering keys and the admission, and is the only one to change them.
class RequestLifecycle {
 public:
  RequestLifecycle(DecisionContext& context, EndpointTable& table, RequestTable& requests,
                   RequestQueue& queue, RetryPolicy& retry_policy);

  void Receive(const NewRequest& received);
  // Attempts that were in flight when the earlier process ended may have run, and restrict retries
  // accordingly.
  void Recover(const RecoveredRequest& recovered);
  void Abort(RequestId id);
  void OnResponseStarted(RequestId id);
  // Sends the next attempt as a part of `call`; `latency_factor` is the BatchLatencyFactor() of the call.
  void SendAttempt(Request& request, const Endpoint& endpoint, std::uint64_t call, double latency_factor);
  // An attempt has its outcome; `request_ended`: the request has ended, and the router must not answer it.
  void OnAttemptEnded(Request& request, Outcome outcome, bool request_ended);

  // The call of an attempt that already had its outcome has ended. Retries a request that had to wait for it.
  void OnAttemptClosed(const AttemptClosed& closed);

  // Further attempts are restricted as if the attempt had ended without a proof that it never ran.
  void OnAttemptMayHaveRun(const AttemptMayHaveRun& doubt);

  // Queues requests whose pause or backoff has ended, rejects or fails expired ones, and sheds load.
  void OnBatchEnd();
  Seconds NextDue() const;  // kNever: no request has a due time

 private:
  Request& Register(const NewRequest& received);
  void QueueInKeyOrder(Request& request);
  void AdvanceOrderingKey(const std::string& ordering_key);
  void Enqueue(Request& request);
  void Retry(Request& request, Outcome last);
  void ShedLoad();
  void RejectOrFail(Request& request);
  void End(Request& request);
  void Release(Request& request);

  DecisionContext& context_;
  EndpointTable& table_;
  RequestTable& requests_;
  RequestQueue& queue_;
  RetryPolicy& retry_policy_;
  RequestTimers timers_;
  KeyOrder key_order_;
  Admission admission_;
};

}  // namespace opalroute::decision
