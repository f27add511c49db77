// A request from its receipt to its end: ordered by key, waiting, delayed, in flight, answered.
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

// Owns timers, key order and admission, which only it changes.
class RequestLifecycle {
 public:
  RequestLifecycle(DecisionContext& context, EndpointTable& table, RequestTable& requests,
                   RequestQueue& queue, RetryPolicy& retry_policy);

  void Receive(const NewRequest& received);
  // Attempts that were in flight when the earlier process ended may have run, so they bind retries.
  void Recover(const RecoveredRequest& recovered);
  void Abort(RequestId id);
  void OnResponseStarted(RequestId id);
  // Sends the next attempt as a part of `call`; `stretch` is the batch's.
  void SendAttempt(Request& request, const Endpoint& endpoint, std::uint64_t call, double stretch);
  // An attempt has come to its outcome; `request_ended`: the request has ended outside the router.
  void OnAttemptEnded(Request& request, Outcome outcome, bool request_ended);

  // Moves on what is due, answers what has expired, and sheds load.
  void OnBatchEnd();
  Seconds NextDue() const;  // kNever: nothing waits for a time

 private:
  Request& Admit(const NewRequest& received);
  void Queue(Request& request);
  void AdvanceKey(const std::string& key);
  void Enqueue(Request& request);
  void Retry(Request& request, Outcome last);
  void ShedLoad();
  void Answer(Request& request);
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
