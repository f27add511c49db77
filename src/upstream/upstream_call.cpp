#include "upstream/upstream_call.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace opalroute {

using endpoint_protocol::AttemptResult;
using net::HttpClient;

namespace {

constexpr int kHttpOk = 200;
constexpr double kMillisecondsPerSecond = 1000;

long WholeMilliseconds(Seconds time) {
  return std::max(1L, static_cast<long>(std::floor(time * kMillisecondsPerSecond)));
}

}  // namespace

UpstreamCall::UpstreamCall(net::EventLoop& loop, HttpClient& client, EndpointId endpoint, const net::Peer& to,
                           std::vector<Attempt> attempts, Owner& owner)
    : loop_(loop),
      client_(client),
      endpoint_(endpoint),
      to_(to),
      attempts_(std::move(attempts)),
      owner_(owner),
      started_(loop.Now()) {}

UpstreamCall::~UpstreamCall() {
  for (Attempt& attempt : attempts_) loop_.Cancel(attempt.timer);
  if (!ended_) client_.Abandon(*this);
}

void UpstreamCall::Start() {
  for (Attempt& started : attempts_) {
    Attempt* attempt = &started;
    attempt->timer = loop_.At(attempt->timeout_at, [this, attempt] {
      attempt->timer = 0;
      Abandon(*attempt, Outcome::kTimeout, Outcome::kConnectFailed);
    });
  }
  client_.Start(to_, *this);
}

void UpstreamCall::Cancel(RequestId request, int attempt) {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(), [&](const Attempt& candidate) {
    return candidate.request_id == request && candidate.number == attempt;
  });
  if (found != attempts_.end()) Abandon(*found, Outcome::kCancelled, Outcome::kNotSent);
}

// Gives up one attempt. The connection is given up only with the last pending attempt; a call that had not
// been written completely by then has not run.
void UpstreamCall::Abandon(Attempt& attempt, Outcome if_written, Outcome if_not_written) {
  if (ended_ || !attempt.pending) return;
  const bool last = PendingAttempts().size() == 1;
  const auto state = last ? client_.Abandon(*this) : HttpClient::CallProgress{send_started_, 0};
  const auto result = endpoint_protocol::ResultOfStatus(state.status, is_batch_);
  attempt.call_continues = !last && send_started_;
  const Outcome outcome = state.written ? if_written : if_not_written;
  if (last && state.written && !result && outcome == Outcome::kTimeout) owner_.OnUnanswered(*this);
  if (result) {
    Complete(attempt, *result, 0, PairingByOrder());
  } else {
    Complete(attempt, {outcome});
  }
  EndIfAllComplete();
}

std::string UpstreamCall::OnReady() {
  WithholdUnsendableAttempts();
  std::vector<const Attempt*> attempts = PendingAttempts();
  if (attempts.empty()) {
    EndIfAllComplete();
    return {};
  }
  send_started_ = true;
  requests_sent_ = static_cast<int>(attempts.size());
  is_batch_ = attempts.size() > 1;
  // The platform ends a call at the timeout of its first request, and a response after that is late for all
  // of them. So the request with the latest timeout goes first, and the call states that timeout.
  std::stable_sort(attempts.begin(), attempts.end(),
                   [](const Attempt* a, const Attempt* b) { return a->timeout_at > b->timeout_at; });
  const long remaining_ms = WholeMilliseconds(attempts.front()->timeout_at - loop_.Now());
  stated_timeout_at_ = loop_.Now() + static_cast<double>(remaining_ms) / kMillisecondsPerSecond;
  return FormatRequests(attempts, remaining_ms);
}

void UpstreamCall::WithholdUnsendableAttempts() {
  for (Attempt& attempt : attempts_) {
    if (attempt.pending && !owner_.MaySend(*this, attempt)) Complete(attempt, {Outcome::kNotSent});
  }
  for (Attempt& attempt : attempts_) {
    if (attempt.pending && !owner_.RecordAttempt(*this, attempt))
      Complete(attempt, {Outcome::kLocalShortage});
  }
}

std::vector<const UpstreamCall::Attempt*> UpstreamCall::PendingAttempts() const {
  std::vector<const Attempt*> pending;
  for (const Attempt& attempt : attempts_) {
    if (attempt.pending) pending.push_back(&attempt);
  }
  return pending;
}

