#include "relay/upstream_calls.h"

#include <algorithm>
#include <cmath>

#include "decision/outcome.h"
#include "log/log.h"

namespace opalroute {

namespace {

constexpr double kMillisecondsPerSecond = 1000;

const char* NameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kServed:
      return "served";
    case Outcome::kError:
      return "error";
    case Outcome::kRejected:
      return "rejected";
    case Outcome::kTimeout:
      return "timeout";
    case Outcome::kConnectFailed:
      return "connect_failed";
    case Outcome::kReset:
      return "reset";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotSent:
      return "not_sent";
    case Outcome::kOutOfConnections:
      return "out_of_connections";
    case Outcome::kLocalShortage:
      return "local_shortage";
  }
  return "unknown";
}

const char* NameOf(DoubtCause cause) {
  switch (cause) {
    case DoubtCause::kUnmatchedResponse:
      return "unmatched_response";
    case DoubtCause::kConnectionEnded:
      return "connection_ended";
    case DoubtCause::kCallUnanswered:
      return "call_unanswered";
  }
  return "unknown";
}

}  // namespace

UpstreamCalls::UpstreamCalls(net::EventLoop& loop, const PersistentClock& clock, net::HttpClient& client,
                             const Config& config, Counters& counters, EndpointTable& endpoints,
                             RequestTable& requests, DecisionLoop& decisions, Callbacks callbacks)
    : loop_(loop),
      clock_(clock),
      client_(client),
      config_(config),
      counters_(counters),
      endpoints_(endpoints),
      requests_(requests),
      decisions_(decisions),
      callbacks_(std::move(callbacks)),
      confirmation_(loop, client, config.limits, endpoints, counters, *this),
      doubt_lines_(config.limits.unmatched_response_log_lines) {}

void UpstreamCalls::Enqueue(const Send& send) {
  AcceptedRequest* request = requests_.Find(send.request_id);
  if (request == nullptr) return;
  UpstreamCall::Attempt attempt;
  attempt.request_id = send.request_id;
  attempt.number = static_cast<int>(request->journal_attempts.size());
  attempt.send_deadline = send.send_deadline;
  attempt.requires_new_connection = send.requires_new_connection;
  attempt.timeout_at = send.timeout_at > 0 ? std::min(send.timeout_at, request->deadline) : request->deadline;
  attempt.id = request->id;
  attempt.key = request->key;
  attempt.body = request->body;
  request->journal_attempts.push_back(-1);
  ++request->attempts_in_flight;
  const EndpointKind& kind = config_.settings.kinds[endpoints_.At(send.endpoint).kind];
  std::vector<Batch>& batches = queued_[send.endpoint];
  if (batches.empty() || batches.back().size() >= static_cast<std::size_t>(std::max(1, kind.max_batch)))
    batches.emplace_back();
  batches.back().push_back(std::move(attempt));
}

void UpstreamCalls::Start() {
  for (auto& [endpoint, batches] : std::exchange(queued_, {}))
    for (Batch& batch : batches) StartCall(endpoint, std::move(batch));
}

void UpstreamCalls::Cancel(const opalroute::CancelAttempt& cancel) {
  const auto it = attempts_.find({cancel.request_id, cancel.attempt});
  if (it != attempts_.end()) it->second->Cancel(cancel.request_id, cancel.attempt);
}

void UpstreamCalls::StartCall(EndpointId endpoint, Batch batch) {
  ++counters_.calls;
  counters_.attempts += static_cast<long>(batch.size());
  UpstreamCall::Owner& owner = *this;
  EndpointTable::Endpoint& to = endpoints_.At(endpoint);
  ++to.calls_in_flight;
  auto owned = std::make_unique<UpstreamCall>(loop_, client_, endpoint, to.address, std::move(batch), owner);
  UpstreamCall* call = owned.get();
  calls_.emplace(call, std::move(owned));
  for (const UpstreamCall::Attempt& a : call->attempts()) attempts_[{a.request_id, a.number}] = call;
  call->Start();
}

