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

// The other members may still be pending. With the last one the call ends; what was not written as a whole by
// then has not run.
void UpstreamCall::Abandon(Member& member, Outcome if_written, Outcome if_not) {
  if (ended_ || !member.pending) return;
  const bool last = PendingMembers().size() == 1;
  const auto state = last ? client_.Abandon(*this) : HttpClient::CallProgress{begun_, 0};
  const bool served = state.status == kHttpOk && !batch_;
  const Outcome outcome = state.written ? if_written : if_not;
  Settle(member, {served ? Outcome::kServed : outcome});
  EndIfSettled();
}

std::string UpstreamCall::OnReady() {
  RejectMembersThatMayNotBeSent();
  std::vector<const Member*> members = PendingMembers();
  if (members.empty()) {
    EndIfSettled();
    return {};
  }
  begun_ = true;
  requests_sent_ = static_cast<int>(members.size());
  batch_ = members.size() > 1;
  // The platform ends a call with the timeout of its first request, and a later answer is late for all of
  // them. So the first is the one with the longest timeout, and the timeout stated is its own.
  std::stable_sort(members.begin(), members.end(),
                   [](const Member* a, const Member* b) { return a->timeout_at > b->timeout_at; });
  const long remaining_ms = WholeMilliseconds(members.front()->timeout_at - loop_.Now());
  stated_timeout_at_ = loop_.Now() + static_cast<double>(remaining_ms) / kMillisecondsPerSecond;
  return WriteRequest(members, remaining_ms);
}

void UpstreamCall::RejectMembersThatMayNotBeSent() {
  for (Member& member : members_) {
    if (member.pending && !owner_.MaySend(*this, member)) Settle(member, {Outcome::kNotSent});
  }
  for (Member& member : members_) {
    if (member.pending && !owner_.RecordAttempt(*this, member)) Settle(member, {Outcome::kLocalShortage});
  }
}

std::vector<const UpstreamCall::Member*> UpstreamCall::PendingMembers() const {
  std::vector<const Member*> pending;
  for (const Member& member : members_) {
    if (member.pending) pending.push_back(&member);
  }
  return pending;
}

std::string UpstreamCall::WriteRequest(const std::vector<const Member*>& members, long remaining_ms) const {
  if (!batch_) return endpoint_protocol::WriteCall(to_, *members.front(), remaining_ms);
  const std::vector<const endpoint_protocol::OutgoingRequest*> requests(members.begin(), members.end());
  return endpoint_protocol::WriteBatchCall(to_, requests, remaining_ms);
}

bool UpstreamCall::StatusSuffices(int status) {
  if (status != kHttpOk || batch_) return false;
  answered_at_ = loop_.Now();
  return true;
}

void UpstreamCall::OnResponse(net::HttpMessage& answer) {
  const Seconds retry_after = endpoint_protocol::RetryAfterOf(answer);
  report_ = endpoint_protocol::LoadReportOf(answer);
  if (answered_at_ < 0) answered_at_ = loop_.Now();
  if (answer.status == kHttpOk && batch_) {
    OnBatchAnswer(answer, retry_after);
  } else {
    SettleAll(endpoint_protocol::ResultOf(to_, answer), retry_after);
  }
}

void UpstreamCall::OnBatchAnswer(const net::HttpMessage& answer, Seconds retry_after) {
  endpoint_protocol::BatchStates states = endpoint_protocol::ReadBatchStates(to_, answer);
  for (Member& member : members_) {
    const AttemptResult result = endpoint_protocol::ResultOfState(states[member.id]);
    if (member.pending) {
      Settle(member, result, retry_after);
    } else if (result.outcome == Outcome::kServed) {
      owner_.OnServedLate(member.request_id);
    }
  }
  EndIfSettled();
}

void UpstreamCall::OnFailure(HttpClient::Failure how, int status) {
  if (how == HttpClient::Failure::kNoLocalConnection) return SettleAll({Outcome::kLocalShortage});
  if (how != HttpClient::Failure::kReset) return SettleAll({Outcome::kConnectFailed});
  // A status line with 200 is a delivery, whatever becomes of the rest; for a batch the whole answer counts.
  const bool served = status == kHttpOk && !batch_;
  SettleAll({served ? Outcome::kServed : Outcome::kReset});
}

void UpstreamCall::SettleAll(AttemptResult result, Seconds retry_after) {
  for (Member& member : members_) Settle(member, result, retry_after);
  EndIfSettled();
}

void UpstreamCall::Settle(Member& member, AttemptResult result, Seconds retry_after) {
  if (!member.pending) return;
  // The loop reads sockets before it runs timers. An answer read in the turn in which its timeout ended is
  // late for the platform, which then waits for an answer that nobody would give.
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

void UpstreamCall::EndIfSettled() {
  const bool pending =
      std::any_of(members_.begin(), members_.end(), [](const Member& member) { return member.pending; });
  if (ended_ || pending) return;
  ended_ = true;
  owner_.OnCallEnded(*this);
}

}  // namespace opalroute
