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

UpstreamCall::UpstreamCall(net::EventLoop& loop, HttpClient& client, EndpointId endpoint,
                           const sockaddr_in& to, std::vector<Member> members, Owner& owner)
    : loop_(loop),
      client_(client),
      endpoint_(endpoint),
      to_(to),
      members_(std::move(members)),
      owner_(owner),
      started_(loop.Now()) {}

UpstreamCall::~UpstreamCall() {
  for (Member& member : members_) loop_.Cancel(member.timer);
  if (!ended_) client_.Abandon(*this);
}

void UpstreamCall::Start() {
  for (Member& started : members_) {
    Member* member = &started;
    member->timer = loop_.At(member->timeout_at, [this, member] {
      member->timer = 0;
      Abandon(*member, Outcome::kTimeout, Outcome::kConnectFailed);
    });
  }
  client_.Start({to_, endpoint_}, *this);
}

void UpstreamCall::Cancel(RequestId request, int attempt) {
  const auto member = std::find_if(members_.begin(), members_.end(), [&](const Member& candidate) {
    return candidate.request_id == request && candidate.attempt == attempt;
  });
  if (member != members_.end()) Abandon(*member, Outcome::kCancelled, Outcome::kNotSent);
}

// Gives up one member. The connection is given up only with the last pending member; a call that had not been
// written completely by then has not run.
void UpstreamCall::Abandon(Member& member, Outcome if_written, Outcome if_not_written) {
  if (ended_ || !member.pending) return;
  const bool last = PendingMembers().size() == 1;
  const auto state = last ? client_.Abandon(*this) : HttpClient::CallProgress{send_started_, 0};
  const bool served = state.status == kHttpOk && !is_batch_;
  const Outcome outcome = state.written ? if_written : if_not_written;
  Complete(member, {served ? Outcome::kServed : outcome});
  EndIfAllComplete();
}

std::string UpstreamCall::OnReady() {
  WithholdUnsendableMembers();
  std::vector<const Member*> members = PendingMembers();
  if (members.empty()) {
    EndIfAllComplete();
    return {};
  }
  send_started_ = true;
  requests_sent_ = static_cast<int>(members.size());
  is_batch_ = members.size() > 1;
  // The platform ends a call at the timeout of its first request, and a response after that is late for all
  // of them. So the request with the latest timeout goes first, and the call states that timeout.
  std::stable_sort(members.begin(), members.end(),
                   [](const Member* a, const Member* b) { return a->timeout_at > b->timeout_at; });
  const long remaining_ms = WholeMilliseconds(members.front()->timeout_at - loop_.Now());
  stated_timeout_at_ = loop_.Now() + static_cast<double>(remaining_ms) / kMillisecondsPerSecond;
  return FormatRequests(members, remaining_ms);
}

void UpstreamCall::WithholdUnsendableMembers() {
  for (Member& member : members_) {
    if (member.pending && !owner_.MaySend(*this, member)) Complete(member, {Outcome::kNotSent});
  }
  for (Member& member : members_) {
    if (member.pending && !owner_.RecordAttempt(*this, member)) Complete(member, {Outcome::kLocalShortage});
  }
}

std::vector<const UpstreamCall::Member*> UpstreamCall::PendingMembers() const {
  std::vector<const Member*> pending;
  for (const Member& member : members_) {
    if (member.pending) pending.push_back(&member);
  }
  return pending;
}

std::string UpstreamCall::FormatRequests(const std::vector<const Member*>& members, long remaining_ms) const {
  if (!is_batch_) return endpoint_protocol::FormatCall(to_, *members.front(), remaining_ms);
  const std::vector<const endpoint_protocol::OutgoingRequest*> requests(members.begin(), members.end());
  return endpoint_protocol::FormatBatchCall(to_, requests, remaining_ms);
}

bool UpstreamCall::StatusSuffices(int status) {
  if (status != kHttpOk || is_batch_) return false;
  answered_at_ = loop_.Now();
  return true;
}

void UpstreamCall::OnResponse(net::HttpMessage& answer) {
  const Seconds retry_after = endpoint_protocol::RetryAfterOf(answer);
  report_ = endpoint_protocol::LoadReportOf(answer);
  if (answered_at_ < 0) answered_at_ = loop_.Now();
  if (answer.status == kHttpOk && is_batch_) {
    OnBatchResponse(answer, retry_after);
  } else {
    CompleteAll(endpoint_protocol::ResultOf(to_, answer), retry_after);
  }
}

void UpstreamCall::OnBatchResponse(const net::HttpMessage& response, Seconds retry_after) {
  endpoint_protocol::BatchStates states = endpoint_protocol::ParseBatchStates(to_, response);
  for (Member& member : members_) {
    const AttemptResult result = endpoint_protocol::ResultOfBatchState(states[member.id]);
    if (member.pending) {
      Complete(member, result, retry_after);
    } else if (result.outcome == Outcome::kServed) {
      owner_.OnServedLate(member.request_id);
    }
  }
  EndIfAllComplete();
}

void UpstreamCall::OnFailure(HttpClient::Failure how, int status) {
  if (how == HttpClient::Failure::kNoLocalConnection) return CompleteAll({Outcome::kLocalShortage});
  if (how != HttpClient::Failure::kReset) return CompleteAll({Outcome::kConnectFailed});
  // A status line with 200 confirms the delivery even if the rest of the response is lost. A batch needs its
  // whole response, which holds the state of each request.
  const bool served = status == kHttpOk && !is_batch_;
  CompleteAll({served ? Outcome::kServed : Outcome::kReset});
}

void UpstreamCall::CompleteAll(AttemptResult result, Seconds retry_after) {
  for (Member& member : members_) Complete(member, result, retry_after);
  EndIfAllComplete();
}

void UpstreamCall::Complete(Member& member, AttemptResult result, Seconds retry_after) {
  if (!member.pending) return;
  // The event loop reads sockets before it runs timers, so a response may be read in the iteration in which
  // its timeout expired. The platform treats that response as late and goes on waiting for an outcome, so it
  // must not count as served.
  const bool late = answered_at_ >= std::min(member.timeout_at, stated_timeout_at_);
  if (result.outcome == Outcome::kServed && late) result = {Outcome::kTimeout};
  member.pending = false;
  loop_.Cancel(member.timer);
  AttemptOutcome outcome;
  outcome.request_id = member.request_id;
  outcome.attempt = member.attempt;
  outcome.endpoint = endpoint_;
  outcome.outcome = result.outcome;
  outcome.duration = loop_.Now() - started_;
  outcome.retry_after = result.outcome == Outcome::kRejected ? retry_after : 0;
  outcome.request_ended = result.request_ended || result.outcome == Outcome::kServed;
  outcome.load_report = report_;
  owner_.OnOutcome(*this, member, outcome);
}

void UpstreamCall::EndIfAllComplete() {
  const bool pending =
      std::any_of(members_.begin(), members_.end(), [](const Member& member) { return member.pending; });
  if (ended_ || pending) return;
  ended_ = true;
  owner_.OnCallEnded(*this);
}

}  // namespace opalroute
