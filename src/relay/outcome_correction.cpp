#include "relay/outcome_correction.h"

#include "decision/outcome.h"
#include "log/log.h"
#include "relay/outcome_names.h"

namespace opalroute {

namespace {

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

const char* NameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kEnded:
      return "ended";
    case Verdict::kNeverRan:
      return "never_ran";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kMayBeOver:
      return "may_be_over";
  }
  return "unknown";
}

}  // namespace

OutcomeCorrection::OutcomeCorrection(net::EventLoop& loop, net::HttpClient& client, const Config& config,
                                     Counters& counters, EndpointTable& endpoints, RequestTable& requests,
                                     DecisionLoop& decisions, Callbacks callbacks)
    : loop_(loop),
      config_(config),
      counters_(counters),
      endpoints_(endpoints),
      requests_(requests),
      decisions_(decisions),
      callbacks_(std::move(callbacks)),
      confirmation_(loop, client, config.limits, endpoints, counters, *this),
      doubt_lines_(config.limits.request_log_lines) {}

void OutcomeCorrection::OnResponse(const UpstreamCall& call, const AttemptOutcome& outcome) {
  const net::Exchange& exchange = call.exchange();
  confirmation_.OnResponse(exchange.connection,
                           {exchange.position, MeaningOf(outcome.outcome, outcome.request_ended)});
}

void OutcomeCorrection::Hold(const UpstreamCall& call, AcceptedRequest& request,
                             const AttemptOutcome& outcome) {
  UnconfirmedOutcome unconfirmed;
  unconfirmed.request_id = outcome.request_id;
  unconfirmed.attempt = outcome.attempt;
  unconfirmed.endpoint = outcome.endpoint;
  unconfirmed.place = call.exchange().position;
  unconfirmed.outcome = outcome.outcome;
  unconfirmed.request_ended = outcome.request_ended;
  unconfirmed.deadline = request.deadline;
  confirmation_.Add(call.exchange().connection, unconfirmed, call.stated_timeout_at());
  if (unconfirmed.Meaning() == ResponseMeaning::kOver) callbacks_.on_may_be_over(outcome.request_id);
  if (!outcome.request_ended || !request.IsOpen()) return;
  if (outcome.outcome == Outcome::kServed) counters_.CountDelivered(request.request_class);
  requests_.AwaitConfirmation(request);
}

void OutcomeCorrection::OnCallWritten(const UpstreamCall& call) {
  confirmation_.OnCallWritten(call.exchange().connection);
}

void OutcomeCorrection::OnCallEnded(const UpstreamCall& call) {
  confirmation_.OnCallEnded(call.exchange().connection);
}

void OutcomeCorrection::OnCallUnanswered(const UpstreamCall& call) {
  confirmation_.OnCallUnanswered(call.exchange().connection);
}

void OutcomeCorrection::OnConfirmed(const UnconfirmedOutcome& outcome) {
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

void OutcomeCorrection::OnDoubted(const JudgedOutcome& judged, DoubtCause cause) {
  const UnconfirmedOutcome& outcome = judged.outcome;
  AcceptedRequest* request = requests_.Find(outcome.request_id);
  if (request == nullptr || request->ended) return;
  LogDoubt(*request, judged, cause);
  const bool is_open = request->IsOpen();
  const bool may_be_over = request->may_be_over || judged.verdict == Verdict::kMayBeOver;
  const bool counts_as_ended = outcome.request_ended && !is_open;
  if (counts_as_ended && outcome.outcome == Outcome::kServed)
    counters_.UncountDelivered(request->request_class);
  if (may_be_over && (is_open || counts_as_ended)) return EndUnsent(outcome.request_id);
  if (may_be_over) return callbacks_.on_may_be_over(outcome.request_id);  // it counts as ended by another
  if (!outcome.request_ended) return DoubtRejection(outcome.request_id, outcome.attempt);
  if (counts_as_ended) Reopen(outcome.request_id, *request);
}

void OutcomeCorrection::EndUnsent(RequestId request_id) {
  AcceptedRequest* request = requests_.Find(request_id);
  if (request == nullptr || request->ended) return;
  callbacks_.on_may_be_over(request_id);
  if (request->IsOpen()) decisions_.Post(RequestAborted{request_id});
  callbacks_.on_failed(request_id);
}

// The router may end the request over it.
void OutcomeCorrection::DoubtRejection(RequestId request_id, int attempt) {
  AcceptedRequest* request = requests_.Find(request_id);
  if (request == nullptr || request->ended) return;
  request->doubted_attempts.push_back(attempt);
  if (request->IsOpen()) decisions_.Post(AttemptMayHaveRun{request_id, attempt});
}

// What is known of the request's attempts, and what is still unconfirmed of them, passes to the new entry,
// whose attempts have the numbers that they have in the journal.
void OutcomeCorrection::Reopen(RequestId request_id, AcceptedRequest& request) {
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

void OutcomeCorrection::OnUnmatchedRetryAfter(EndpointId id, Seconds retry_after) {
  const EndpointTable::Endpoint& endpoint = endpoints_.At(id);
  RouteState state;
  state.destination = endpoint.destination;
  if (KindOf(config_.settings, endpoint.kind).limits_per_endpoint) state.endpoint = id;
  state.retry_after = retry_after + config_.settings.tick;
  decisions_.Post(TransferredState{{state}});
  callbacks_.on_retry_after(id, retry_after);
}

void OutcomeCorrection::LogDoubt(const AcceptedRequest& request, const JudgedOutcome& judged,
                                 DoubtCause cause) {
  if (!doubt_lines_.MayLog(static_cast<std::int64_t>(loop_.Now()))) return;
  const UnconfirmedOutcome& outcome = judged.outcome;
  const bool is_sent_again = outcome.request_ended && judged.verdict == Verdict::kMayHaveRun;
  log::Info("outcome_doubted", {{"id", request.id},
                                {"attempt", outcome.attempt},
                                {"endpoint", endpoints_.NameOf(outcome.endpoint)},
                                {"outcome", NameOf(outcome.outcome)},
                                {"why", NameOf(cause)},
                                {"verdict", NameOf(judged.verdict)},
                                {"taken_up_again", is_sent_again && !request.may_be_over},
                                {"suppressed", doubt_lines_.TakeSuppressed()}});
}

}  // namespace opalroute
