#include "relay/upstream_calls.h"

#include <algorithm>
#include <cmath>

#include "decision/outcome.h"
#include "discovery/srv_target.h"
#include "log/log.h"
#include "relay/outcome_names.h"

namespace opalroute {

namespace {

constexpr double kMillisecondsPerSecond = 1000;

bool MeansOver(const AttemptOutcome& outcome) {
  return outcome.request_ended && outcome.outcome != Outcome::kServed;
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
      correction_(loop, client, config, counters, endpoints, requests, decisions, callbacks_),
      held_back_lines_(config.limits.request_log_lines),
      over_lines_(config.limits.request_log_lines) {}

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
  const EndpointKind kind = KindOf(config_.settings, endpoints_.At(send.endpoint).kind);
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
  auto owned = std::make_unique<UpstreamCall>(loop_, client_, endpoint, endpoints_.PeerOf(endpoint),
                                              std::move(batch), owner);
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
  if (!(endpoints_.PeerOf(call.endpoint()) == call.peer()))
    return "another process has taken the endpoint's place";
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
  const AcceptedRequest& request = requests_.At(attempt.request_id);
  const char* why = ReasonNotToSend(call, attempt, request);
  if (why == nullptr) return true;
  ++counters_.withheld;
  if (!request.IsOpen()) LogHeldBack(call, attempt);
  LogSendDecision("attempt_not_sent", call, attempt, why);
  return false;
}

void UpstreamCalls::LogHeldBack(const UpstreamCall& call, const UpstreamCall::Attempt& attempt) {
  ++counters_.attempts_held_back;
  if (!held_back_lines_.MayLog(static_cast<std::int64_t>(loop_.Now()))) return;
  log::Info("attempt_held_back", {{"id", attempt.id},
                                  {"attempt", attempt.number},
                                  {"endpoint", endpoints_.NameOf(call.endpoint())},
                                  {"why", "the request has ended"},
                                  {"suppressed", held_back_lines_.TakeSuppressed()}});
}

// An attempt must be recorded before it is sent: otherwise a restarted relay would not know of it.
bool UpstreamCalls::RecordAttempt(const UpstreamCall& call, const UpstreamCall::Attempt& attempt) {
  const EndpointTable::Endpoint& endpoint = endpoints_.At(call.endpoint());
  JournalAttempt record;
  record.endpoint = endpoint.id;
  record.zone = NameOf(config_, endpoint.zone);
  record.zone_confirmed = endpoint.zone && IsSrvEndpointId(endpoint.id);
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
  if (MeansOver(outcome)) LogOver(call, request, outcome, pairing);
  AttemptOutcome event = outcome;
  event.request_ended = outcome.request_ended || !request.IsOpen();
  if (pairing != ResponsePairing::kCertain) correction_.OnResponse(call, outcome);
  if (!request.ended && pairing == ResponsePairing::kByOrder) {
    correction_.Hold(call, request, outcome);
  } else if (!request.ended) {
    RecordOutcome(request, outcome);
  }
  decisions_.Post(event);
  const bool was_reopened = requests_.CurrentId(attempt.id) != attempt.request_id;
  if (was_reopened && outcome.request_ended) EndReopened(attempt, outcome, pairing);
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

void UpstreamCalls::OnWritten(const UpstreamCall& call, int requests) {
  counters_.requests_written += requests;
  correction_.OnCallWritten(call);
}

void UpstreamCalls::OnUnanswered(const UpstreamCall& call) { correction_.OnCallUnanswered(call); }

// The endpoint has stated that the request is over, although it has not run.
void UpstreamCalls::LogOver(const UpstreamCall& call, const AcceptedRequest& request,
                            const AttemptOutcome& outcome, ResponsePairing pairing) {
  ++counters_.requests_over;
  if (!over_lines_.MayLog(static_cast<std::int64_t>(loop_.Now()))) return;
  log::Info("request_over", {{"id", request.id},
                             {"attempt", outcome.attempt},
                             {"endpoint", endpoints_.NameOf(outcome.endpoint)},
                             {"connection", call.exchange().connection},
                             {"connection_calls", call.exchange().position},
                             {"certain", pairing != ResponsePairing::kByOrder},
                             {"ended_before", !request.IsOpen()},
                             {"suppressed", over_lines_.TakeSuppressed()}});
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

void UpstreamCalls::OnEndedLate(const UpstreamCall&, const UpstreamCall::Attempt& attempt, Outcome outcome) {
  EndByName(attempt.id, outcome);
}

// Ends the request that has this id now: it may have been reopened since the attempt was sent.
void UpstreamCalls::EndByName(const std::string& client_id, Outcome outcome) {
  const RequestId current = requests_.CurrentId(client_id);
  const AcceptedRequest* request = requests_.Find(current);
  if (request == nullptr) return;
  if (request->IsOpen() && outcome == Outcome::kServed) counters_.CountDelivered(request->request_class);
  EndWithoutOutcome(current);
}

// An attempt of a request that was reopened meanwhile has brought its end.
void UpstreamCalls::EndReopened(const UpstreamCall::Attempt& attempt, const AttemptOutcome& outcome,
                                ResponsePairing pairing) {
  if (pairing != ResponsePairing::kByOrder) return EndByName(attempt.id, outcome.outcome);
  if (MeansOver(outcome)) correction_.EndUnsent(requests_.CurrentId(attempt.id));
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
  correction_.OnCallEnded(call);
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
  const net::Peer peer = endpoints_.PeerOf(endpoint);
  const auto may_send = [this, endpoint, peer] {
    return endpoints_.PeerOf(endpoint) == peer && decisions_.router().MaySend(loop_.Now(), endpoint);
  };
  const auto done = [this](HealthCheckCall& ended, const HealthCheckOutcome& outcome) {
    --endpoints_.At(outcome.endpoint).calls_in_flight;
    const auto it = health_checks_.find(&ended);
    loop_.Retire(std::move(it->second));
    health_checks_.erase(it);
    decisions_.Post(outcome);
  };
  auto owned = std::make_unique<HealthCheckCall>(loop_, client_, endpoint, peer,
                                                 config_.limits.upstream_connect_timeout, may_send, done);
  HealthCheckCall* check = owned.get();
  health_checks_.emplace(check, std::move(owned));
  check->Start();
}

}  // namespace opalroute
