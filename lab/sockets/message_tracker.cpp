#include "lab/sockets/message_tracker.h"

#include <algorithm>
#include <utility>

#include "lab/serve_call.h"

namespace opalroute::lab {

namespace {

// An attempt that arrives this long after the request's end is no breach: it may have been sent before the
// relay knew of the end.
constexpr Seconds kInFlightTolerance = 0.25;
// The same after an endpoint has told the relay that the request is over: the protocol's allowance for
// sockets.
constexpr Seconds kWithdrawalTolerance = 0.05;

// Shares of the time to a message's deadline, as in the standing test. A request counts as untried
// only if a restart finds it before the first share has passed; a notification before the second share ends
// it early.
constexpr double kUntriedShare = 0.5;
constexpr double kEarlyShare = 0.7;

}  // namespace

std::size_t MessageTracker::AddMessage(const Arrival& arrival) {
  messages_.push_back({arrival, false});
  tally_.CountOffered(arrival);
  return messages_.size() - 1;
}

Seconds MessageTracker::DeadlineOf(std::size_t message) const {
  const Arrival& arrival = messages_[message].arrival;
  return arrival.due + scenario_.classes[static_cast<std::size_t>(arrival.message_class)].rules.deadline;
}

std::uint64_t MessageTracker::Submit(Seconds now, int relay, std::size_t message) {
  ++tally_.result().submitted;
  ++open_;
  submissions_.emplace_back();
  submissions_.back().message = message;
  submissions_.back().relay = relay;
  const std::uint64_t id = submissions_.size();
  const Arrival& arrival = messages_[message].arrival;
  auditor_.OnAccepted(now, relay, id, message, arrival.message_class, world_.partners()[arrival.partner].id,
                      DeadlineOf(message));
  return id;
}

void MessageTracker::End(Seconds now, std::uint64_t id, Submission& submission, Auditor::End end) {
  auditor_.OnEnded(now, id, end);
  if (std::exchange(submission.ended, true)) return;
  submission.ended_at = now;
  --open_;
  Message& message = messages_[submission.message];
  if (end == Auditor::End::kDelivered && !std::exchange(message.delivered, true))
    tally_.CountDelivered(message.arrival, now);
  if (end == Auditor::End::kRejected) tally_.CountRejected(now);
  if (end == Auditor::End::kFailed) tally_.CountFailed(now);
}

void MessageTracker::OnAccepted(Seconds now, std::uint64_t id) {
  Submission& submission = *Find(id);
  submission.accepted = true;
  if (submission.served && !submission.ended) End(now, id, submission, Auditor::End::kDelivered);
}

void MessageTracker::OnRejected(Seconds now, std::uint64_t id) {
  End(now, id, *Find(id), Auditor::End::kRejected);
}
void MessageTracker::OnFailed(Seconds now, std::uint64_t id) {
  End(now, id, *Find(id), Auditor::End::kFailed);
}
void MessageTracker::OnWithdrawn(Seconds now, std::uint64_t id) {
  if (Find(id)->withdrawn_by_endpoint) return;
  Find(id)->withdrawn = true;
  End(now, id, *Find(id), Auditor::End::kAborted);
}

void MessageTracker::OnWithdrawnByEndpoint(Seconds now, std::uint64_t id) {
  Submission& submission = *Find(id);
  if (submission.ended) return;
  submission.withdrawn_by_endpoint = true;
  ++tally_.result().withdrawn;
  End(now, id, submission, Auditor::End::kWithdrawn);
}

void MessageTracker::OnRelayFrozen(int relay, Seconds until) {
  frozen_until_[relay] = std::max(frozen_until_[relay], until);
}

void MessageTracker::OnNotification(Seconds now, std::uint64_t id, Notification notification,
                                    Seconds retry_after) {
  Submission* submission = Find(id);
  if (submission != nullptr && submission->served && submission->accepted)
    ++tally_.result().notified_after_delivery;
  // A killed relay repeats notifications that it may not have delivered; the protocol calls that harmless.
  if (submission == nullptr || submission->ended) return;
  if (submission->found_untried && submission->attempts == 0 &&
      now < TimeAtShare(submission->message, kEarlyShare))
    ++untried_ended_;
  End(now, id, *submission,
      notification == Notification::kFailed ? Auditor::End::kFailed : Auditor::End::kRejected);
  if (notification == Notification::kRejected && on_rejected_after_accept)
    on_rejected_after_accept(submission->message, retry_after);
}

Seconds MessageTracker::TimeAtShare(std::size_t message, double share) const {
  const Arrival& arrival = messages_[message].arrival;
  return arrival.due + share * (DeadlineOf(message) - arrival.due);
}

void MessageTracker::OnRelayRestarted(Seconds now, int relay) {
  for (Submission& submission : submissions_) {
    const bool is_open = submission.relay == relay && submission.accepted && !submission.ended;
    if (!is_open || submission.attempts > 0 || submission.found_untried ||
        now > TimeAtShare(submission.message, kUntriedShare))
      continue;
    submission.found_untried = true;
    ++untried_;
  }
}

// A relay that was killed before it had read the 200 may send a delivered request again if its class allows
// it.
bool MessageTracker::MayBeResent(Seconds now, const Submission& submission) const {
  const RequestClass& rules =
      scenario_.classes[static_cast<std::size_t>(messages_[submission.message].arrival.message_class)].rules;
  if (!submission.served || rules.idempotency == Idempotency::kNonIdempotent) return false;
  return rules.idempotency == Idempotency::kIdempotent ||
         now <= submission.ended_at + rules.deduplication_window;
}

// Whether an attempt that arrives after the request's end breaks no rule.
bool MessageTracker::MayArriveAfterEnd(Seconds now, int relay, const Submission& submission) const {
  if (submission.withdrawn) return true;  // by its client; the relay doesn't know
  const auto frozen = frozen_until_.find(relay);
  const bool was_frozen = frozen != frozen_until_.end() && submission.ended_at <= frozen->second;
  const Seconds tolerance = submission.withdrawn_by_endpoint ? kWithdrawalTolerance : kInFlightTolerance;
  const auto killed = killed_at_.find(relay);
  const bool may_be_unread = submission.withdrawn_by_endpoint && killed != killed_at_.end() &&
                             killed->second >= submission.ended_at &&
                             killed->second <= submission.ended_at + tolerance;
  return may_be_unread || now <= (was_frozen ? frozen->second : submission.ended_at) + tolerance;
}

int MessageTracker::OnAttemptArrived(Seconds now, int relay, std::uint64_t id, EndpointId endpoint) {
  Submission* submission = Find(id);
  const bool ended = submission == nullptr || submission->ended;
  if (ended && submission != nullptr && MayBeResent(now, *submission)) return kRepeat;
  if (ended && submission != nullptr && MayArriveAfterEnd(now, relay, *submission)) return kVoid;
  auditor_.OnSent(now, relay, id, endpoint);  // reports a breach if the request has ended
  if (ended) return kVoid;
  ++tally_.result().attempts;
  return submission->attempts++;
}

void MessageTracker::OnExecuted(Seconds now, std::uint64_t id) { auditor_.OnRan(now, id); }

void MessageTracker::OnAttemptEnded(Seconds now, std::uint64_t id, int attempt, Outcome outcome) {
  Submission& submission = *Find(id);
  tally_.CountAttempt(outcome);
  auditor_.OnAttemptEnded(id, attempt, !decision::ProvesNeverRan(outcome));
  if (outcome != Outcome::kServed) return;
  submission.served = true;
  // The message counts as delivered only once its client has read the 202, too. An earlier end is final.
  if (submission.accepted && !submission.ended) End(now, id, submission, Auditor::End::kDelivered);
}

}  // namespace opalroute::lab
