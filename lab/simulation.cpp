#include "lab/simulation.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <unordered_set>
#include <utility>

#include "lab/serve_call.h"

namespace opalroute::lab {

namespace {

constexpr long kMaxEventsAtOneTime = 5'000'000;  // a run of 1,000 relays has far fewer
constexpr Seconds kShutdownTime = 3.45;          // from SIGTERM to the end of a relay's process
constexpr Seconds kIdleConnectionTimeout = 14;   // of a relay's connections to endpoints
constexpr Seconds kConnectTimeout = 1.5;         // of a relay
constexpr Seconds kClientTimeout = 0.4;          // for a relay's response
constexpr Seconds kFullRetryAfter = 0.5;         // of a relay whose request table is full
constexpr Seconds kOverdueGracePeriod = 1.5;     // for overdue messages, after a restart or a freeze

Outcome OutcomeOf(RouteModel::CallStatus status) {
  switch (status) {
    case RouteModel::CallStatus::kServed:
      return Outcome::kServed;
    case RouteModel::CallStatus::kRejected:
      return Outcome::kRejected;
    case RouteModel::CallStatus::kError:
      return Outcome::kError;
    case RouteModel::CallStatus::kReset:
    case RouteModel::CallStatus::kNoResponse:
    case RouteModel::CallStatus::kInvalidResponse:
      break;
  }
  return Outcome::kReset;
}

// Unique over all partners; from 1, since 0 means no key.
std::uint64_t OrderingKeyOf(const Arrival& arrival) {
  return (static_cast<std::uint64_t>(arrival.partner) << 24) +
         static_cast<std::uint64_t>(arrival.ordering_key) + 1;
}

}  // namespace

struct Simulation::Relay {
  int number = 0;
  std::uint32_t process = 0;
  bool up = false, accepts_requests = false, stopping = false;
  Seconds frozen_until = 0;
  std::unique_ptr<RequestRouter> router;
  std::deque<opalroute::Event> events;
  std::deque<std::uint64_t> pending_changes;  // of the endpoint list, not yet delivered: indices in changes_
  bool handling_events = false, batch_end_scheduled = false;
  std::map<EndpointId, std::vector<std::vector<std::pair<std::uint64_t, int>>>> pending_batches;
  std::unordered_set<std::uint64_t> open_messages;
  struct Connections {
    int idle = 0;
    Seconds last_used = 0;
    int busy = 0;  // with a call in flight
  };
  std::unordered_map<EndpointId, Connections> connections;
  std::vector<Seconds> one_way_delay;  // by zone
  struct SavedHealth {
    RouteHealthChanged change;
    Seconds since = 0;  // RouteHealthChanged::age as a time
  };
  // In its state folder, by destination and endpoint.
  std::map<std::pair<DestinationId, EndpointId>, SavedHealth> saved_health;
};

Simulation::Simulation(const Scenario& scenario, std::uint64_t seed)
    : s_(scenario),
      random_(seed, 3),
      world_(scenario, seed),
      traffic_(world_, seed),
      auditor_(
          [&] {
            Auditor::Rules rules;
            rules.overload_window = scenario.settings.overload_window;
            rules.ordered_key_pause = scenario.settings.ordered_key_pause.value_or(0);
            return rules;
          }(),
          scenario.settings.classes),
      tally_(world_, seed),
      result_(tally_.result()),
      fleet_(s_, seed, *this, auditor_, result_) {
  statuses_.assign(world_.endpoint_count(), EndpointStatus::kInService);
  for (EndpointId id = 1; id <= world_.endpoint_count(); ++id)
    auditor_.OnEndpointListed(id, world_.endpoint(id).destination, world_.endpoint(id).route);
  auditor_.SetFleetSize(fleet_.enabled() ? s_.relays : 0);
  for (int i = 0; i < s_.relays; ++i) {
    relays_.push_back(std::make_unique<Relay>());
    relays_.back()->number = i;
    for (std::size_t z = 0; z < s_.zones.size(); ++z)
      relays_.back()->one_way_delay.push_back(Draw(s_.one_way_delay));
  }
}

Simulation::~Simulation() = default;

RunResult Simulation::Run(const std::function<void(Seconds)>& progress) {
  for (const auto& relay : relays_) StartRelay(*relay);
  if (const auto first = traffic_.Next()) {
    clients_.push_back({*first});
    Schedule(first->due, {EventKind::kArrival, 0, 0});
  }
  for (std::size_t i = 0; i < s_.endpoint_changes.size(); ++i)
    Schedule(s_.endpoint_changes[i].at, {EventKind::kPoolChange, 0, i});
  for (std::size_t i = 0; i < s_.relay_faults.size(); ++i)
    Schedule(s_.relay_faults[i].at, {EventKind::kRelayFault, 0, i});
  for (std::size_t i = 0; i < s_.operator_overrides.size(); ++i)
    Schedule(s_.operator_overrides[i].at, {EventKind::kOperatorOverride, 0, i});
  if (s_.oracle) Schedule(0, {EventKind::kOracle});
  const Micros end = ToMicros(LatestEnd(s_));
  Micros last_sample = 0;
  long events_at_time = 0;
  while (!queue_.empty() && queue_.next_time() <= end) {
    const auto event = queue_.Pop();
    events_at_time = event.at == now_ ? events_at_time + 1 : 0;
    if (events_at_time > kMaxEventsAtOneTime)
      throw std::runtime_error("simulated time stopped advancing at " + std::to_string(now()) + " s");
    now_ = event.at;
    ++result_.events;
    HandleEvent(event.payload);
    if (now_ / 1'000'000 != last_sample / 1'000'000) {
      last_sample = now_;
      auditor_.CheckDeadlines(now());
      tally_.SampleCapacity(now());
      if (progress) progress(now());
    }
  }
  auditor_.CheckDeadlines(static_cast<double>(end) * 1e-6 + 1);
  result_.breaches = auditor_.breaches();
  result_.client_duplicates = auditor_.client_duplicates();
  return std::move(result_);
}

// Whether the relay's process handles the event; if it is frozen, it does so only after the freeze.
bool Simulation::IsHandledByRelay(EventKind kind) {
  return kind == EventKind::kBatchEnd || kind == EventKind::kTimer || kind == EventKind::kListUpdate ||
         kind == EventKind::kCallEnded || kind == EventKind::kAttemptTimeout ||
         kind == EventKind::kFleetTick || kind == EventKind::kDatagram || kind == EventKind::kPeerUnreachable;
}

void Simulation::HandleEvent(const ScheduledEvent& event) {
  if (IsHandledByRelay(event.kind)) {
    const Seconds until = relays_[static_cast<std::size_t>(event.relay)]->frozen_until;
    // Compared in the queue's microseconds: an end of the freeze that lies between two of them may be rounded
    // down to the present one, and a comparison in seconds would reschedule the event for it forever.
    if (ToMicros(until) > now_) return Schedule(until, event);
  }
  switch (event.kind) {
    case EventKind::kArrival: {
      const std::uint64_t client = event.id;
      const Arrival arrival = clients_[client].arrival;
      if (const auto next = traffic_.Next()) {
        clients_.push_back({*next});
        Schedule(next->due, {EventKind::kArrival, 0, clients_.size() - 1});
      }
      tally_.CountOffered(arrival);
      return Submit(client);
    }
    case EventKind::kSubmit:
      return Submit(event.id);
    case EventKind::kCallReceived:
      return OnCallReceived(event.id);
    case EventKind::kCallEnded:
      return OnCallEnded(event.id);
    case EventKind::kAttemptTimeout:
      return AbandonAttempt(event.id, static_cast<int>(event.detail), Outcome::kTimeout);
    case EventKind::kPoolChange:
      return ApplyPoolChange(s_.endpoint_changes[event.id]);
    case EventKind::kEndpointRemoved:
      return PublishChange(static_cast<EndpointId>(event.id), EndpointStatus::kRemoved);
    case EventKind::kRelayFault:
      return ApplyFault(s_.relay_faults[event.id], event.detail != 0);
    case EventKind::kOperatorOverride:
      return fleet_.ApplyOverride(s_.operator_overrides[event.id]);
    case EventKind::kFleetTick:
    case EventKind::kDatagram:
    case EventKind::kPeerUnreachable:
    case EventKind::kOracle:
      return HandleFleetEvent(event);
    case EventKind::kBatchEnd:
    case EventKind::kTimer:
    case EventKind::kListUpdate:
    case EventKind::kRelayStart:
      break;
  }
  Relay& relay = *relays_[static_cast<std::size_t>(event.relay)];
  if (event.kind == EventKind::kRelayStart) return RestartRelay(relay);
  if (!relay.up || relay.process != event.process) return;
  if (event.kind == EventKind::kListUpdate) return DeliverListUpdate(relay);
  if (event.kind == EventKind::kTimer) return Post(relay, TimerFired{event.id});
  relay.batch_end_scheduled = false;
  Post(relay, BatchEnd{});
}

ListedEndpoint Simulation::ListEntry(EndpointId id, EndpointStatus status) const {
  const PartnerEndpoint& e = world_.endpoint(id);
  return {id, ZoneId{e.zone}, KindId{e.kind}, e.destination, status, e.listed_rate, id};
}

// ---- fleet ----------------------------------------------------------------------------------------

bool Simulation::IsUp(int relay) const { return relays_[static_cast<std::size_t>(relay)]->up; }

void Simulation::PostEvent(int number, opalroute::Event event) {
  Relay& relay = *relays_[static_cast<std::size_t>(number)];
  if (relay.up && relay.router) Post(relay, std::move(event));
}

void Simulation::HandleFleetEvent(const ScheduledEvent& event) {
  if (event.kind == EventKind::kOracle) {
    fleet_.RunOracle();
    return Schedule(now() + zone_failover::ZoneFailover::kTickInterval, event);
  }
  if (event.kind == EventKind::kDatagram) return fleet_.OnDatagramArrived(event.id);
  if (event.kind == EventKind::kPeerUnreachable)
    return fleet_.OnPeerUnreachable(event.relay, static_cast<int>(event.id));
  Relay& relay = *relays_[static_cast<std::size_t>(event.relay)];
  if (!relay.up || relay.process != event.process) return;
  fleet_.Tick(event.relay);
  relay.accepts_requests = relay.accepts_requests || (!relay.stopping && fleet_.HasJoined(event.relay));
  Schedule(now() + zone_failover::ZoneFailover::kTickInterval, event);
}

bool Simulation::CanReach(int relay, const PartnerEndpoint& endpoint) const {
  return !fleet_.links().IsEndpointLinkCut(now(), relay, endpoint.zone);
}

// ---- relays -----------------------------------------------------------------------------------------

void Simulation::StartRelay(Relay& relay) {
  Settings settings = s_.settings;
  settings.seed = (static_cast<std::uint64_t>(random_()) << 32) + random_();
  relay.router = std::make_unique<RequestRouter>(settings);
  relay.up = true;
  relay.stopping = false;
  fleet_.StartRelay(relay.number);
  relay.accepts_requests = fleet_.HasJoined(relay.number) || now() <= 0;
  if (fleet_.enabled())
    Schedule(now() + zone_failover::ZoneFailover::kTickInterval * random_() / 4294967296.0,
             {EventKind::kFleetTick, relay.number, 0, 0, relay.process});
  ListUpdate list;
  list.scope = ListScope::kComplete;
  for (EndpointId id = 1; id <= statuses_.size(); ++id)
    if (statuses_[id - 1] != EndpointStatus::kRemoved)
      list.entries.push_back(ListEntry(id, statuses_[id - 1]));
  Post(relay, std::move(list));
  RecoverRouteHealth(relay);
}

void Simulation::RecoverRouteHealth(Relay& relay) {
  const auto saved = relay.saved_health;  // the events change it
  for (const auto& [route, entry] : saved) {
    const RouteHealthChanged& health = entry.change;
    if (health.condition == RouteCondition::kServing && !health.circuit_open) continue;
    Post(relay, RecoveredRouteHealth{health.destination, health.endpoint, health.condition,
                                     health.circuit_open, health.faults, now() - entry.since});
  }
}

// An action may post further events while it is performed, as in the relay itself; they are queued.
void Simulation::Post(Relay& relay, opalroute::Event event) {
  relay.events.push_back(std::move(event));
  if (std::exchange(relay.handling_events, true)) return;
  while (!relay.events.empty()) {
    const opalroute::Event next = std::move(relay.events.front());
    relay.events.pop_front();
    std::vector<Action> actions;
    relay.router->Handle(now(), next, actions);
    if (!std::holds_alternative<BatchEnd>(next) && !std::exchange(relay.batch_end_scheduled, true)) {
      const Seconds tick = s_.settings.tick;
      Schedule((std::floor(now() / tick + 1e-9) + 1) * tick,
               {EventKind::kBatchEnd, relay.number, 0, 0, relay.process});
    }
    PerformActions(relay, actions);
  }
  relay.handling_events = false;
}

void Simulation::PerformActions(Relay& relay, const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      AddToBatch(relay, *send);
    } else if (const auto* reject = std::get_if<Reject>(&action)) {
      OnEndedByRelay(reject->request_id, true, reject->retry_after);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      OnEndedByRelay(fail->request_id, false, 0);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      AbandonAttempt(cancel->request_id, cancel->attempt, Outcome::kCancelled);
    } else if (const auto* health_check = std::get_if<HealthCheck>(&action)) {
      ++result_.health_checks;
      StartCall(relay, health_check->endpoint, {}, true);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      Schedule(timer->due, {EventKind::kTimer, relay.number, timer->timer_id, 0, relay.process});
    } else if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
      relay.connections[close->endpoint].idle = 0;
    } else if (const auto* health = std::get_if<RouteHealthChanged>(&action)) {
      relay.saved_health[{health->destination, health->endpoint}] = {*health, now() - health->age};
    } else if (const auto* gossip = std::get_if<SendGossip>(&action)) {
      fleet_.SendDatagram(relay.number, gossip->peer, gossip->payload);
    }
  }
  for (auto& [endpoint, batches] : std::exchange(relay.pending_batches, {}))
    for (auto& batch : batches) StartCall(relay, endpoint, std::move(batch), false);
}

