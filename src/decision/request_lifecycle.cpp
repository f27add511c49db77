#include "decision/request_lifecycle.h"

#include <algorithm>
#include <string>
#include <utility>

#include "decision/outcome.h"

namespace opalroute::decision {
namespace {

// Of a request that is bound to a zone once it may have run. An attempt is made in another zone only while
// all earlier ones count as rejected, so the latest attempt tells in which zone the request may have run.
// Earlier ones in other zones may still be recorded as such, as their rejections had not been confirmed.
// Where a zone is unknown, nothing shows that it is another one.
void DropAttemptsRejectedInOtherZones(std::vector<Attempt>& attempts) {
  const auto latest = std::find_if(attempts.rbegin(), attempts.rend(),
                                   [](const Attempt& attempt) { return attempt.may_have_run; });
  if (latest == attempts.rend()) return;
  for (Attempt& attempt : attempts) {
    if (AreInDifferentZones(attempt.location, latest->location)) attempt.may_have_run = false;
  }
}

}  // namespace

RequestLifecycle::RequestLifecycle(DecisionContext& context, EndpointTable& table, RequestTable& requests,
                                   RequestQueue& queue, RetryPolicy& retry_policy)
    : context_(context),
      table_(table),
      requests_(requests),
      queue_(queue),
      retry_policy_(retry_policy),
      key_order_(context, requests),
      admission_(context) {}

void RequestLifecycle::Receive(const NewRequest& received) {
  Request& request = Register(received);
  request.over_quota = admission_.IsOverQuota(received.tenant);
  QueueInKeyOrder(request);
}

void RequestLifecycle::Recover(const RecoveredRequest& recovered) {
  Request& request = Register(recovered.request);
  request.recovered = true;
  request.response_was_doubted = recovered.response_was_doubted;
  for (const EarlierAttempt& earlier : recovered.attempts) {
    Attempt attempt;
    attempt.location = {earlier.endpoint, earlier.zone};
    attempt.sent = context_.now - earlier.age;
    attempt.in_flight = false;
    attempt.may_have_run = earlier.may_have_run;
    request.attempts.push_back(attempt);
  }
  if (IsBoundToZone(context_.settings.classes[request.request_class]))
    DropAttemptsRejectedInOtherZones(request.attempts);
  QueueInKeyOrder(request);
}

Request& RequestLifecycle::Register(const NewRequest& received) {
  const RequestClass& request_class = context_.settings.classes[received.request_class];
  Request& request = requests_.Add(received);
  request.deadline = context_.now + received.remaining_time;
  request.received_at = request.deadline - request_class.deadline;
  Destination& destination = table_.FindOrAddDestination(request.destination);
  destination.id = request.destination;
  admission_.Hold(destination);
  if (!request_class.ordered_by_key) request.key.clear();
  return request;
}

void RequestLifecycle::QueueInKeyOrder(Request& request) {
  if (request.key.empty()) return Enqueue(request);
  key_order_.Append(request);
  timers_.SetExpiry(request, retry_policy_.Expiry(request));
  AdvanceOrderingKey(std::string(request.key));  // a copy, as the request may be removed
}

void RequestLifecycle::AdvanceOrderingKey(const std::string& ordering_key) {
  if (const auto next = key_order_.Advance(ordering_key)) Enqueue(requests_.At(*next));
}

void RequestLifecycle::Enqueue(Request& request) {
  const auto bounds = retry_policy_.Bounds(request);
  if (!retry_policy_.MayAttempt(request, bounds)) return RejectOrFail(request);
  queue_.Add(request, bounds->scope);
  timers_.SetExpiry(request, retry_policy_.Expiry(request));
}

void RequestLifecycle::SendAttempt(Request& request, const Endpoint& endpoint, std::uint64_t call,
                                   double latency_factor) {
  Attempt attempt;
  attempt.location = endpoint.Location();
  attempt.call = call;
  attempt.sent = context_.now;
  request.attempts.push_back(attempt);
  ++request.attempts_in_flight;
  request.phase = RequestPhase::kNotQueued;
  const Seconds send_deadline = retry_policy_.Bounds(request).value_or(AttemptBounds{}).send_deadline;
  const Seconds timeout_at = retry_policy_.TimeoutAt(request, endpoint, latency_factor);
  const bool requires_new_connection = retry_policy_.RequiresNewConnection(request);
  context_.Emit(
      Send{request.request_id, endpoint.endpoint, timeout_at, send_deadline, requires_new_connection});
  timers_.SetExpiry(request, retry_policy_.Expiry(request));
}

void RequestLifecycle::OnAttemptEnded(Request& request, Outcome outcome, bool request_ended) {
  if (outcome == Outcome::kTimeout) ++request.timeouts;
  const auto pause = context_.settings.ordered_key_pause;
  if (pause && !request.key.empty() && MayStillBeRunning(outcome))
    key_order_.Pause(request.key, context_.now + *pause);
  if (request.ended) {
    Release(request);
  } else if (request_ended) {
    End(request);
  } else if (request.attempts_in_flight == 0) {  // no retry while a hedged attempt is in flight
    Retry(request, outcome);
  }
}

void RequestLifecycle::OnAttemptClosed(const AttemptClosed& closed) {
  Request* request = requests_.Find(closed.request_id);
  if (request == nullptr || request->ended) return;
  if (closed.attempt < 0 || closed.attempt >= static_cast<int>(request->attempts.size())) return;
  if (!std::exchange(request->attempts[closed.attempt].call_continues, false)) return;
  const bool was_waiting_for_it =
      request->phase == RequestPhase::kNotQueued && request->attempts_in_flight == 0;
  if (was_waiting_for_it) Retry(*request, Outcome::kTimeout);
}

void RequestLifecycle::OnAttemptMayHaveRun(const AttemptMayHaveRun& doubt) {
  Request* request = requests_.Find(doubt.request_id);
  if (request == nullptr || request->ended) return;
  if (doubt.attempt < 0 || doubt.attempt >= static_cast<int>(request->attempts.size())) return;
  request->attempts[doubt.attempt].may_have_run = true;
  if (request->phase != RequestPhase::kWaiting) return;  // looked at again when it is queued
  queue_.Remove(*request);
  Enqueue(*request);
}

void RequestLifecycle::Retry(Request& request, Outcome last) {
  // An open call may still serve the request, so it is not given up before its deadline.
  if (!retry_policy_.MayOpenAnotherCall(request)) return timers_.SetExpiry(request, request.deadline);
  if (!retry_policy_.MayRetry(request)) return RejectOrFail(request);
  if (IsRetriedImmediately(last)) return Enqueue(request);
  timers_.Delay(request, retry_policy_.RandomBackoffEnd(request, last));
  timers_.SetExpiry(request, retry_policy_.Expiry(request));
}

void RequestLifecycle::OnBatchEnd() {
  while (const auto ordering_key = key_order_.TakeDuePause()) AdvanceOrderingKey(*ordering_key);
  while (const auto id = timers_.TakeEndedBackoff(context_.now)) Enqueue(requests_.At(*id));
  while (const auto id = timers_.FindExpired(context_.now)) RejectOrFail(requests_.At(*id));
  ShedLoad();
}

void RequestLifecycle::ShedLoad() {
  while (admission_.MustShedLoad()) {
    const auto id = queue_.LeastValuableOfLongestQueue();
    if (!id) return;
    RejectOrFail(requests_.At(*id));
  }
}

Seconds RequestLifecycle::NextDue() const { return std::min(key_order_.NextDue(), timers_.NextDue()); }

// Ends a request that the router gives up. It is rejected, with a Retry-After if allowed, if the client can
// repeat it without doubling an effect, and fails otherwise.
void RequestLifecycle::RejectOrFail(Request& request) {
  const Destination& destination = table_.FindOrAddDestination(request.destination);
  const bool may_send_retry_after = context_.settings.may_send_retry_after;
  if (retry_policy_.MayReject(request)) {
    const Seconds retry_after = may_send_retry_after ? admission_.EstimateRetryAfter(destination) : 0;
    context_.Emit(Reject{request.request_id, retry_after});
  } else {
    context_.Emit(Fail{request.request_id});
  }
  End(request);
}

void RequestLifecycle::End(Request& request) {
  timers_.CancelDelay(request);
  queue_.Remove(request);
  request.ended = true;
  const int attempts = static_cast<int>(request.attempts.size());
  for (int i = 0; context_.settings.may_cancel && i < attempts; ++i) {
    const Attempt& attempt = request.attempts[i];
    if (attempt.in_flight && !attempt.cancelled) context_.Emit(CancelAttempt{request.request_id, i});
  }
  Release(request);
}

void RequestLifecycle::Abort(RequestId id) {
  Request* request = requests_.Find(id);
  if (request != nullptr && !request->ended) End(*request);
}

void RequestLifecycle::OnResponseStarted(RequestId id) {
  if (Request* request = requests_.Find(id)) timers_.ClearExpiry(*request);
}

// Stops counting the request as held, and removes it once all of its attempts have outcomes.
void RequestLifecycle::Release(Request& request) {
  timers_.ClearExpiry(request);
  request.phase = RequestPhase::kNotQueued;
  Destination& destination = table_.FindOrAddDestination(request.destination);
  admission_.Release(request, destination);
  if (request.attempts_in_flight > 0) return;
  table_.RemoveIfUnused(destination);
  const std::string ordering_key = request.key;
  requests_.Remove(request.request_id);
  if (!ordering_key.empty()) AdvanceOrderingKey(ordering_key);
}

}  // namespace opalroute::decision
