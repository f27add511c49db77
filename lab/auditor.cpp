#include "lab/auditor.h"

#include <algorithm>
#include <cstdio>

namespace opalroute::lab {

const char* NameOf(BreachKind kind) {
  switch (kind) {
    case BreachKind::kTwoAnswers:
      return "two_answers";
    case BreachKind::kNoAnswer:
      return "no_answer";
    case BreachKind::kSentAfterEnd:
      return "sent_after_end";
    case BreachKind::kNonIdempotentRepeat:
      return "unsafe_repeat";
    case BreachKind::kDeduplicatedRepeat:
      return "keyed_repeat";
    case BreachKind::kNonIdempotentRanTwice:
      return "ran_twice";
    case BreachKind::kDeduplicatedRanTwice:
      return "key_ran_twice";
    case BreachKind::kUnsafeRejection:
      return "unsafe_refused";
    case BreachKind::kSentDuringRetryAfter:
      return "in_wait";
    case BreachKind::kSentToDrained:
      return "drained";
    case BreachKind::kForeignEndpoint:
      return "foreign_endpoint";
    case BreachKind::kRecoveryOverload:
      return "pushed_over";
    case BreachKind::kQuotaExceeded:
      return "over_parts";
    case BreachKind::kStalledClient:
      return "stalled_client";
    case BreachKind::kClosedUnanswered:
      return "closed_unanswered";
    case BreachKind::kNotReady:
      return "not_ready";
    case BreachKind::kRecoveredNotAttempted:
      return "untried";
    case BreachKind::kOutOfOrder:
      return "out_of_turn";
  }
  return "";
}

int Auditor::Count(BreachKind kind) const {
  return static_cast<int>(
      std::count_if(breaches_.begin(), breaches_.end(), [kind](const Breach& b) { return b.kind == kind; }));
}

std::string Auditor::TraceOf(const Message& message) const {
  std::string trace;
  for (const Attempt& a : message.attempts) {
    char line[96];
    std::snprintf(line, sizeof(line), "%ssent %.3f to %u%s", trace.empty() ? "" : ", ", a.sent,
                  static_cast<unsigned>(a.endpoint),
                  a.in_flight      ? " (out)"
                  : a.may_have_run ? " (may have run)"
                                   : " (never ran)");
    trace += line;
  }
  return trace;
}

void Auditor::Report(BreachKind kind, Seconds now, int relay, std::uint64_t message, EndpointId endpoint) {
  const auto it = messages_.find(message);
  breaches_.push_back(
      {kind, now, relay, message, endpoint, it == messages_.end() ? "" : TraceOf(it->second)});
}

void Auditor::OnAccepted(Seconds now, int relay, std::uint64_t message, std::uint64_t origin,
                         int message_class, DestinationId destination, Seconds deadline) {
  const auto [it, fresh] = messages_.try_emplace(
      message, Message{relay, message_class, origin, destination, std::max(now, deadline), false, {}, 0});
  if (!fresh) {  // recovered by the next process
    it->second.relay = relay;
    return;
  }
  deadlines_.insert({std::max(now, deadline) + rules_.deadline_tolerance, message});
}

void Auditor::OnEnded(Seconds now, std::uint64_t message, End end) {
  const auto it = messages_.find(message);
  if (it == messages_.end() || it->second.ended)
    return Report(BreachKind::kTwoAnswers, now, it == messages_.end() ? -1 : it->second.relay, message, 0);
  Message& m = it->second;
  const RequestClass& c = classes_[static_cast<std::size_t>(m.message_class)];
  const bool may_have_run = std::any_of(m.attempts.begin(), m.attempts.end(),
                                        [](const Attempt& a) { return a.in_flight || a.may_have_run; });
  const bool must_not_repeat =
      c.idempotency == Idempotency::kNonIdempotent ||
      (c.idempotency == Idempotency::kIdempotencyKey && c.deduplication_scope != DeduplicationScope::kAll);
  if (end == End::kRejected && may_have_run && must_not_repeat)
    Report(BreachKind::kUnsafeRejection, now, m.relay, message, 0);
  if (end == End::kAborted) {
    const auto run = first_run_.find(m.origin);
    if (run != first_run_.end() && run->second.second == message) first_run_.erase(run);
  }
  m.ended = true;
  deadlines_.erase({m.deadline + rules_.deadline_tolerance, message});
  EraseIfDone(message);
}

void Auditor::CheckDeadlines(Seconds now) {
  while (!deadlines_.empty() && deadlines_.begin()->first < now) {
    const std::uint64_t id = deadlines_.begin()->second;
    const Seconds at = deadlines_.begin()->first;
    deadlines_.erase(deadlines_.begin());
    const auto it = messages_.find(id);
    if (it == messages_.end() || it->second.ended) continue;
    const auto extension = extended_until_.find(it->second.relay);
    if (extension != extended_until_.end() && extension->second > at) {
      deadlines_.insert({extension->second, id});
      continue;
    }
    Report(BreachKind::kNoAnswer, at, it->second.relay, id, 0);
    it->second.ended = true;
  }
}

void Auditor::CheckRepeat(Seconds now, int relay, std::uint64_t id, const Message& m, EndpointId endpoint) {
  const RequestClass& c = classes_[static_cast<std::size_t>(m.message_class)];
  if (c.idempotency == Idempotency::kIdempotent) return;
  for (const Attempt& a : m.attempts) {
    if (!a.in_flight && !a.may_have_run) continue;
    if (c.idempotency == Idempotency::kNonIdempotent)
      return Report(BreachKind::kNonIdempotentRepeat, now, relay, id, endpoint);
    if (now > a.sent + c.deduplication_window)
      Report(BreachKind::kDeduplicatedRepeat, now, relay, id, endpoint);
    return;
  }
}

void Auditor::SetOrderingKey(std::uint64_t message, std::uint64_t key) {
  Message& m = messages_.at(message);
  m.ordering_key = key;
  key_queues_[{m.relay, key}].messages.push_back(message);
}

// Only the oldest message of a key may be sent, until it has ended and none of its attempts is in flight.
void Auditor::CheckOrder(Seconds now, int relay, std::uint64_t id, const Message& m, EndpointId endpoint) {
  const auto it = key_queues_.find({relay, m.ordering_key});
  if (m.ordering_key == 0 || it == key_queues_.end())
    return;  // no key, or accepted before the relay's restart
  KeyQueue& queue = it->second;
  while (!queue.messages.empty() && messages_.count(queue.messages.front()) == 0) queue.messages.pop_front();
  const bool known = std::find(queue.messages.begin(), queue.messages.end(), id) != queue.messages.end();
  if (!known) return;
  const bool paused = queue.paused_by != id && now < queue.paused_until - 1e-9;
  if (queue.messages.front() != id || paused) Report(BreachKind::kOutOfOrder, now, relay, id, endpoint);
}

void Auditor::OnMayStillBeRunning(Seconds now, std::uint64_t message) {
  const auto it = messages_.find(message);
  if (it == messages_.end() || it->second.ordering_key == 0) return;
  const auto queue = key_queues_.find({it->second.relay, it->second.ordering_key});
  if (queue == key_queues_.end()) return;
  queue->second.paused_until = now + rules_.ordered_key_pause;
  queue->second.paused_by = message;
}

void Auditor::OnSent(Seconds now, int relay, std::uint64_t id, EndpointId endpoint) {
  const auto it = messages_.find(id);
  if (it == messages_.end() || it->second.ended)
    return Report(BreachKind::kSentAfterEnd, now, relay, id, endpoint);
  Message& m = it->second;
  CheckRepeat(now, relay, id, m, endpoint);
  CheckOrder(now, relay, id, m, endpoint);
  m.attempts.push_back({now, endpoint});
  const auto listed = endpoints_.find(endpoint);
  if (listed == endpoints_.end() || listed->second.destination != m.destination)
    return Report(BreachKind::kForeignEndpoint, now, relay, id, endpoint);
  const auto drain = drains_received_at_.find({relay, endpoint});
  if (drain != drains_received_at_.end() && now > drain->second + rules_.drain_grace_period)
    Report(BreachKind::kSentToDrained, now, relay, id, endpoint);
  const auto retry_after = retry_afters_.find({relay, listed->second.route});
  if (retry_after != retry_afters_.end() &&
      now > retry_after->second.first + rules_.retry_after_grace_period && now < retry_after->second.second)
    Report(BreachKind::kSentDuringRetryAfter, now, relay, id, endpoint);
}

void Auditor::OnAttemptEnded(std::uint64_t message, int attempt, bool may_have_run) {
  const auto it = messages_.find(message);
  if (it == messages_.end() || attempt < 0 || attempt >= static_cast<int>(it->second.attempts.size())) return;
  Attempt& a = it->second.attempts[static_cast<std::size_t>(attempt)];
  a.in_flight = false;
  a.may_have_run = may_have_run;
  EraseIfDone(message);
}

void Auditor::EraseIfDone(std::uint64_t id) {
  const auto it = messages_.find(id);
  if (it == messages_.end() || !it->second.ended) return;
  const auto& attempts = it->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; }))
    messages_.erase(it);
}