void Simulation::AddToBatch(Relay& relay, const Send& send) {
  const auto it = submissions_.find(send.request_id);
  auditor_.OnSent(now(), relay.number, send.request_id, send.endpoint);
  if (it == submissions_.end()) return;
  Submission& submission = it->second;
  const int attempt = static_cast<int>(submission.attempts.size());
  submission.attempts.push_back({send.endpoint, now()});
  ++submission.in_flight;
  ++result_.attempts;
  const Seconds until =
      send.timeout_at > 0 ? std::min(send.timeout_at, submission.deadline) : submission.deadline;
  Schedule(until, {EventKind::kAttemptTimeout, relay.number, send.request_id,
                   static_cast<std::uint32_t>(attempt), relay.process});
  const int max_batch =
      std::max(1, s_.settings.kinds[static_cast<std::size_t>(world_.endpoint(send.endpoint).kind)].max_batch);
  auto& batches = relay.pending_batches[send.endpoint];
  if (batches.empty() || static_cast<int>(batches.back().size()) >= max_batch) batches.emplace_back();
  batches.back().emplace_back(send.request_id, attempt);
}

// ---- calls --------------------------------------------------------------------------------------------

void Simulation::StartCall(Relay& relay, EndpointId endpoint,
                           std::vector<std::pair<std::uint64_t, int>> batch, bool health_check) {
  const std::uint64_t number = ++last_call_;
  tally_.CountCall(now(), relay.number, endpoint);
  for (std::size_t i = 0; i < std::max<std::size_t>(1, batch.size()); ++i)
    fleet_.OnSent(relay.number, ListEntry(endpoint, EndpointStatus::kInService));
  Call& call = calls_[number];
  call.relay = relay.number;
  call.process = relay.process;
  call.endpoint = endpoint;
  call.sent = now();
  call.batch = std::move(batch);
  call.health_check = health_check;
  for (const auto& [id, attempt] : call.batch)
    submissions_.at(id).attempts[static_cast<std::size_t>(attempt)].call = number;
  const PartnerEndpoint& e = world_.endpoint(endpoint);
  const Seconds delay = relay.one_way_delay[static_cast<std::size_t>(e.zone)];
  Relay::Connections& connections = relay.connections[endpoint];
  if (connections.last_used + kIdleConnectionTimeout < now()) connections.idle = 0;
  const bool reused = connections.idle > 0;
  if (reused) --connections.idle;
  const RouteModel& route = world_.route(e.machine_route);
  const bool cut = !CanReach(relay.number, e);
  const bool removed = statuses_[endpoint - 1] == EndpointStatus::kRemoved;
  const bool out_of_connections =
      !reused && e.max_connections > 0 && ConnectionCount(endpoint) >= e.max_connections;
  call.connected = reused || !(removed || out_of_connections || cut || route.RefusesConnections(now()) ||
                               route.IsUnreachable(now()));
  if (!call.connected) {
    // An endpoint with no connection left answers the first request on a new one with 503 and closes it.
    call.out_of_connections = out_of_connections && !removed && !cut && !route.RefusesConnections(now()) &&
                              !route.IsUnreachable(now());
    if (call.out_of_connections)
      return Schedule(now() + 4 * delay + s_.handshake_time, {EventKind::kCallEnded, relay.number, number});
    call.in_outage = route.InOutage(now());
    const Seconds failure_delay =
        !removed && (cut || route.IsUnreachable(now())) ? kConnectTimeout : 2 * delay;
    return Schedule(now() + failure_delay, {EventKind::kCallEnded, relay.number, number});
  }
  ++connections.busy;
  if (!reused) tally_.CountConnection();
  Schedule(now() + delay + (reused ? 0 : 2 * delay + s_.handshake_time),
           {EventKind::kCallReceived, relay.number, number});
}