// Returns why the attempt must not be sent any more, or null. While the call was waiting for its connection,
// the endpoint may have started draining, a Retry-After may have arrived, or the deduplication window may
// have ended.
const char* UpstreamCalls::ReasonNotToSend(const UpstreamCall& call, const UpstreamCall::Attempt& attempt,
                                           const AcceptedRequest& request) const {
  const Seconds now = loop_.Now();
  if (!request.IsOpen()) return "the request has ended";
  if (attempt.timeout_at <= now) return "the attempt has timed out";
  if (attempt.send_deadline <= now) return "the deduplication window has ended";
  if (!decisions_.router().MaySend(now, call.endpoint()))
    return "the endpoint is draining or removed, or a Retry-After is in force";
  if (!decisions_.router().MaySendAttempt(now, attempt.request_id, attempt.number))
    return "an earlier attempt may have run, in another zone or too long ago";
  return nullptr;
}

void UpstreamCalls::LogSendDecision(const char* event, const UpstreamCall& call,
                                    const UpstreamCall::Attempt& attempt, const char* why) const {
  if (!log::IsEnabled(log::Level::debug)) return;
  const EndpointTable::ListVersion& list = endpoints_.version();
  log::Debug(event, {{"id", attempt.id},
                     {"attempt", attempt.number},
                     {"endpoint", endpoints_.At(call.endpoint()).id},
                     {"why", why},
                     {"generation", list.generation},
                     {"list_age_ms", std::lround((loop_.Now() - list.updated_at) * kMillisecondsPerSecond)}});
}

bool UpstreamCalls::MaySend(const UpstreamCall& call, const UpstreamCall::Attempt& attempt) {
  const char* why = ReasonNotToSend(call, attempt, requests_.At(attempt.request_id));
  if (why == nullptr) return true;
  ++counters_.withheld;
  LogSendDecision("attempt_not_sent", call, attempt, why);
  return false;
}

// An attempt must be recorded before it is sent: otherwise a restarted relay would not know of it.
bool UpstreamCalls::RecordAttempt(const UpstreamCall& call, const UpstreamCall::Attempt& attempt) {
  const EndpointTable::Endpoint& endpoint = endpoints_.At(call.endpoint());
  JournalAttempt record;
  record.endpoint = endpoint.id;
  record.zone = config_.zones.empty() ? "" : config_.zones[endpoint.zone];
  record.sent_at = clock_.Micros();
  const bool recorded = requests_.RecordAttempt(requests_.At(attempt.request_id), attempt.number, record);
  LogSendDecision(recorded ? "attempt_sent" : "attempt_not_sent", call, attempt,
                  recorded ? "chosen" : "the journal write failed");
  return recorded;
}

long& UpstreamCalls::CounterOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kServed:
      return counters_.served;
    case Outcome::kError:
      return counters_.errors;
    case Outcome::kRejected:
      return counters_.rejections;
    case Outcome::kTimeout:
      return counters_.timeouts;
    case Outcome::kConnectFailed:
      return counters_.connect_failed;
    case Outcome::kReset:
      return counters_.resets;
    case Outcome::kCancelled:
      return counters_.cancelled;
    case Outcome::kOutOfConnections:
      return counters_.out_of_connections;
    case Outcome::kNotSent:
    case Outcome::kLocalShortage:
      break;
  }
  return counters_.not_sent;
}

void UpstreamCalls::OnOutcome(const UpstreamCall& call, const UpstreamCall::Attempt& attempt,
                              const AttemptOutcome& outcome, ResponsePairing pairing) {
  AcceptedRequest& request = requests_.At(attempt.request_id);
  attempts_.erase({attempt.request_id, attempt.number});
  --request.attempts_in_flight;
  ++CounterOf(outcome.outcome);
  if (outcome.retry_after > 0) callbacks_.on_retry_after(outcome.endpoint, outcome.retry_after);
  LogOutcome(call, request, outcome);
  AttemptOutcome event = outcome;
  event.request_ended = outcome.request_ended || !request.IsOpen();
  if (!request.ended && pairing == ResponsePairing::kByOrder) {
    HoldUntilConfirmed(call, request, outcome);
  } else if (!request.ended) {
    RecordOutcome(request, outcome);
  }
  decisions_.Post(event);
  requests_.RemoveIfDone(attempt.request_id);
}

