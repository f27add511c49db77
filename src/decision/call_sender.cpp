#include "decision/call_sender.h"

#include <algorithm>

namespace opalroute::decision {

CallSender::CallSender(DecisionContext& context, RequestTable& requests, RequestQueue& queue,
                       RequestLifecycle& lifecycle, CallTable& calls, CallPacer& pacer,
                       EndpointHealth& health)
    : context_(context),
      requests_(requests),
      queue_(queue),
      lifecycle_(lifecycle),
      calls_(calls),
      pacer_(pacer),
      health_(health) {}

void CallSender::SendCall(Destination& destination, EndpointPair pair) {
  Endpoint& first = *pair.first;
  const bool both_look_idle = pair.second != nullptr && first.LooksIdle() && pair.second->LooksIdle();
  const std::uint64_t call = OpenCall(destination, first);
  const std::vector<Request*> batch = TakeBatch(destination, first);
  const double latency_factor = BatchLatencyFactor(static_cast<int>(batch.size()));
  for (Request* request : batch) SendAttempt(*request, first, call, latency_factor);
  first.route->health.Charge(latency_factor - 1);
  if (both_look_idle && MayHedgeNow(destination, *pair.second)) SendHedged(destination, pair, batch);
}

// A recovery trial carries a single request, unlike in NetClone.
std::vector<Request*> CallSender::TakeBatch(Destination& destination, Endpoint& endpoint) {
  const bool is_trial = endpoint.NeedsTrial();
  const int max_batch = is_trial ? 1 : std::max(1, KindOf(context_.settings, endpoint.kind).max_batch);
  const bool avoid_non_idempotent = is_trial && !endpoint.circuit.last_failure_never_ran();
  std::vector<Request*> batch;
  while (static_cast<int>(batch.size()) < max_batch) {
    const auto bucket = queue_.BestBucket(destination, {&endpoint}, avoid_non_idempotent);
    if (!bucket) break;
    Request& request = requests_.At(queue_.BestRequest(destination, *bucket));
    batch.push_back(&request);
    queue_.Remove(request);
    if (request.attempts.empty()) destination.hedging.CountFirstSend();
  }
  return batch;
}

std::uint64_t CallSender::OpenCall(Destination& destination, Endpoint& endpoint) {
  const std::uint64_t call = calls_.Open(destination, endpoint);
  pacer_.Charge(endpoint);
  return call;
}

void CallSender::SendAttempt(Request& request, Endpoint& endpoint, std::uint64_t call,
                             double latency_factor) {
  calls_.AddAttempt(call, {request.request_id, static_cast<int>(request.attempts.size())});
  lifecycle_.SendAttempt(request, endpoint, call, latency_factor);
}

// Hedged calls only use slots that nothing else needs: none is sent while any request is waiting.
bool CallSender::MayHedgeNow(const Destination& destination, Endpoint& second) {
  if (!context_.settings.may_hedge || destination.hedging.disabled()) return false;
  if (!queue_.active_destinations().empty() || calls_.FreeSlots() < 1) return false;
  return !health_.IsInRecovery(second) && pacer_.TimeUntilCall(second) <= 0;
}

void CallSender::SendHedged(Destination& destination, EndpointPair pair, const std::vector<Request*>& batch) {
  const double latency_factor = BatchLatencyFactor(static_cast<int>(batch.size()));
  std::uint64_t call = 0;  // 0: the hedged call is not open yet
  for (Request* request : batch) {
    if (!MayHedge(*request, *pair.first, *pair.second, context_.settings)) continue;
    if (!destination.hedging.AllowsAnother()) break;
    if (call == 0) call = OpenCall(destination, *pair.second);
    destination.hedging.CountHedged();
    SendAttempt(*request, *pair.second, call, latency_factor);
  }
}

}  // namespace opalroute::decision