int Simulation::ConnectionCount(EndpointId endpoint) const {
  int open = 0;
  for (const auto& relay : relays_) {
    const auto it = relay->connections.find(endpoint);
    if (it == relay->connections.end()) continue;
    open += it->second.busy + (it->second.last_used + kIdleConnectionTimeout < now() ? 0 : it->second.idle);
  }
  return open;
}

bool Simulation::IsAwaited(const Call& call) const {
  return call.health_check || std::any_of(call.batch.begin(), call.batch.end(), [this](const auto& entry) {
           const auto it = submissions_.find(entry.first);
           return it != submissions_.end() &&
                  it->second.attempts[static_cast<std::size_t>(entry.second)].in_flight;
         });
}

void Simulation::ReleaseConnection(const Call& call) {
  Relay& relay = *relays_[static_cast<std::size_t>(call.relay)];
  if (call.connected && relay.up && relay.process == call.process) --relay.connections[call.endpoint].busy;
}

void Simulation::OnCallReceived(std::uint64_t number) {
  Call& call = calls_.at(number);
  const PartnerEndpoint& e = world_.endpoint(call.endpoint);
  call.in_outage = world_.route(e.machine_route).InOutage(now());
  if (CanReach(call.relay, e))
    call.result = ServeCall(world_, auditor_, tally_, now(), call.relay, e);
  else
    call.result.status = RouteModel::CallStatus::kNoResponse;  // a cut connection stays open
  if (call.health_check) call.result.retry_after = 0;  // health checks are answered without a Retry-After
  if (call.result.ran)
    for (const auto& [id, attempt] : call.batch) auditor_.OnRan(now(), id);
  // A call without a response never ends by itself; its relay gives it up.
  if (call.result.status == RouteModel::CallStatus::kNoResponse && !call.health_check) {
    if (IsAwaited(call)) return;
    ReleaseConnection(call);
    calls_.erase(number);
    return;
  }
  const Seconds delay =
      relays_[static_cast<std::size_t>(call.relay)]->one_way_delay[static_cast<std::size_t>(e.zone)];
  const Seconds duration =
      call.result.status == RouteModel::CallStatus::kNoResponse ? 1.5 : call.result.duration;
  Schedule(now() + duration + delay, {EventKind::kCallEnded, call.relay, number});
}

