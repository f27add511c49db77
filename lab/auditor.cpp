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
    case BreachKind::kAfterEnd:
      return "sent_after_end";
    case BreachKind::kUnsafeRepeat:
      return "unsafe_repeat";
    case BreachKind::kKeyedRepeat:
      return "keyed_repeat";
    case BreachKind::kRanTwice:
      return "ran_twice";
    case BreachKind::kKeyRanTwice:
      return "key_ran_twice";
    case BreachKind::kUnsafeRefused:
      return "unsafe_refused";
    case BreachKind::kInWait:
      return "in_wait";
    case BreachKind::kDrained:
      return "drained";
    case BreachKind::kForeign:
      return "foreign_endpoint";
    case BreachKind::kPushedOver:
      return "pushed_over";
    case BreachKind::kOverParts:
      return "over_parts";
    case BreachKind::kStalled:
      return "stalled_client";
    case BreachKind::kClosed:
      return "closed_unanswered";
    case BreachKind::kNotReady:
      return "not_ready";
    case BreachKind::kUntried:
      return "untried";
    case BreachKind::kOutOfTurn:
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
                  a.out            ? " (out)"
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

void Auditor::Taken(Seconds now, int relay, std::uint64_t message, std::uint64_t origin, int message_class,
                    DestinationId destination, Seconds deadline) {
  const auto [it, fresh] = messages_.try_emplace(
      message, Message{relay, message_class, origin, destination, std::max(now, deadline), false, {}, 0});
  if (!fresh) {  // restored by the next process
    it->second.relay = relay;
    return;
  }
  deadlines_.insert({std::max(now, deadline) + rules_.answer_slack, message});
}

void Auditor::Ended(Seconds now, std::uint64_t message, End end) {
  const auto it = messages_.find(message);
  if (it == messages_.end() || it->second.over)
    return Report(BreachKind::kTwoAnswers, now, it == messages_.end() ? -1 : it->second.relay, message, 0);
  Message& m = it->second;
  const RequestClass& c = classes_[static_cast<std::size_t>(m.message_class)];
  const bool ran = std::any_of(m.attempts.begin(), m.attempts.end(),
                               [](const Attempt& a) { return a.out || a.may_have_run; });
  const bool binds =
      c.idempotency == Idempotency::kNonIdempotent ||
      (c.idempotency == Idempotency::kIdempotencyKey && c.deduplication_scope != DeduplicationScope::kAll);
  if (end == End::kRefused && ran && binds) Report(BreachKind::kUnsafeRefused, now, m.relay, message, 0);
  if (end == End::kWithdrawn) {
    const auto run = first_run_.find(m.origin);
    if (run != first_run_.end() && run->second.second == message) first_run_.erase(run);
  }
  m.over = true;
  deadlines_.erase({m.deadline + rules_.answer_slack, message});
  ForgetIfDone(message);
}

void Auditor::Until(Seconds now) {
  while (!deadlines_.empty() && deadlines_.begin()->first < now) {
    const std::uint64_t id = deadlines_.begin()->second;
    const Seconds at = deadlines_.begin()->first;
    deadlines_.erase(deadlines_.begin());
    const auto it = messages_.find(id);
    if (it == messages_.end() || it->second.over) continue;
    const auto excused = excused_.find(it->second.relay);
    if (excused != excused_.end() && excused->second > at) {
      deadlines_.insert({excused->second, id});
      continue;
    }
    Report(BreachKind::kNoAnswer, at, it->second.relay, id, 0);
    it->second.over = true;
  }
}

void Auditor::CheckRepeat(Seconds now, int relay, std::uint64_t id, const Message& m, EndpointId endpoint) {
  const RequestClass& c = classes_[static_cast<std::size_t>(m.message_class)];
  if (c.idempotency == Idempotency::kIdempotent) return;
  for (const Attempt& a : m.attempts) {
    if (!a.out && !a.may_have_run) continue;
    if (c.idempotency == Idempotency::kNonIdempotent)
      return Report(BreachKind::kUnsafeRepeat, now, relay, id, endpoint);
    if (now > a.sent + c.deduplication_window) Report(BreachKind::kKeyedRepeat, now, relay, id, endpoint);
    return;
  }
}