std::string UpstreamCall::FormatRequests(const std::vector<const Attempt*>& attempts,
                                         long remaining_ms) const {
  if (!is_batch_) return endpoint_protocol::FormatCall(to_.address, *attempts.front(), remaining_ms);
  const std::vector<const endpoint_protocol::OutgoingRequest*> requests(attempts.begin(), attempts.end());
  return endpoint_protocol::FormatBatchCall(to_.address, requests, remaining_ms);
}

bool UpstreamCall::RequiresNewConnection() const {
  return std::any_of(attempts_.begin(), attempts_.end(), [](const Attempt& attempt) {
    return attempt.pending && attempt.requires_new_connection;
  });
}

bool UpstreamCall::StatusSuffices(int status) {
  if (!endpoint_protocol::ResultOfStatus(status, is_batch_)) return false;
  responded_at_ = loop_.Now();
  return true;
}

void UpstreamCall::OnResponse(net::HttpMessage& response) {
  const Seconds retry_after = endpoint_protocol::RetryAfterOf(response);
  report_ = endpoint_protocol::LoadReportOf(response);
  if (responded_at_ < 0) responded_at_ = loop_.Now();
  if (response.status == kHttpOk && is_batch_) {
    OnBatchResponse(response, retry_after);
  } else {
    CompleteAll(endpoint_protocol::ResultOf(to_.address, response), retry_after, PairingByOrder());
  }
}

void UpstreamCall::OnBatchResponse(const net::HttpMessage& response, Seconds retry_after) {
  endpoint_protocol::BatchStates states = endpoint_protocol::ParseBatchStates(to_.address, response);
  for (Attempt& attempt : attempts_) {
    const AttemptResult result = endpoint_protocol::ResultOfBatchState(states[attempt.id]);
    if (attempt.pending) {
      Complete(attempt, result, retry_after, ResponsePairing::kByName);
    } else if (result.request_ended) {
      owner_.OnEndedLate(*this, attempt, result.outcome);
    }
  }
  EndIfAllComplete();
}

void UpstreamCall::OnFailure(HttpClient::Failure how, int status) {
  if (how == HttpClient::Failure::kNoLocalConnection) return CompleteAll({Outcome::kLocalShortage});
  if (how != HttpClient::Failure::kReset) {
    if (how == HttpClient::Failure::kNotWritten) owner_.OnUnanswered(*this);
    return CompleteAll({Outcome::kConnectFailed});
  }
  const auto result = endpoint_protocol::ResultOfStatus(status, is_batch_);
  if (result) return CompleteAll(*result, 0, PairingByOrder());
  owner_.OnUnanswered(*this);
  CompleteAll({Outcome::kReset});
}

ResponsePairing UpstreamCall::PairingByOrder() const {
  return exchange().IsFirst() ? ResponsePairing::kCertain : ResponsePairing::kByOrder;
}

void UpstreamCall::CompleteAll(AttemptResult result, Seconds retry_after, ResponsePairing pairing) {
  for (Attempt& attempt : attempts_) Complete(attempt, result, retry_after, pairing);
  EndIfAllComplete();
}

void UpstreamCall::Complete(Attempt& attempt, AttemptResult result, Seconds retry_after,
                            ResponsePairing pairing) {
  if (!attempt.pending) return;
  // The event loop reads sockets before it runs timers, so a response may be read in the iteration in which
  // its timeout expired. The platform treats that response as late and goes on waiting for an outcome, so it
  // must not count as served.
  const bool late = responded_at_ >= std::min(attempt.timeout_at, stated_timeout_at_);
  if (result.outcome == Outcome::kServed && late) result = {Outcome::kTimeout};
  attempt.pending = false;
  loop_.Cancel(attempt.timer);
  AttemptOutcome outcome;
  outcome.request_id = attempt.request_id;
  outcome.attempt = attempt.number;
  outcome.endpoint = endpoint_;
  outcome.outcome = result.outcome;
  outcome.duration = loop_.Now() - started_;
  outcome.retry_after = result.outcome == Outcome::kRejected ? retry_after : 0;
  outcome.request_ended = result.request_ended || result.outcome == Outcome::kServed;
  outcome.call_continues = attempt.call_continues;
  outcome.load_report = report_;
  owner_.OnOutcome(*this, attempt, outcome, pairing);
}

void UpstreamCall::EndIfAllComplete() {
  const bool pending =
      std::any_of(attempts_.begin(), attempts_.end(), [](const Attempt& attempt) { return attempt.pending; });
  if (ended_ || pending) return;
  ended_ = true;
  owner_.OnCallEnded(*this);
}

}  // namespace opalroute