void Simulation::OnCallEnded(std::uint64_t number) {
  const Call call = std::move(calls_.at(number));
  calls_.erase(number);
  Relay& relay = *relays_[static_cast<std::size_t>(call.relay)];
  if (!relay.up || relay.process != call.process) return;
  ReleaseConnection(call);
  const PartnerEndpoint& e = world_.endpoint(call.endpoint);
  Outcome outcome = call.connected ? OutcomeOf(call.result.status) : Outcome::kConnectFailed;
  if (call.out_of_connections) outcome = call.health_check ? Outcome::kRejected : Outcome::kOutOfConnections;
  if (call.health_check && call.result.status == RouteModel::CallStatus::kNoResponse)
    outcome = Outcome::kTimeout;
  if (call.connected &&
      (outcome == Outcome::kServed || outcome == Outcome::kRejected || outcome == Outcome::kError)) {
    Relay::Connections& connections = relay.connections[call.endpoint];
    ++connections.idle;
    connections.last_used = now();
  }
  // The relay doesn't read the response to a call that it has given up.
  if (!IsAwaited(call)) return;
  if (outcome != Outcome::kServed && call.in_outage)
    auditor_.OnOutageObserved(now(), relay.number, e.machine_route);
  if (call.result.retry_after > 0)
    auditor_.OnRetryAfterReceived(now(), relay.number, e.route, call.result.retry_after);
  if (call.health_check) {
    HealthCheckOutcome ended;
    ended.endpoint = call.endpoint;
    ended.outcome = outcome;
    ended.duration = now() - call.sent;
    fleet_.OnEnded(relay.number, ListEntry(call.endpoint, EndpointStatus::kInService), outcome,
                   ended.duration);
    return Post(relay, ended);
  }
  for (const auto& [id, attempt] : call.batch) EndAttempt(id, attempt, outcome, call.result.retry_after);
}