// Records what is certain of an outcome.
void UpstreamCalls::RecordOutcome(AcceptedRequest& request, const AttemptOutcome& outcome) {
  if (outcome.request_ended) {
    if (request.IsOpen() && outcome.outcome == Outcome::kServed)
      counters_.CountDelivered(request.request_class);
    requests_.End(request);
  } else if (request.IsOpen() && decision::ProvesNeverRan(outcome.outcome)) {
    requests_.RecordNotExecuted(request, outcome.attempt);
  }
}

// The record of the request stays as it is: a process that starts before the outcome is confirmed has to take
// it for one that may have run.
void UpstreamCalls::HoldUntilConfirmed(const UpstreamCall& call, AcceptedRequest& request,
                                       const AttemptOutcome& outcome) {
  UnconfirmedOutcome unconfirmed;
  unconfirmed.request_id = outcome.request_id;
  unconfirmed.attempt = outcome.attempt;
  unconfirmed.endpoint = outcome.endpoint;
  unconfirmed.outcome = outcome.outcome;
  unconfirmed.request_ended = outcome.request_ended;
  unconfirmed.deadline = request.deadline;
  confirmation_.Add(call.exchange().connection, unconfirmed, call.stated_timeout_at());
  if (!outcome.request_ended || !request.IsOpen()) return;
  if (outcome.outcome == Outcome::kServed) counters_.CountDelivered(request.request_class);
  requests_.AwaitConfirmation(request);
}

void UpstreamCalls::OnConfirmed(const UnconfirmedOutcome& outcome) {
  AcceptedRequest* request = requests_.Find(outcome.request_id);
  if (request == nullptr || request->ended) return;
  if (outcome.request_ended) {
    requests_.End(*request);
    requests_.RemoveIfDone(outcome.request_id);
    callbacks_.on_call_ended();
  } else if (decision::ProvesNeverRan(outcome.outcome)) {
    requests_.RecordNotExecuted(*request, outcome.attempt);
  }
}

void UpstreamCalls::OnDoubted(const UnconfirmedOutcome& outcome, DoubtCause cause) {
  AcceptedRequest* request = requests_.Find(outcome.request_id);
  if (request == nullptr || request->ended) return;
  LogDoubt(*request, outcome, cause);
  if (!outcome.request_ended) {
    if (decision::ProvesNeverRan(outcome.outcome)) DoubtRejection(outcome.request_id, outcome.attempt);
  } else if (!request->IsOpen()) {
    if (outcome.outcome == Outcome::kServed) counters_.UncountDelivered(request->request_class);
    Reopen(outcome.request_id, *request);
  }
}

// The router may end the request over it.
void UpstreamCalls::DoubtRejection(RequestId request_id, int attempt) {
  AcceptedRequest* request = requests_.Find(request_id);
  if (request == nullptr || request->ended) return;
  request->doubted_attempts.push_back(attempt);
  if (request->IsOpen()) decisions_.Post(AttemptMayHaveRun{request_id, attempt});
}

// What is known of the request's attempts, and what is still unconfirmed of them, passes to the new entry,
// whose attempts have the numbers that they have in the journal.
void UpstreamCalls::Reopen(RequestId request_id, AcceptedRequest& request) {
  const std::string client_id = request.id;
  const std::vector<int> journal_attempts = request.journal_attempts;
  const std::vector<int> doubted_attempts = request.doubted_attempts;
  requests_.Supersede(request);
  requests_.RemoveIfDone(request_id);
  const RequestId successor = callbacks_.on_reopened(client_id);
  confirmation_.Reassign(request_id, successor, journal_attempts);
  for (const int attempt : doubted_attempts)
    DoubtRejection(successor, journal_attempts[static_cast<std::size_t>(attempt)]);
}

void UpstreamCalls::OnUnmatchedRetryAfter(EndpointId id, Seconds retry_after) {
  const EndpointTable::Endpoint& endpoint = endpoints_.At(id);
  RouteState state;
  state.destination = endpoint.destination;
  if (config_.settings.kinds[endpoint.kind].limits_per_endpoint) state.endpoint = id;
  state.retry_after = retry_after + config_.settings.tick;
  decisions_.Post(TransferredState{{state}});
  callbacks_.on_retry_after(id, retry_after);
}