void Auditor::InOrder(std::uint64_t message, std::uint64_t key) {
  Message& m = messages_.at(message);
  m.key = key;
  key_lines_[{m.relay, key}].messages.push_back(message);
}

// The first of its key that is not over with nothing out has the turn.
void Auditor::CheckTurn(Seconds now, int relay, std::uint64_t id, const Message& m, EndpointId endpoint) {
  const auto it = key_lines_.find({relay, m.key});
  if (m.key == 0 || it == key_lines_.end()) return;  // restored: taken before the relay's start
  KeyLine& line = it->second;
  while (!line.messages.empty() && messages_.count(line.messages.front()) == 0) line.messages.pop_front();
  const bool known = std::find(line.messages.begin(), line.messages.end(), id) != line.messages.end();
  if (!known) return;
  const bool rests = line.rested_by != id && now < line.rest_until - 1e-9;
  if (line.messages.front() != id || rests) Report(BreachKind::kOutOfTurn, now, relay, id, endpoint);
}

void Auditor::MayStillRun(Seconds now, std::uint64_t message) {
  const auto it = messages_.find(message);
  if (it == messages_.end() || it->second.key == 0) return;
  const auto line = key_lines_.find({it->second.relay, it->second.key});
  if (line == key_lines_.end()) return;
  line->second.rest_until = now + rules_.key_rest;
  line->second.rested_by = message;
}

void Auditor::Sent(Seconds now, int relay, std::uint64_t id, EndpointId endpoint) {
  const auto it = messages_.find(id);
  if (it == messages_.end() || it->second.over)
    return Report(BreachKind::kAfterEnd, now, relay, id, endpoint);
  Message& m = it->second;
  CheckRepeat(now, relay, id, m, endpoint);
  CheckTurn(now, relay, id, m, endpoint);
  m.attempts.push_back({now, endpoint});
  const auto place = places_.find(endpoint);
  if (place == places_.end() || place->second.destination != m.destination)
    return Report(BreachKind::kForeign, now, relay, id, endpoint);
  const auto drain = drains_.find({relay, endpoint});
  if (drain != drains_.end() && now > drain->second + rules_.drain_grace)
    Report(BreachKind::kDrained, now, relay, id, endpoint);
  const auto wait = waits_.find({relay, place->second.lane});
  if (wait != waits_.end() && now > wait->second.first + rules_.wait_grace && now < wait->second.second)
    Report(BreachKind::kInWait, now, relay, id, endpoint);
}

void Auditor::Over(std::uint64_t message, int attempt, bool may_have_run) {
  const auto it = messages_.find(message);
  if (it == messages_.end() || attempt < 0 || attempt >= static_cast<int>(it->second.attempts.size())) return;
  Attempt& a = it->second.attempts[static_cast<std::size_t>(attempt)];
  a.out = false;
  a.may_have_run = may_have_run;
  ForgetIfDone(message);
}

void Auditor::ForgetIfDone(std::uint64_t id) {
  const auto it = messages_.find(id);
  if (it == messages_.end() || !it->second.over) return;
  const auto& attempts = it->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; }))
    messages_.erase(it);
}

void Auditor::Ran(Seconds now, std::uint64_t message) {
  const auto it = messages_.find(message);
  if (it == messages_.end()) return;
  const Message& m = it->second;
  const RequestClass& c = classes_[static_cast<std::size_t>(m.message_class)];
  if (c.idempotency == Idempotency::kIdempotent) return;
  const auto [first, fresh] = first_run_.try_emplace(m.origin, std::make_pair(now, message));
  if (fresh) return;
  if (c.idempotency == Idempotency::kNonIdempotent)
    return Report(BreachKind::kRanTwice, now, m.relay, message, 0);
  if (now <= first->second.first + c.deduplication_window) return;  // the partner has dropped it
  // A keyed message of the widest group may be handed back though it may have run: what a client then hands
  // in again too late is its own doing, and counted apart.
  if (first->second.second != message) {
    ++client_doubles_;
    return;
  }
  Report(BreachKind::kKeyRanTwice, now, m.relay, message, 0);
}