// The relay stops waiting for one attempt. Its call goes on at the partner.
void Simulation::AbandonAttempt(std::uint64_t id, int attempt, Outcome outcome) {
  const auto it = submissions_.find(id);
  if (it == submissions_.end() || attempt >= static_cast<int>(it->second.attempts.size())) return;
  const Attempt& a = it->second.attempts[static_cast<std::size_t>(attempt)];
  if (!a.in_flight) return;
  const auto call = calls_.find(a.call);
  if (call != calls_.end()) {
    auto& batch = call->second.batch;
    // A call that is still on its way keeps the attempt, so that the auditor learns which messages it runs.
    const bool reached = call->second.result.duration > 0;
    if (outcome == Outcome::kTimeout && call->second.in_outage)
      auditor_.OnOutageObserved(now(), call->second.relay,
                                world_.endpoint(call->second.endpoint).machine_route);
    const auto entry = std::find(batch.begin(), batch.end(), std::make_pair(id, attempt));
    if (reached && entry != batch.end()) batch.erase(entry);
    if (batch.empty() && call->second.result.status == RouteModel::CallStatus::kNoResponse) {
      ReleaseConnection(call->second);
      calls_.erase(call);
    }
  }
  EndAttempt(id, attempt, outcome, 0);
}

void Simulation::EndAttempt(std::uint64_t id, int attempt, Outcome outcome, Seconds retry_after) {
  const auto it = submissions_.find(id);
  if (it == submissions_.end()) return;
  Submission& submission = it->second;
  Attempt& a = submission.attempts[static_cast<std::size_t>(attempt)];
  if (!std::exchange(a.in_flight, false)) return;
  a.may_have_run = !decision::ProvesNeverRan(outcome);
  --submission.in_flight;
  Relay& relay = *relays_[static_cast<std::size_t>(submission.relay)];
  tally_.CountAttempt(outcome);
  auditor_.OnAttemptEnded(id, attempt, a.may_have_run);
  if (outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled)
    auditor_.OnMayStillBeRunning(now(), id);
  const bool delivered = outcome == Outcome::kServed && !submission.ended;
  if (delivered) {
    submission.ended = true;
    relay.open_messages.erase(id);
    auditor_.OnEnded(now(), id, Auditor::End::kDelivered);
    RecordDelivery(clients_[submission.client]);
  }
  AttemptOutcome ended;
  ended.request_id = id;
  ended.attempt = attempt;
  ended.endpoint = a.endpoint;
  ended.outcome = outcome;
  ended.duration = now() - a.sent;
  ended.retry_after = retry_after;
  ended.request_ended = submission.ended;
  fleet_.OnEnded(relay.number, ListEntry(a.endpoint, EndpointStatus::kInService), outcome, ended.duration);
  EraseIfDone(id);
  Post(relay, ended);
}