void UpstreamCalls::OnWritten(const UpstreamCall& call, int requests) {
  counters_.requests_written += requests;
  confirmation_.OnCallWritten(call.exchange().connection);
}

void UpstreamCalls::OnUnanswered(const UpstreamCall& call) {
  confirmation_.OnCallUnanswered(call.exchange().connection);
}

void UpstreamCalls::LogDoubt(const AcceptedRequest& request, const UnconfirmedOutcome& outcome,
                             DoubtCause cause) {
  if (!doubt_lines_.MayLog(static_cast<std::int64_t>(loop_.Now()))) return;
  log::Info("outcome_doubted", {{"id", request.id},
                                {"attempt", outcome.attempt},
                                {"endpoint", endpoints_.NameOf(outcome.endpoint)},
                                {"outcome", NameOf(outcome.outcome)},
                                {"why", NameOf(cause)},
                                {"taken_up_again", outcome.request_ended},
                                {"suppressed", doubt_lines_.TakeSuppressed()}});
}

void UpstreamCalls::LogOutcome(const UpstreamCall& call, const AcceptedRequest& request,
                               const AttemptOutcome& outcome) const {
  if (!log::IsEnabled(log::Level::debug)) return;
  log::Debug("attempt_ended",
             {{"id", request.id},
              {"attempt", outcome.attempt},
              {"endpoint", endpoints_.At(outcome.endpoint).id},
              {"destination", request.destination},
              {"outcome", NameOf(outcome.outcome)},
              {"connection", call.exchange().connection},
              {"connection_calls", call.exchange().position},
              {"duration_ms", std::lround(outcome.duration * kMillisecondsPerSecond)},
              {"retry_after_ms", std::lround(outcome.retry_after * kMillisecondsPerSecond)}});
}

void UpstreamCalls::OnServedLate(RequestId id) {
  const AcceptedRequest* request = requests_.Find(id);
  if (request != nullptr && request->IsOpen()) counters_.CountDelivered(request->request_class);
  EndWithoutOutcome(id);
}

void UpstreamCalls::EndWithoutOutcome(RequestId id) {
  AcceptedRequest* request = requests_.Find(id);
  if (request == nullptr || request->ended) return;
  requests_.End(*request);
  decisions_.Post(RequestAborted{id});
  requests_.RemoveIfDone(id);
}

void UpstreamCalls::OnCallEnded(UpstreamCall& call) {
  const auto it = calls_.find(&call);
  if (it == calls_.end()) return;
  --endpoints_.At(call.endpoint()).calls_in_flight;
  confirmation_.OnCallEnded(call.exchange().connection);
  for (const UpstreamCall::Attempt& attempt : call.attempts()) {
    if (attempt.call_continues) decisions_.Post(AttemptClosed{attempt.request_id, attempt.number});
  }
  loop_.Retire(std::move(it->second));
  calls_.erase(it);
  callbacks_.on_call_ended();
}

void UpstreamCalls::StartHealthCheck(EndpointId endpoint) {
  ++counters_.health_checks;
  EndpointTable::Endpoint& to = endpoints_.At(endpoint);
  ++to.calls_in_flight;
  const auto may_send = [this, endpoint] { return decisions_.router().MaySend(loop_.Now(), endpoint); };
  const auto done = [this](HealthCheckCall& ended, const HealthCheckOutcome& outcome) {
    --endpoints_.At(outcome.endpoint).calls_in_flight;
    const auto it = health_checks_.find(&ended);
    loop_.Retire(std::move(it->second));
    health_checks_.erase(it);
    decisions_.Post(outcome);
  };
  auto owned = std::make_unique<HealthCheckCall>(loop_, client_, endpoint, to.address,
                                                 config_.limits.upstream_connect_timeout, may_send, done);
  HealthCheckCall* check = owned.get();
  health_checks_.emplace(check, std::move(owned));
  check->Start();
}

}  // namespace opalroute