void Auditor::ClosedUnanswered(Seconds now, int relay, std::uint64_t message) {
  Report(BreachKind::kClosed, now, relay, message, 0);
}

// (The standing test's gate: nine in ten are ready in time, and at most half of the untried end early.)
void Auditor::Restarted(Seconds now, const Restarts& restarts) {
  constexpr int kAllRelays = -1;
  constexpr int kLateOneIn = 10, kEndedOneIn = 2;
  if (restarts.late * kLateOneIn > restarts.ready) Report(BreachKind::kNotReady, now, kAllRelays, 0, 0);
  if (restarts.untried_ended * kEndedOneIn > restarts.untried)
    Report(BreachKind::kUntried, now, kAllRelays, 0, 0);
}

void Auditor::Stalled(Seconds now, int relay) { Report(BreachKind::kStalled, now, relay, 0, 0); }

void Auditor::Listed(EndpointId endpoint, DestinationId destination, std::uint64_t lane) {
  places_[endpoint] = {destination, lane};
}

void Auditor::ToldDrain(Seconds now, int relay, EndpointId endpoint) {
  drains_.try_emplace({relay, endpoint}, now);
}

void Auditor::ToldWait(Seconds now, int relay, std::uint64_t lane, Seconds wait) {
  auto& known = waits_[{relay, lane}];
  if (now + wait <= known.second) return;
  if (known.second <= now) known.first = now;
  known.second = now + wait;
}

void Auditor::SawOutage(int relay, std::uint64_t lane) { informed_now_[lane].insert(relay); }

void Auditor::ReachedCold(Seconds now, int relay, std::uint64_t lane, bool fell_over) {
  std::deque<Weighed>& calls = cold_[lane];
  const auto informed = informed_now_.find(lane);
  calls.push_back({now, relay, informed != informed_now_.end() && informed->second.count(relay) > 0});
  while (calls.front().at <= now - rules_.overload_for) calls.pop_front();
  if (!fell_over) return;
  const auto by_informed =
      std::count_if(calls.begin(), calls.end(), [](const Weighed& w) { return w.informed; });
  if (static_cast<double>(by_informed) < rules_.informed_part * static_cast<double>(calls.size())) return;
  std::map<int, int> by_relay;
  for (const Weighed& call : calls) ++by_relay[call.relay];
  std::string trace = "calls within " + std::to_string(rules_.overload_for) + " s by relay:";
  for (const auto& [number, count] : by_relay)
    trace += " " + std::to_string(number) + ":" + std::to_string(count);
  breaches_.push_back({BreachKind::kPushedOver, now, relay, 0, 0, trace});
}

void Auditor::ToldParts(Seconds now, int relay, double parts) {
  if (tier_size_ <= 0) return;
  parts_[relay] = 1 / parts;
  double sum = 0;
  for (const auto& [other, part] : parts_) sum += part;
  if (sum > 1 + 1.0 / tier_size_ + 1e-9) Report(BreachKind::kOverParts, now, relay, 0, 0);
}

void Auditor::LostParts(Seconds, int relay) { parts_.erase(relay); }

void Auditor::Excuse(int relay, Seconds until) {
  Seconds& excused = excused_[relay];
  excused = std::max(excused, until);
}

void Auditor::RelayDied(int relay, Seconds excused) {
  excused_[relay] = excused;
  for (auto it = waits_.begin(); it != waits_.end();)
    it = it->first.first == relay ? waits_.erase(it) : std::next(it);
  for (auto& [lane, relays] : informed_now_) relays.erase(relay);
  for (auto it = key_lines_.begin(); it != key_lines_.end();)
    it = it->first.first == relay ? key_lines_.erase(it) : std::next(it);
}

}  // namespace opalroute::lab