void Simulation::EraseIfDone(std::uint64_t id) {
  const auto it = submissions_.find(id);
  if (it != submissions_.end() && it->second.ended && it->second.in_flight == 0) submissions_.erase(it);
}

// ---- clients ------------------------------------------------------------------------------------------

void Simulation::Submit(std::uint64_t client) {
  const Arrival arrival = clients_[client].arrival;
  const RequestClass& c = s_.classes[static_cast<std::size_t>(arrival.message_class)].rules;
  const Seconds deadline = arrival.due + c.deadline;
  if (now() >= deadline) return;
  Relay* relay = nullptr;
  for (std::size_t tried = 0; tried < relays_.size() && relay == nullptr; ++tried) {
    Relay& next = *relays_[next_relay_++ % relays_.size()];
    if (next.up && next.accepts_requests) relay = &next;
  }
  ++result_.submitted;
  if (relay != nullptr && relay->frozen_until > now())  // no response: the client submits it to the next one
    return Schedule(now() + kClientTimeout, {EventKind::kSubmit, 0, client});
  if (relay == nullptr || static_cast<int>(relay->open_messages.size()) >= s_.settings.request_capacity) {
    tally_.CountRejected(now());
    return ScheduleRetry(client, kFullRetryAfter);
  }
  const std::uint64_t id = ++last_message_;
  Submission& submission = submissions_[id];
  submission.client = client;
  submission.relay = relay->number;
  submission.deadline = deadline;
  relay->open_messages.insert(id);
  const PartnerInfo& partner = world_.partners()[arrival.partner];
  auditor_.OnAccepted(now(), relay->number, id, client, arrival.message_class, partner.id, deadline);
  if (arrival.ordering_key >= 0) auditor_.SetOrderingKey(id, OrderingKeyOf(arrival));
  NewRequest message;
  message.request_id = id;
  message.request_class = arrival.message_class;
  message.remaining_time = deadline - now();
  message.destination = partner.id;
  if (s_.tenants.size() > 1) message.tenant = arrival.tenant;
  if (arrival.ordering_key >= 0) message.key = std::to_string(OrderingKeyOf(arrival));
  Post(*relay, std::move(message));
}

