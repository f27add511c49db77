#include "relay/outcome_confirmation.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "log/log.h"
#include "net/address.h"
#include "upstream/endpoint_protocol.h"

namespace opalroute {
namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr EndOfResponses kNothingRead{ResponseMeaning::kMayHaveRun, false};

// Bytes that are no response may have been the beginning of any.
ResponseMeaning MeaningOfSurplus(const net::Peer& peer, const net::HttpMessage& response) {
  if (response.status == 0) return ResponseMeaning::kMayHaveRun;
  const endpoint_protocol::AttemptResult result = endpoint_protocol::ResultOf(peer.address, response);
  return MeaningOf(result.outcome, result.request_ended);
}

}  // namespace

OutcomeConfirmation::OutcomeConfirmation(net::EventLoop& loop, net::HttpClient& client, const Limits& limits,
                                         const EndpointTable& endpoints, Counters& counters, Owner& owner)
    : loop_(loop),
      client_(client),
      limits_(limits),
      endpoints_(endpoints),
      counters_(counters),
      owner_(owner),
      reuse_policy_(limits.endpoint_reuse_suspension, limits.reuse_suspension, limits.doubt_reuse_suspension),
      line_limiter_(limits.unmatched_response_log_lines),
      confirmation_timer_(loop),
      close_timer_(loop) {
  client_.SetObserver(this);
}

OutcomeConfirmation::~OutcomeConfirmation() { client_.SetObserver(nullptr); }

void OutcomeConfirmation::Add(std::uint64_t connection, UnconfirmedOutcome outcome,
                              Seconds stated_timeout_at) {
  const Seconds now = loop_.Now();
  outcome.confirmed_at =
      std::clamp(stated_timeout_at, now + limits_.min_confirmation_time, now + limits_.max_confirmation_time);
  outcomes_.Add(connection, outcome);
  ArmTimer();
}

void OutcomeConfirmation::ArmTimer() {
  const Seconds due = outcomes_.NextDue();
  if (due == std::numeric_limits<Seconds>::infinity()) return confirmation_timer_.Cancel();
  confirmation_timer_.Start(due, [this] { ConfirmDue(); });
}

void OutcomeConfirmation::ConfirmDue() {
  for (const UnconfirmedOutcome& outcome : outcomes_.TakeConfirmed(loop_.Now())) owner_.OnConfirmed(outcome);
  ArmTimer();
}

void OutcomeConfirmation::Reassign(RequestId from, RequestId to, const std::vector<int>& attempts) {
  outcomes_.Reassign(from, to, attempts);
}

void OutcomeConfirmation::OnCallWritten(std::uint64_t connection) {
  outcomes_.OnCallWritten(connection);
  ArmTimer();
}

void OutcomeConfirmation::OnCallEnded(std::uint64_t connection) {
  outcomes_.OnCallEnded(connection);
  ArmTimer();
}

void OutcomeConfirmation::OnCallUnanswered(std::uint64_t connection) {
  Settle(outcomes_.TakeOf(connection, kNothingRead), DoubtCause::kCallUnanswered);
}

void OutcomeConfirmation::OnUnmatchedInput(const net::Peer& peer, const net::UnmatchedInput& input) {
  if (input.connection_ended)
    return Settle(outcomes_.TakeOf(input.connection, kNothingRead), DoubtCause::kConnectionEnded);
  const std::vector<JudgedOutcome> outcomes =
      outcomes_.TakeOf(input.connection, {MeaningOfSurplus(peer, input.response), true});
  ++counters_.unmatched_responses;
  LogUnmatchedInput(peer, input, outcomes.size());
  const bool is_response = input.response.status != 0;  // other bytes could be credited to no call
  if (is_response && !input.came_with_response) SuspendReuse(peer);
  const Seconds retry_after = endpoint_protocol::RetryAfterOf(input.response);
  if (retry_after > 0 && endpoints_.Contains(peer.number))
    owner_.OnUnmatchedRetryAfter(peer.number, retry_after);
  Settle(outcomes, DoubtCause::kUnmatchedResponse);
}

void OutcomeConfirmation::Settle(const std::vector<JudgedOutcome>& outcomes, DoubtCause cause) {
  for (const JudgedOutcome& judged : outcomes) {
    if (judged.IsConfirmed()) {
      owner_.OnConfirmed(judged.outcome);
    } else {
      ++counters_.doubted_outcomes;
      reuse_policy_.OnDoubtedOutcome(loop_.Now(), judged.outcome.endpoint);
      owner_.OnDoubted(judged, cause);
    }
  }
  ArmTimer();
}

bool OutcomeConfirmation::MayReuseConnection(const net::Peer& peer) const {
  return reuse_policy_.MayReuse(loop_.Now(), peer.number);
}

void OutcomeConfirmation::SuspendReuse(const net::Peer& peer) {
  if (!reuse_policy_.OnUnmatchedResponse(loop_.Now(), peer.number)) return;
  ++counters_.reuse_suspensions;
  log::Warn("connection_reuse_suspended", {{"endpoint", endpoints_.NameOf(peer.number)},
                                           {"for_s", limits_.endpoint_reuse_suspension},
                                           {"others_for_s", limits_.reuse_suspension}});
  // Until then the outcomes that rest on idle connections are confirmed or come into doubt.
  close_timer_.Start(loop_.Now() + limits_.max_confirmation_time, [this] { CloseIdleConnections(); });
}

void OutcomeConfirmation::CloseIdleConnections() {
  for (const EndpointId endpoint : endpoints_.Listed()) client_.CloseIdle(endpoints_.PeerOf(endpoint));
}

void OutcomeConfirmation::LogUnmatchedInput(const net::Peer& peer, const net::UnmatchedInput& input,
                                            std::size_t doubted) {
  if (!line_limiter_.MayLog(static_cast<std::int64_t>(loop_.Now()))) return;
  log::Warn("response_unmatched",
            {{"endpoint", endpoints_.NameOf(peer.number)},
             {"address", net::FormatAddress(peer.address)},
             {"status", input.response.status},
             {"connection", input.connection},
             {"connection_calls", input.calls},
             {"since_response_ms", std::lround(input.since_last_response * kMillisecondsPerSecond)},
             {"unconfirmed", doubted},
             {"suppressed", line_limiter_.TakeSuppressed()}});
}

}  // namespace opalroute