void Auditor::OnRan(Seconds now, std::uint64_t message) {
  const auto it = messages_.find(message);
  if (it == messages_.end()) return;
  const Message& m = it->second;
  const RequestClass& c = classes_[static_cast<std::size_t>(m.message_class)];
  if (c.idempotency == Idempotency::kIdempotent) return;
  const auto [first, fresh] = first_run_.try_emplace(m.origin, std::make_pair(now, message));
  if (fresh) return;
  if (c.idempotency == Idempotency::kNonIdempotent)
    return Report(BreachKind::kNonIdempotentRanTwice, now, m.relay, message, 0);
  if (now <= first->second.first + c.deduplication_window) return;  // the partner has dropped the repeat
  // A deduplicated message whose scope is all endpoints may be rejected though it may have run. A client that
  // submits it again after the window causes the second run itself; these are counted separately.
  if (first->second.second != message) {
    ++client_duplicates_;
    return;
  }
  Report(BreachKind::kDeduplicatedRanTwice, now, m.relay, message, 0);
}

void Auditor::ReportClosedUnanswered(Seconds now, int relay, std::uint64_t message) {
  Report(BreachKind::kClosedUnanswered, now, relay, message, 0);
}

// The bounds of the standing test: nine in ten processes must be ready in time, and at most half of the
// unattempted messages may end early.
void Auditor::CheckRestarts(Seconds now, const Restarts& restarts) {
  constexpr int kAllRelays = -1;
  constexpr int kMaxLateOneIn = 10, kMaxEndedOneIn = 2;
  if (restarts.late * kMaxLateOneIn > restarts.ready) Report(BreachKind::kNotReady, now, kAllRelays, 0, 0);
  if (restarts.unattempted_ended * kMaxEndedOneIn > restarts.unattempted)
    Report(BreachKind::kRecoveredNotAttempted, now, kAllRelays, 0, 0);
}