void Simulation::OnEndedByRelay(std::uint64_t id, bool rejected, Seconds retry_after) {
  const auto it = submissions_.find(id);
  auditor_.OnEnded(now(), id, rejected ? Auditor::End::kRejected : Auditor::End::kFailed);
  if (it == submissions_.end() || it->second.ended) return;
  Submission& submission = it->second;
  submission.ended = true;
  relays_[static_cast<std::size_t>(submission.relay)]->open_messages.erase(id);
  rejected ? tally_.CountRejected(now()) : tally_.CountFailed(now());
  const std::uint64_t client = submission.client;
  EraseIfDone(id);
  if (rejected) ScheduleRetry(client, retry_after);
}

void Simulation::ScheduleRetry(std::uint64_t client, Seconds retry_after) {
  if (clients_[client].retries++ >= s_.clients.max_retries) return;
  const Seconds wait =
      retry_after > 0 ? std::min(retry_after, s_.settings.max_retry_after) : Draw(s_.clients.retry_delay);
  Schedule(now() + wait, {EventKind::kSubmit, 0, client});
}

void Simulation::RecordDelivery(Client& client) {
  if (std::exchange(client.delivered, true)) return;
  tally_.CountDelivered(client.arrival, now());
}

// ---- endpoint list and relay faults -------------------------------------------------------------------

void Simulation::PublishChange(EndpointId endpoint, EndpointStatus status) {
  if (endpoint > statuses_.size()) {
    statuses_.resize(endpoint, EndpointStatus::kInService);
    auditor_.OnEndpointListed(endpoint, world_.endpoint(endpoint).destination,
                              world_.endpoint(endpoint).route);
  }
  statuses_[endpoint - 1] = status;
  changes_.push_back({endpoint, status});
  for (const auto& relay : relays_) {
    if (relay->up) relay->pending_changes.push_back(changes_.size() - 1);
    Schedule(now() + Draw(s_.list_delay), {EventKind::kListUpdate, relay->number, 0, 0, relay->process});
  }
}

// A watch delivers changes in the order in which they were made, whatever the delay of each.
void Simulation::DeliverListUpdate(Relay& relay) {
  if (relay.pending_changes.empty()) return;
  if (fleet_.links().IsDiscoveryLinkCut(now(), relay.number))  // tried again until the cut is over
    return Schedule(now() + 0.25, {EventKind::kListUpdate, relay.number, 0, 0, relay.process});
  const World::ListChange change = changes_[relay.pending_changes.front()];
  relay.pending_changes.pop_front();
  if (change.status != EndpointStatus::kInService)
    auditor_.OnDrainReceived(now(), relay.number, change.endpoint);
  ListUpdate update;
  update.scope = ListScope::kChanges;
  update.entries = {ListEntry(change.endpoint, change.status)};
  Post(relay, std::move(update));
}

