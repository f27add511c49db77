#include "relay/calls.h"

#include <algorithm>
#include <cmath>

#include "log/log.h"
#include "parts.h"

namespace opalroute {

namespace {

const char* NameOf(Outcome outcome) {
  static const char* const names[] = {"served", "error",     "full",     "timeout", "unconnected",
                                      "reset",  "cancelled", "not_sent", "crowded", "not_left"};
  return names[static_cast<int>(outcome)];
}

}  // namespace

Calls::Calls(net::EventLoop& loop, const PersistentClock& clock, net::HttpClient& client,
             const Config& config, Counters& counters, EndpointTable& endpoints,
             TransactionTable& transactions, ModuleDriver& driver, std::function<void()> on_flow_over,
             std::function<void(EndpointId, Seconds)> on_wait)
    : loop_(loop),
      clock_(clock),
      client_(client),
      config_(config),
      counters_(counters),
      endpoints_(endpoints),
      transactions_(transactions),
      driver_(driver),
      on_flow_over_(std::move(on_flow_over)),
      on_wait_(std::move(on_wait)) {}

void Calls::Gather(const Send& send) {
  Transaction* t = transactions_.Find(send.message);
  if (t == nullptr) return;
  ServerFlow::Member member;
  member.message = send.message;
  member.attempt = static_cast<int>(t->journaled.size());
  member.leave_by = send.leave_by;
  member.until = send.until > 0 ? std::min(send.until, t->deadline) : t->deadline;
  member.id = t->id;
  member.key = t->key;
  member.body = t->body;
  t->journaled.push_back(-1);
  ++t->out;
  const Kind& kind = config_.settings.kinds[endpoints_.At(send.endpoint).kind];
  std::vector<Batch>& batches = gathered_[send.endpoint];
  if (batches.empty() || batches.back().size() >= static_cast<std::size_t>(std::max(1, kind.bundle)))
    batches.emplace_back();
  batches.back().push_back(std::move(member));
}

void Calls::Start() {
  for (auto& [endpoint, batches] : std::exchange(gathered_, {}))
    for (Batch& batch : batches) StartFlow(endpoint, std::move(batch));
}

void Calls::Cancel(const opalroute::Cancel& cancel) {
  const auto it = attempts_.find({cancel.message, cancel.attempt});
  if (it != attempts_.end()) it->second->Cancel(cancel.message, cancel.attempt);
}

void Calls::StartFlow(EndpointId endpoint, Batch members) {
  ++counters_.calls;
  counters_.attempts += static_cast<long>(members.size());
  ServerFlow::Owner& owner = *this;
  EndpointTable::Endpoint& to = endpoints_.At(endpoint);
  ++to.users;
  auto owned = std::make_unique<ServerFlow>(loop_, client_, endpoint, to.address, std::move(members), owner);
  ServerFlow* flow = owned.get();
  flows_.emplace(flow, std::move(owned));
  for (const ServerFlow::Member& m : flow->members()) attempts_[{m.message, m.attempt}] = flow;
  flow->Start();
}

// A wait or a drain may have been told, or a key's window have ended, while it waited for its connection.
// Returns the reason why the attempt may not leave any more, or null.
const char* Calls::WhyNotLeave(const ServerFlow& flow, const ServerFlow::Member& member,
                               const Transaction& t) const {
  const Seconds now = loop_.Now();
  if (t.over) return "the message is over";
  if (member.until <= now) return "its time is up";
  if (member.leave_by <= now) return "the window of its key is over";
  if (!driver_.module().MayLeave(now, flow.endpoint())) return "the endpoint drains, is gone or told a wait";
  return nullptr;
}

void Calls::LogChoice(const char* event, const ServerFlow& flow, const ServerFlow::Member& member,
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

bool Calls::MayLeave(const ServerFlow& flow, const ServerFlow::Member& member) {
  const char* why = WhyNotLeave(flow, member, transactions_.At(member.message));
  if (why == nullptr) return true;
  ++counters_.not_left;
  LogChoice("attempt_not_sent", flow, member, why);
  return false;
}

// What a restart would not know must not run.
bool Calls::RecordAttempt(const ServerFlow& flow, const ServerFlow::Member& member) {
  const EndpointTable::Endpoint& endpoint = endpoints_.At(flow.endpoint());
  JournalAttempt attempt;
  attempt.endpoint = endpoint.id;
  attempt.zone = config_.zones.empty() ? "" : config_.zones[endpoint.zone];
  attempt.sent_at = clock_.Micros();
  const bool recorded =
      transactions_.RecordAttempt(transactions_.At(member.message), member.attempt, attempt);
  LogChoice(recorded ? "attempt_sent" : "attempt_not_sent", flow, member,
            recorded ? "chosen" : "not recorded");
  return recorded;
}

void Calls::Count(Outcome outcome) {
  long* const counts[] = {&counters_.served,    &counters_.errors,         &counters_.full,
                          &counters_.timeouts,  &counters_.connect_failed, &counters_.resets,
                          &counters_.cancelled, &counters_.not_sent,       &counters_.crowded,
                          &counters_.not_sent};
  ++*counts[static_cast<int>(outcome)];
}

void Calls::OnOutcome(const ServerFlow&, const ServerFlow::Member& member, const AttemptOutcome& outcome) {
  Transaction& t = transactions_.At(member.message);
  attempts_.erase({member.message, member.attempt});
  --t.out;
  Count(outcome.outcome);
  if (outcome.wait > 0) on_wait_(outcome.endpoint, outcome.wait);
  if (log::Writes(log::Level::debug))
    log::Debug("attempt_ended", {{"id", t.id},
                                 {"attempt", member.attempt},
                                 {"endpoint", endpoints_.At(outcome.endpoint).id},
                                 {"destination", t.destination},
                                 {"outcome", NameOf(outcome.outcome)},
                                 {"duration_ms", std::lround(outcome.duration * 1000)},
                                 {"wait_ms", std::lround(outcome.wait * 1000)}});
  AttemptOutcome told = outcome;
  told.over = outcome.over || t.over;
  if (!t.over && outcome.over) {
    if (outcome.outcome == Outcome::kServed) counters_.Passed(t.message_class);
    transactions_.End(t);
  } else if (!t.over && ProvesNeverRan(outcome.outcome)) {
    transactions_.RecordNeverRan(t, member.attempt);
  }
  driver_.Post(told);
  transactions_.ForgetIfDone(member.message);
}

void Calls::OnServedLate(MessageId message) {
  const Transaction* t = transactions_.Find(message);
  if (t != nullptr && !t->over) counters_.Passed(t->message_class);
  EndUnasked(message);
}

void Calls::EndUnasked(MessageId message) {
  Transaction* t = transactions_.Find(message);
  if (t == nullptr || t->over) return;
  transactions_.End(*t);
  driver_.Post(Withdrawn{message});
  transactions_.ForgetIfDone(message);
}

void Calls::OnFlowOver(ServerFlow& flow) {
  const auto it = flows_.find(&flow);
  if (it == flows_.end()) return;
  --endpoints_.At(flow.endpoint()).users;
  loop_.Retire(std::move(it->second));
  flows_.erase(it);
  on_flow_over_();
}

void Calls::StartProbe(EndpointId endpoint) {
  ++counters_.probes;
  EndpointTable::Endpoint& to = endpoints_.At(endpoint);
  ++to.users;
  const auto may_leave = [this, endpoint] { return driver_.module().MayLeave(loop_.Now(), endpoint); };
  const auto done = [this](Probing& probe, const ProbeOutcome& outcome) {
    --endpoints_.At(outcome.endpoint).users;
    const auto it = probes_.find(&probe);
    loop_.Retire(std::move(it->second));
    probes_.erase(it);
    driver_.Post(outcome);
  };
  auto owned = std::make_unique<Probing>(loop_, client_, endpoint, to.address, config_.limits.connect_time,
                                         may_leave, done);
  Probing* probe = owned.get();
  probes_.emplace(probe, std::move(owned));
  probe->Start();
}

}  // namespace opalroute