void Auditor::ReportStalledClient(Seconds now, int relay) {
  Report(BreachKind::kStalledClient, now, relay, 0, 0);
}

void Auditor::OnEndpointListed(EndpointId endpoint, DestinationId destination, std::uint64_t route) {
  endpoints_[endpoint] = {destination, route};
}

void Auditor::OnDrainReceived(Seconds now, int relay, EndpointId endpoint) {
  drains_received_at_.try_emplace({relay, endpoint}, now);
}

void Auditor::OnRetryAfterReceived(Seconds now, int relay, std::uint64_t route, Seconds retry_after) {
  auto& known = retry_afters_[{relay, route}];
  if (now + retry_after <= known.second) return;
  if (known.second <= now) known.first = now;
  known.second = now + retry_after;
}

void Auditor::OnOutageObserved(Seconds now, int relay, std::uint64_t route) {
  informed_relays_[route][relay] = now;
}

void Auditor::OnCallDuringRecovery(Seconds now, int relay, std::uint64_t route, Seconds outage_start,
                                   bool caused_collapse) {
  std::deque<RecoveryCall>& calls = recovery_calls_[route];
  const std::map<int, Seconds>& informed = informed_relays_[route];
  const auto observed = informed.find(relay);
  calls.push_back({now, relay, observed != informed.end() && observed->second >= outage_start});
  while (calls.front().at <= now - rules_.overload_window) calls.pop_front();
  if (!caused_collapse) return;
  const auto by_informed =
      std::count_if(calls.begin(), calls.end(), [](const RecoveryCall& call) { return call.informed; });
  if (static_cast<double>(by_informed) < rules_.informed_share * static_cast<double>(calls.size())) return;
  const std::string trace = TraceOf(calls, route);
  breaches_.push_back({BreachKind::kRecoveryOverload, now, relay, 0, 0, trace});
}

// Names the relays of the calls, and when each of them last saw the route fail.
std::string Auditor::TraceOf(const std::deque<RecoveryCall>& calls, std::uint64_t route) const {
  std::map<int, int> by_relay;
  for (const RecoveryCall& call : calls) ++by_relay[call.relay];
  std::string trace = std::to_string(calls.size()) + " calls within " +
                      std::to_string(rules_.overload_window) + " s to route " + std::to_string(route) +
                      " by relay:";
  const auto informed = informed_relays_.find(route);
  for (const auto& [relay, count] : by_relay) {
    trace += " " + std::to_string(relay) + ":" + std::to_string(count);
    if (informed == informed_relays_.end()) continue;
    const auto since = informed->second.find(relay);
    if (since != informed->second.end()) trace += " (informed at " + std::to_string(since->second) + ")";
  }
  return trace;
}

void Auditor::OnShareCount(Seconds now, int relay, double share_count) {
  if (fleet_size_ <= 0) return;
  shares_[relay] = 1 / share_count;
  double sum = 0;
  for (const auto& [other, share] : shares_) sum += share;
  if (sum > 1 + 1.0 / fleet_size_ + 1e-9) Report(BreachKind::kQuotaExceeded, now, relay, 0, 0);
}

void Auditor::OnShareReleased(Seconds, int relay) { shares_.erase(relay); }

void Auditor::ExtendDeadlines(int relay, Seconds until) {
  Seconds& extension = extended_until_[relay];
  extension = std::max(extension, until);
}

void Auditor::OnRelayStopped(int relay, Seconds extended_until) {
  extended_until_[relay] = extended_until;
  for (auto it = retry_afters_.begin(); it != retry_afters_.end();)
    it = it->first.first == relay ? retry_afters_.erase(it) : std::next(it);
  for (auto it = key_queues_.begin(); it != key_queues_.end();)
    it = it->first.first == relay ? key_queues_.erase(it) : std::next(it);
}

}  // namespace opalroute::lab