void Simulation::ApplyPoolChange(const EndpointChange& change) {
  const auto changes = world_.ApplyChange(
      change, [this](EndpointId id) { return statuses_[id - 1]; },
      [this] {
        return Draw({0, 1});
      });
  for (const World::ListChange& c : changes) {
    PublishChange(c.endpoint, c.status);
    if (c.status == EndpointStatus::kDraining)
      Schedule(now() + World::kDrainDuration, {EventKind::kEndpointRemoved, 0, c.endpoint});
  }
}

void Simulation::ApplyFault(const RelayFault& fault, bool shutdown_over) {
  Relay& relay = *relays_[static_cast<std::size_t>(fault.relay)];
  // A router has no configuration file to reload, and sends no responses after which it could be killed.
  const bool needs_process =
      fault.kind == RelayFault::Kind::kReload || fault.kind == RelayFault::Kind::kKillAfterAccept;
  if (!relay.up || needs_process) return;
  if (fault.kind == RelayFault::Kind::kFreeze) {
    relay.frozen_until = now() + fault.downtime;
    return auditor_.ExtendDeadlines(relay.number, relay.frozen_until + kOverdueGracePeriod);
  }
  if (fault.kind == RelayFault::Kind::kStop && !shutdown_over) {
    relay.accepts_requests = false;
    relay.stopping = true;
    Post(relay, ShutdownStarted{kShutdownTime});
    const auto index = static_cast<std::uint64_t>(&fault - s_.relay_faults.data());
    return Schedule(now() + kShutdownTime, {EventKind::kRelayFault, relay.number, index, 1});
  }
  if (fault.kind == RelayFault::Kind::kStop) fleet_.AnnounceLeave(relay.number);
  relay.up = relay.accepts_requests = false;
  fleet_.StopRelay(relay.number, fault.loses_saved_state);
  if (fault.loses_saved_state) relay.saved_health.clear();
  relay.frozen_until = 0;
  ++relay.process;
  relay.router.reset();
  relay.events.clear();
  relay.pending_changes.clear();
  relay.connections.clear();
  relay.pending_batches.clear();
  relay.batch_end_scheduled = false;
  auditor_.OnRelayStopped(relay.number, now() + fault.downtime + kOverdueGracePeriod);
  for (auto it = submissions_.begin(); it != submissions_.end();) {
    Submission& submission = it->second;
    const std::uint64_t id = it->first;
    ++it;
    if (submission.relay != relay.number) continue;
    // The journal records that a call was sent, but not its outcome.
    for (std::size_t i = 0; i < submission.attempts.size(); ++i) {
      if (!std::exchange(submission.attempts[i].in_flight, false)) continue;
      submission.attempts[i].may_have_run = true;
      --submission.in_flight;
      auditor_.OnAttemptEnded(id, static_cast<int>(i), true);
    }
    if (submission.ended) submissions_.erase(id);
  }
  Schedule(now() + fault.downtime, {EventKind::kRelayStart, relay.number, 0});
}

void Simulation::RestartRelay(Relay& relay) {
  StartRelay(relay);
  std::vector<std::uint64_t> ids(relay.open_messages.begin(), relay.open_messages.end());
  std::sort(ids.begin(), ids.end());  // in the order accepted
  for (const std::uint64_t id : ids) {
    const Submission& submission = submissions_.at(id);
    const Arrival& arrival = clients_[submission.client].arrival;
    RecoveredRequest recovered;
    recovered.request.request_id = id;
    recovered.request.request_class = arrival.message_class;
    recovered.request.destination = world_.partners()[arrival.partner].id;
    recovered.request.remaining_time = std::max(0.0, submission.deadline - now());
    if (s_.tenants.size() > 1) recovered.request.tenant = arrival.tenant;
    if (arrival.ordering_key >= 0) recovered.request.key = std::to_string(OrderingKeyOf(arrival));
    for (const Attempt& a : submission.attempts)
      recovered.attempts.push_back(
          {a.endpoint, ZoneId{world_.endpoint(a.endpoint).zone}, now() - a.sent, a.may_have_run});
    Post(relay, std::move(recovered));
  }
}

}  // namespace opalroute::lab
