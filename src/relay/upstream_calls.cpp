#include "relay/upstream_calls.h"

#include <algorithm>
#include <cmath>

#include "decision/outcome.h"
#include "log/log.h"

namespace opalroute {

namespace {

const char* NameOf(Outcome outcome) {
  static const char* const names[] = {"served", "error",     "full",     "timeout", "unconnected",
                                      "reset",  "cancelled", "not_sent", "crowded", "not_left"};
  return names[static_cast<int>(outcome)];
}

}  // namespace

UpstreamCalls::UpstreamCalls(net::EventLoop& loop, const PersistentClock& clock, net::HttpClient& client,
                             const Config& config, Counters& counters, EndpointTable& endpoints,
                             RequestTable& transactions, DecisionLoop& driver,
                             std::function<void()> on_flow_over,
                             std::function<void(EndpointId, Seconds)> on_wait)
    : loop_(loop),
      clock_(clock),
      client_(client),
      config_(config),
      counters_(counters),
      endpoints_(endpoints),
      transactions_(transactions),
      driver_(driver),
      on_call_ended_(std::move(on_flow_over)),
      on_retry_after_(std::move(on_wait)) {}

void UpstreamCalls::Enqueue(const Send& send) {
  AcceptedRequest* t = transactions_.Find(send.request_id);
  if (t == nullptr) return;
  UpstreamCall::Member member;
  member.request_id = send.request_id;
  member.attempt = static_cast<int>(t->journal_attempts.size());
  member.send_deadline = send.send_deadline;
  member.timeout_at = send.timeout_at > 0 ? std::min(send.timeout_at, t->deadline) : t->deadline;
  member.id = t->id;
  member.key = t->key;
  member.body = t->body;
  t->journal_attempts.push_back(-1);
  ++t->attempts_in_flight;
  const EndpointKind& kind = config_.settings.kinds[endpoints_.At(send.endpoint).kind];
  std::vector<Batch>& batches = queued_[send.endpoint];
  if (batches.empty() || batches.back().size() >= static_cast<std::size_t>(std::max(1, kind.max_batch)))
    batches.emplace_back();
  batches.back().push_back(std::move(member));
}

void UpstreamCalls::Start() {
  for (auto& [endpoint, batches] : std::exchange(queued_, {}))
    for (Batch& batch : batches) StartCall(endpoint, std::move(batch));
}

void UpstreamCalls::Cancel(const opalroute::CancelAttempt& cancel) {
  const auto it = attempts_.find({cancel.request_id, cancel.attempt});
  if (it != attempts_.end()) it->second->Cancel(cancel.request_id, cancel.attempt);
}

void UpstreamCalls::StartCall(EndpointId endpoint, Batch members) {
  ++counters_.calls;
  counters_.attempts += static_cast<long>(members.size());
  UpstreamCall::Owner& owner = *this;
  EndpointTable::Endpoint& to = endpoints_.At(endpoint);
  ++to.users;
  auto owned =
      std::make_unique<UpstreamCall>(loop_, client_, endpoint, to.address, std::move(members), owner);
  UpstreamCall* flow = owned.get();
  calls_.emplace(flow, std::move(owned));
  for (const UpstreamCall::Member& m : flow->members()) attempts_[{m.request_id, m.attempt}] = flow;
  flow->Start();
}

// A wait or a drain may have been told, or a key's window have ended, while it waited for its connection.
// Returns the reason why the attempt may not leave any more, or null.
const char* UpstreamCalls::WhyNotSend(const UpstreamCall& flow, const UpstreamCall::Member& member,
                                      const AcceptedRequest& t) const {
  const Seconds now = loop_.Now();
  if (t.ended) return "the message is over";
  if (member.timeout_at <= now) return "its time is up";
  if (member.send_deadline <= now) return "the window of its key is over";
  if (!driver_.router().MaySend(now, flow.endpoint())) return "the endpoint drains, is gone or told a wait";
  return nullptr;
}

void UpstreamCalls::LogChoice(const char* event, const UpstreamCall& flow, const UpstreamCall::Member& member,
                              const char* why) const {
  if (!log::Writes(log::Level::debug)) return;
  const EndpointTable::ListVersion& list = endpoints_.version();
  log::Debug(event, {{"id", member.id},
                     {"attempt", member.attempt},
                     {"endpoint", endpoints_.At(flow.endpoint()).id},
                     {"why", why},
                     {"generation", list.generation},
                     {"news_age_ms", std::lround((loop_.Now() - list.at) * 1000)}});
}

bool UpstreamCalls::MaySend(const UpstreamCall& flow, const UpstreamCall::Member& member) {
  const char* why = WhyNotSend(flow, member, transactions_.At(member.request_id));
  if (why == nullptr) return true;
  ++counters_.not_left;
  LogChoice("attempt_not_sent", flow, member, why);
  return false;
}

// What a restart would not know must not run.
bool UpstreamCalls::RecordAttempt(const UpstreamCall& flow, const UpstreamCall::Member& member) {
  const EndpointTable::Endpoint& endpoint = endpoints_.At(flow.endpoint());
  JournalAttempt attempt;
  attempt.endpoint = endpoint.id;
  attempt.zone = config_.zones.empty() ? "" : config_.zones[endpoint.zone];
  attempt.sent_at = clock_.Micros();
  const bool recorded =
      transactions_.RecordAttempt(transactions_.At(member.request_id), member.attempt, attempt);
  LogChoice(recorded ? "attempt_sent" : "attempt_not_sent", flow, member,
            recorded ? "chosen" : "not recorded");
  return recorded;
}

void UpstreamCalls::Count(Outcome outcome) {
  long* const counts[] = {&counters_.served,    &counters_.errors,         &counters_.full,
                          &counters_.timeouts,  &counters_.connect_failed, &counters_.resets,
                          &counters_.cancelled, &counters_.not_sent,       &counters_.crowded,
                          &counters_.not_sent};
  ++*counts[static_cast<int>(outcome)];
}

void UpstreamCalls::OnOutcome(const UpstreamCall&, const UpstreamCall::Member& member,
                              const AttemptOutcome& outcome) {
  AcceptedRequest& t = transactions_.At(member.request_id);
  attempts_.erase({member.request_id, member.attempt});
  --t.attempts_in_flight;
  Count(outcome.outcome);
  if (outcome.retry_after > 0) on_retry_after_(outcome.endpoint, outcome.retry_after);
  if (log::Writes(log::Level::debug))
    log::Debug("attempt_ended", {{"id", t.id},
                                 {"attempt", member.attempt},
                                 {"endpoint", endpoints_.At(outcome.endpoint).id},
                                 {"destination", t.destination},
                                 {"outcome", NameOf(outcome.outcome)},
                                 {"duration_ms", std::lround(outcome.duration * 1000)},
                                 {"wait_ms", std::lround(outcome.retry_after * 1000)}});
  AttemptOutcome told = outcome;
  told.request_ended = outcome.request_ended || t.ended;
  if (!t.ended && outcome.request_ended) {
    if (outcome.outcome == Outcome::kServed) counters_.Passed(t.request_class);
    transactions_.End(t);
  } else if (!t.ended && ProvesNeverRan(outcome.outcome)) {
    transactions_.RecordNotExecuted(t, member.attempt);
  }
  driver_.Post(told);
  transactions_.ForgetIfDone(member.request_id);
}

void UpstreamCalls::OnServedLate(RequestId message) {
  const AcceptedRequest* t = transactions_.Find(message);
  if (t != nullptr && !t->ended) counters_.Passed(t->request_class);
  EndWithoutOutcome(message);
}

void UpstreamCalls::EndWithoutOutcome(RequestId message) {
  AcceptedRequest* t = transactions_.Find(message);
  if (t == nullptr || t->ended) return;
  transactions_.End(*t);
  driver_.Post(RequestAborted{message});
  transactions_.ForgetIfDone(message);
}

void UpstreamCalls::OnCallEnded(UpstreamCall& flow) {
  const auto it = calls_.find(&flow);
  if (it == calls_.end()) return;
  --endpoints_.At(flow.endpoint()).users;
  loop_.Retire(std::move(it->second));
  calls_.erase(it);
  on_call_ended_();
}

void UpstreamCalls::StartHealthCheck(EndpointId endpoint) {
  ++counters_.probes;
  EndpointTable::Endpoint& to = endpoints_.At(endpoint);
  ++to.users;
  const auto may_leave = [this, endpoint] { return driver_.router().MaySend(loop_.Now(), endpoint); };
  const auto done = [this](HealthCheckCall& probe, const HealthCheckOutcome& outcome) {
    --endpoints_.At(outcome.endpoint).users;
    const auto it = health_checks_.find(&probe);
    loop_.Retire(std::move(it->second));
    health_checks_.erase(it);
    driver_.Post(outcome);
  };
  auto owned = std::make_unique<HealthCheckCall>(loop_, client_, endpoint, to.address,
                                                 config_.limits.connect_time, may_leave, done);
  HealthCheckCall* probe = owned.get();
  health_checks_.emplace(probe, std::move(owned));
  probe->Start();
}

}  // namespace opalroute
