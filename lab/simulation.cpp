#include "lab/simulation.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <unordered_set>
#include <utility>

#include "lab/call.h"

namespace opalroute::lab {

namespace {

constexpr long kMostAtOnce = 5'000'000;  // events at one moment: a run of 1,000 relays has fewer by far
constexpr Seconds kStopTime = 3.45;      // a relay ends so long after SIGTERM
constexpr Seconds kIdleTime = 14;        // a connection is kept so long between calls
constexpr Seconds kDialTime = 1.5;       // that a relay gives a connection to come up
constexpr Seconds kAnswerTime = 0.4;     // that a client gives a relay
constexpr Seconds kFullAdvice = 0.5;     // what a relay without room tells its clients
constexpr Seconds kAfterReady = 1.5;     // after a restart what was overdue may be answered until then

Outcome OutcomeOf(RouteModel::CallStatus fate) {
  switch (fate) {
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

// A key is a partner's own. Counted from 1.
std::uint64_t OrderKeyOf(const Arrival& arrival) {
  return (static_cast<std::uint64_t>(arrival.partner) << 24) + static_cast<std::uint64_t>(arrival.order_key) +
         1;
}

}  // namespace

struct Simulation::Relay {
  int number = 0;
  std::uint32_t life = 0;
  bool up = false, takes_on = false, stopping = false;
  Seconds frozen_until = 0;
  std::unique_ptr<RequestRouter> module;
  std::deque<opalroute::Event> line;
  std::deque<std::uint64_t> news;  // changes of the list that it has not heard of, by number
  bool pumping = false, turn_armed = false;
  std::map<EndpointId, std::vector<std::vector<std::pair<std::uint64_t, int>>>> gathered;
  std::unordered_set<std::uint64_t> held;  // ids that are not over
  struct Idle {
    int count = 0;
    Seconds last = 0;
    int busy = 0;  // connections that a call is out on
  };
  std::unordered_map<EndpointId, Idle> idle;
  std::vector<Seconds> one_way;  // by zone
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
      tier_(s_, seed, *this, auditor_, result_) {
  listings_.assign(world_.endpoint_count(), EndpointStatus::kInService);
  for (EndpointId id = 1; id <= world_.endpoint_count(); ++id)
    auditor_.OnEndpointListed(id, world_.endpoint(id).destination, world_.endpoint(id).lane);
  auditor_.SetFleetSize(tier_.on() ? s_.relays : 0);
  for (int i = 0; i < s_.relays; ++i) {
    relays_.push_back(std::make_unique<Relay>());
    relays_.back()->number = i;
    for (std::size_t z = 0; z < s_.zones.size(); ++z) relays_.back()->one_way.push_back(Draw(s_.one_way));
  }
}

Simulation::~Simulation() = default;

RunResult Simulation::Run(const std::function<void(Seconds)>& progress) {
  for (const auto& relay : relays_) StartRelay(*relay);
  if (const auto first = traffic_.Next()) {
    clients_.push_back({*first});
    At(first->due, {Kind::kArrival, 0, 0});
  }
  for (std::size_t i = 0; i < s_.pool_changes.size(); ++i) At(s_.pool_changes[i].at, {Kind::kChange, 0, i});
  for (std::size_t i = 0; i < s_.relay_faults.size(); ++i) At(s_.relay_faults[i].at, {Kind::kFault, 0, i});
  for (std::size_t i = 0; i < s_.zone_orders.size(); ++i) At(s_.zone_orders[i].at, {Kind::kOrder, 0, i});
  if (s_.oracle) At(0, {Kind::kTruth});
  const Micros ends = ToMicros(EndOf(s_));
  Micros told = 0;
  long at_once = 0;
  while (!queue_.empty() && queue_.next_time() <= ends) {
    const auto event = queue_.Pop();
    at_once = event.at == now_ ? at_once + 1 : 0;
    if (at_once > kMostAtOnce)
      throw std::runtime_error("the simulation stands still at " + std::to_string(now()) + " s");
    now_ = event.at;
    ++result_.events;
    Play(event.payload);
    if (now_ / 1'000'000 != told / 1'000'000) {
      told = now_;
      auditor_.CheckDeadlines(now());
      tally_.Sample(now());
      if (progress) progress(now());
    }
  }
  auditor_.CheckDeadlines(static_cast<double>(ends) * 1e-6 + 1);
  result_.breaches = auditor_.breaches();
  result_.client_doubles = auditor_.client_duplicates();
  return std::move(result_);
}

// What a relay does: a frozen one does it as soon as it may.
bool Simulation::IsRelays(Kind kind) {
  return kind == Kind::kTurn || kind == Kind::kWake || kind == Kind::kNews || kind == Kind::kBack ||
         kind == Kind::kUntil || kind == Kind::kTick || kind == Kind::kNote || kind == Kind::kRefusal;
}

void Simulation::Play(const Payload& event) {
  if (IsRelays(event.kind)) {
    const Seconds until = relays_[static_cast<std::size_t>(event.relay)]->frozen_until;
    // Danger: on the queue's clock. A time between two of its steps would come again at the same moment for
    // ever.
    if (ToMicros(until) > now_) return At(until, event);
  }
  switch (event.kind) {
    case Kind::kArrival: {
      const std::uint64_t client = event.a;
      const Arrival arrival = clients_[client].arrival;
      if (const auto next = traffic_.Next()) {
        clients_.push_back({*next});
        At(next->due, {Kind::kArrival, 0, clients_.size() - 1});
      }
      tally_.Offered(arrival);
      return HandIn(client);
    }
    case Kind::kHandIn:
      return HandIn(event.a);
    case Kind::kReach:
      return Reach(event.a);
    case Kind::kBack:
      return Back(event.a);
    case Kind::kUntil:
      return GiveUp(event.a, static_cast<int>(event.b), Outcome::kTimeout);
    case Kind::kChange:
      return ChangeList(s_.pool_changes[event.a]);
    case Kind::kGone:
      return Publish(static_cast<EndpointId>(event.a), EndpointStatus::kRemoved);
    case Kind::kFault:
      return Strike(s_.relay_faults[event.a], event.b != 0);
    case Kind::kOrder:
      return tier_.Order(s_.zone_orders[event.a]);
    case Kind::kTick:
    case Kind::kNote:
    case Kind::kRefusal:
    case Kind::kTruth:
      return PlayTier(event);
    case Kind::kTurn:
    case Kind::kWake:
    case Kind::kNews:
    case Kind::kUp:
      break;
  }
  Relay& relay = *relays_[static_cast<std::size_t>(event.relay)];
  if (event.kind == Kind::kUp) return BringUp(relay);
  if (!relay.up || relay.life != event.life) return;
  if (event.kind == Kind::kNews) return TellNews(relay);
  if (event.kind == Kind::kWake) return Post(relay, TimerFired{event.a});
  relay.turn_armed = false;
  Post(relay, BatchEnd{});
}

ListedEndpoint Simulation::EntryOf(EndpointId id, EndpointStatus listing) const {
  const PartnerEndpoint& e = world_.endpoint(id);
  return {id, e.zone, e.kind, e.destination, listing, e.rating, id};
}

// ---- the tier ---------------------------------------------------------------------------------------

bool Simulation::IsUp(int relay) const { return relays_[static_cast<std::size_t>(relay)]->up; }

void Simulation::PostTo(int number, opalroute::Event event) {
  Relay& relay = *relays_[static_cast<std::size_t>(number)];
  if (relay.up && relay.module) Post(relay, std::move(event));
}

void Simulation::PlayTier(const Payload& event) {
  if (event.kind == Kind::kTruth) {
    tier_.TellTruth();
    return At(now() + zone_failover::ZoneFailover::kTickInterval, event);
  }
  if (event.kind == Kind::kNote) return tier_.Arrive(event.a);
  if (event.kind == Kind::kRefusal) return tier_.Refused(event.relay, static_cast<int>(event.a));
  Relay& relay = *relays_[static_cast<std::size_t>(event.relay)];
  if (!relay.up || relay.life != event.life) return;
  tier_.Tick(event.relay);
  relay.takes_on = relay.takes_on || (!relay.stopping && tier_.Joined(event.relay));
  At(now() + zone_failover::ZoneFailover::kTickInterval, event);
}

bool Simulation::Reaches(int relay, const PartnerEndpoint& endpoint) const {
  return !tier_.links().IsEndpointLinkCut(now(), relay, endpoint.zone);
}

// ---- relays -----------------------------------------------------------------------------------------

void Simulation::StartRelay(Relay& relay) {
  Settings settings = s_.settings;
  settings.seed = (static_cast<std::uint64_t>(random_()) << 32) + random_();
  relay.module = std::make_unique<RequestRouter>(settings);
  relay.up = true;
  relay.stopping = false;
  tier_.Start(relay.number);
  relay.takes_on = tier_.Joined(relay.number) || now() <= 0;
  if (tier_.on())
    At(now() + zone_failover::ZoneFailover::kTickInterval * random_() / 4294967296.0,
       {Kind::kTick, relay.number, 0, 0, relay.life});
  ListUpdate list;
  list.scope = ListScope::kComplete;
  for (EndpointId id = 1; id <= listings_.size(); ++id)
    if (listings_[id - 1] != EndpointStatus::kRemoved) list.entries.push_back(EntryOf(id, listings_[id - 1]));
  Post(relay, std::move(list));
}

// An action may bring about the next event before it is done, as in the relay itself.
void Simulation::Post(Relay& relay, opalroute::Event event) {
  relay.line.push_back(std::move(event));
  if (std::exchange(relay.pumping, true)) return;
  while (!relay.line.empty()) {
    const opalroute::Event next = std::move(relay.line.front());
    relay.line.pop_front();
    std::vector<Action> actions;
    relay.module->Handle(now(), next, actions);
    if (!std::holds_alternative<BatchEnd>(next) && !std::exchange(relay.turn_armed, true)) {
      const Seconds tick = s_.settings.tick;
      At((std::floor(now() / tick + 1e-9) + 1) * tick, {Kind::kTurn, relay.number, 0, 0, relay.life});
    }
    Apply(relay, actions);
  }
  relay.pumping = false;
}

void Simulation::Apply(Relay& relay, const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      Gather(relay, *send);
    } else if (const auto* refuse = std::get_if<Reject>(&action)) {
      EndByRelay(refuse->request_id, true, refuse->retry_after);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      EndByRelay(fail->request_id, false, 0);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      GiveUp(cancel->request_id, cancel->attempt, Outcome::kCancelled);
    } else if (const auto* probe = std::get_if<HealthCheck>(&action)) {
      ++result_.probes;
      StartCall(relay, probe->endpoint, {}, true);
    } else if (const auto* wake = std::get_if<SetTimer>(&action)) {
      At(wake->due, {Kind::kWake, relay.number, wake->timer_id, 0, relay.life});
    } else if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
      relay.idle[close->endpoint].count = 0;
    } else if (const auto* tell = std::get_if<SendGossip>(&action)) {
      tier_.Tell(relay.number, tell->peer, tell->payload);
    }
  }
  for (auto& [endpoint, batches] : std::exchange(relay.gathered, {}))
    for (auto& members : batches) StartCall(relay, endpoint, std::move(members), false);
}

void Simulation::Gather(Relay& relay, const Send& send) {
  const auto it = handings_.find(send.request_id);
  auditor_.OnSent(now(), relay.number, send.request_id, send.endpoint);
  if (it == handings_.end()) return;
  Handing& h = it->second;
  const int attempt = static_cast<int>(h.attempts.size());
  h.attempts.push_back({send.endpoint, now()});
  ++h.out;
  ++result_.attempts;
  const Seconds until = send.timeout_at > 0 ? std::min(send.timeout_at, h.deadline) : h.deadline;
  At(until, {Kind::kUntil, relay.number, send.request_id, static_cast<std::uint32_t>(attempt), relay.life});
  const int most =
      std::max(1, s_.settings.kinds[static_cast<std::size_t>(world_.endpoint(send.endpoint).kind)].max_batch);
  auto& batches = relay.gathered[send.endpoint];
  if (batches.empty() || static_cast<int>(batches.back().size()) >= most) batches.emplace_back();
  batches.back().emplace_back(send.request_id, attempt);
}

// ---- calls --------------------------------------------------------------------------------------------

void Simulation::StartCall(Relay& relay, EndpointId endpoint,
                           std::vector<std::pair<std::uint64_t, int>> members, bool probe) {
  const std::uint64_t number = ++last_call_;
  tally_.Call(now(), relay.number, endpoint);
  for (std::size_t i = 0; i < std::max<std::size_t>(1, members.size()); ++i)
    tier_.Sent(relay.number, EntryOf(endpoint, EndpointStatus::kInService));
  Call& call = calls_[number];
  call.relay = relay.number;
  call.life = relay.life;
  call.endpoint = endpoint;
  call.sent = now();
  call.members = std::move(members);
  call.probe = probe;
  for (const auto& [id, attempt] : call.members)
    handings_.at(id).attempts[static_cast<std::size_t>(attempt)].call = number;
  const PartnerEndpoint& e = world_.endpoint(endpoint);
  const Seconds way = relay.one_way[static_cast<std::size_t>(e.zone)];
  Relay::Idle& idle = relay.idle[endpoint];
  if (idle.last + kIdleTime < now()) idle.count = 0;
  const bool kept = idle.count > 0;
  if (kept) --idle.count;
  const RouteModel& lane = world_.lane(e.machine);
  const bool cut = !Reaches(relay.number, e);
  const bool gone = listings_[endpoint - 1] == EndpointStatus::kRemoved;
  const bool crowded = !kept && e.connections > 0 && ConnectionsTo(endpoint) >= e.connections;
  call.connects =
      kept || !(gone || crowded || cut || lane.RefusesConnections(now()) || lane.IsUnreachable(now()));
  if (!call.connects) {
    // A full table answers the first request on the new connection with 503 and ends it.
    call.crowded = crowded && !gone && !cut && !lane.RefusesConnections(now()) && !lane.IsUnreachable(now());
    if (call.crowded) return At(now() + 4 * way + s_.handshake, {Kind::kBack, relay.number, number});
    call.in_outage = lane.InOutage(now());
    const Seconds told = !gone && (cut || lane.IsUnreachable(now())) ? kDialTime : 2 * way;
    return At(now() + told, {Kind::kBack, relay.number, number});
  }
  ++idle.busy;
  if (!kept) tally_.Connected();
  At(now() + way + (kept ? 0 : 2 * way + s_.handshake), {Kind::kReach, relay.number, number});
}

int Simulation::ConnectionsTo(EndpointId endpoint) const {
  int open = 0;
  for (const auto& relay : relays_) {
    const auto it = relay->idle.find(endpoint);
    if (it == relay->idle.end()) continue;
    open += it->second.busy + (it->second.last + kIdleTime < now() ? 0 : it->second.count);
  }
  return open;
}

bool Simulation::Awaited(const Call& call) const {
  return call.probe || std::any_of(call.members.begin(), call.members.end(), [this](const auto& member) {
           const auto it = handings_.find(member.first);
           return it != handings_.end() && it->second.attempts[static_cast<std::size_t>(member.second)].out;
         });
}

void Simulation::EndConnection(const Call& call) {
  Relay& relay = *relays_[static_cast<std::size_t>(call.relay)];
  if (call.connects && relay.up && relay.life == call.life) --relay.idle[call.endpoint].busy;
}

void Simulation::Reach(std::uint64_t number) {
  Call& call = calls_.at(number);
  const PartnerEndpoint& e = world_.endpoint(call.endpoint);
  call.in_outage = world_.lane(e.machine).InOutage(now());
  if (Reaches(call.relay, e))
    call.result = ServeCall(world_, auditor_, tally_, now(), call.relay, e);
  else
    call.result.status = RouteModel::CallStatus::kNoResponse;  // what is open stays open and silent
  if (call.probe) call.result.retry_after = 0;                 // what answers a probe says 503 at most
  if (call.result.ran)
    for (const auto& [id, attempt] : call.members) auditor_.OnRan(now(), id);
  // One that hangs never comes back: its relay gives it up.
  if (call.result.status == RouteModel::CallStatus::kNoResponse && !call.probe) {
    if (Awaited(call)) return;
    EndConnection(call);
    calls_.erase(number);
    return;
  }
  const Seconds way =
      relays_[static_cast<std::size_t>(call.relay)]->one_way[static_cast<std::size_t>(e.zone)];
  const Seconds takes =
      call.result.status == RouteModel::CallStatus::kNoResponse ? 1.5 : call.result.duration;
  At(now() + takes + way, {Kind::kBack, call.relay, number});
}

void Simulation::Back(std::uint64_t number) {
  const Call call = std::move(calls_.at(number));
  calls_.erase(number);
  Relay& relay = *relays_[static_cast<std::size_t>(call.relay)];
  if (!relay.up || relay.life != call.life) return;
  EndConnection(call);
  const PartnerEndpoint& e = world_.endpoint(call.endpoint);
  Outcome outcome = call.connects ? OutcomeOf(call.result.status) : Outcome::kConnectFailed;
  if (call.crowded) outcome = call.probe ? Outcome::kRejected : Outcome::kOutOfConnections;
  if (call.probe && call.result.status == RouteModel::CallStatus::kNoResponse) outcome = Outcome::kTimeout;
  if (call.connects &&
      (outcome == Outcome::kServed || outcome == Outcome::kRejected || outcome == Outcome::kError)) {
    Relay::Idle& idle = relay.idle[call.endpoint];
    ++idle.count;
    idle.last = now();
  }
  // What the relay has given up it reads no more: it learns nothing from it.
  if (!Awaited(call)) return;
  if (outcome != Outcome::kServed && call.in_outage) auditor_.OnOutageObserved(relay.number, e.machine);
  if (call.result.retry_after > 0)
    auditor_.OnRetryAfterReceived(now(), relay.number, e.lane, call.result.retry_after);
  if (call.probe) {
    HealthCheckOutcome told;
    told.endpoint = call.endpoint;
    told.outcome = outcome;
    told.duration = now() - call.sent;
    tier_.Ended(relay.number, EntryOf(call.endpoint, EndpointStatus::kInService), outcome, told.duration);
    return Post(relay, told);
  }
  for (const auto& [id, attempt] : call.members) EndAttempt(id, attempt, outcome, call.result.retry_after);
}

// The relay stops waiting for one attempt. What its call does at the partner goes on.
void Simulation::GiveUp(std::uint64_t id, int attempt, Outcome outcome) {
  const auto it = handings_.find(id);
  if (it == handings_.end() || attempt >= static_cast<int>(it->second.attempts.size())) return;
  const Attempt& a = it->second.attempts[static_cast<std::size_t>(attempt)];
  if (!a.out) return;
  const auto call = calls_.find(a.call);
  if (call != calls_.end()) {
    auto& members = call->second.members;
    // Effects are told by members: they stay, unless its last byte has arrived already.
    const bool reached = call->second.result.duration > 0;
    if (outcome == Outcome::kTimeout && call->second.in_outage)
      auditor_.OnOutageObserved(call->second.relay, world_.endpoint(call->second.endpoint).machine);
    const auto member = std::find(members.begin(), members.end(), std::make_pair(id, attempt));
    if (reached && member != members.end()) members.erase(member);
    if (members.empty() && call->second.result.status == RouteModel::CallStatus::kNoResponse) {
      EndConnection(call->second);
      calls_.erase(call);
    }
  }
  EndAttempt(id, attempt, outcome, 0);
}

void Simulation::EndAttempt(std::uint64_t id, int attempt, Outcome outcome, Seconds wait) {
  const auto it = handings_.find(id);
  if (it == handings_.end()) return;
  Handing& h = it->second;
  Attempt& a = h.attempts[static_cast<std::size_t>(attempt)];
  if (!std::exchange(a.out, false)) return;
  a.may_have_run = !decision::ProvesNeverRan(outcome);
  --h.out;
  Relay& relay = *relays_[static_cast<std::size_t>(h.relay)];
  tally_.AttemptEnded(outcome);
  auditor_.OnAttemptEnded(id, attempt, a.may_have_run);
  if (outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled)
    auditor_.OnMayStillBeRunning(now(), id);
  const bool delivered = outcome == Outcome::kServed && !h.over;
  if (delivered) {
    h.over = true;
    relay.held.erase(id);
    auditor_.OnEnded(now(), id, Auditor::End::kDelivered);
    Deliver(clients_[h.client]);
  }
  AttemptOutcome told;
  told.request_id = id;
  told.attempt = attempt;
  told.endpoint = a.endpoint;
  told.outcome = outcome;
  told.duration = now() - a.sent;
  told.retry_after = wait;
  told.request_ended = h.over;
  tier_.Ended(relay.number, EntryOf(a.endpoint, EndpointStatus::kInService), outcome, told.duration);
  ForgetIfDone(id);
  Post(relay, told);
}

void Simulation::ForgetIfDone(std::uint64_t id) {
  const auto it = handings_.find(id);
  if (it != handings_.end() && it->second.over && it->second.out == 0) handings_.erase(it);
}

// ---- clients ------------------------------------------------------------------------------------------

void Simulation::HandIn(std::uint64_t client) {
  const Arrival arrival = clients_[client].arrival;
  const RequestClass& c = s_.classes[static_cast<std::size_t>(arrival.message_class)].rules;
  const Seconds deadline = arrival.due + c.deadline;
  if (now() >= deadline) return;
  Relay* relay = nullptr;
  for (std::size_t tries = 0; tries < relays_.size() && relay == nullptr; ++tries) {
    Relay& next = *relays_[next_relay_++ % relays_.size()];
    if (next.up && next.takes_on) relay = &next;
  }
  ++result_.handed_in;
  if (relay != nullptr && relay->frozen_until > now())  // no answer: its client comes elsewhere
    return At(now() + kAnswerTime, {Kind::kHandIn, 0, client});
  if (relay == nullptr || static_cast<int>(relay->held.size()) >= s_.settings.request_capacity) {
    tally_.Refused(now());
    return ComeAgain(client, kFullAdvice);
  }
  const std::uint64_t id = ++last_id_;
  Handing& h = handings_[id];
  h.client = client;
  h.relay = relay->number;
  h.deadline = deadline;
  relay->held.insert(id);
  const WorldPartner& partner = world_.partners()[arrival.partner];
  auditor_.OnAccepted(now(), relay->number, id, client, arrival.message_class, partner.id, deadline);
  if (arrival.order_key >= 0) auditor_.SetOrderingKey(id, OrderKeyOf(arrival));
  NewRequest message;
  message.request_id = id;
  message.request_class = arrival.message_class;
  message.remaining_time = deadline - now();
  message.destination = partner.id;
  if (s_.tenants.size() > 1) message.tenant = arrival.tenant;
  if (arrival.order_key >= 0) message.key = std::to_string(OrderKeyOf(arrival));
  Post(*relay, std::move(message));
}

void Simulation::EndByRelay(std::uint64_t id, bool refused, Seconds advice) {
  const auto it = handings_.find(id);
  auditor_.OnEnded(now(), id, refused ? Auditor::End::kRejected : Auditor::End::kFailed);
  if (it == handings_.end() || it->second.over) return;
  Handing& h = it->second;
  h.over = true;
  relays_[static_cast<std::size_t>(h.relay)]->held.erase(id);
  refused ? tally_.Refused(now()) : tally_.Failed(now());
  const std::uint64_t client = h.client;
  ForgetIfDone(id);
  if (refused) ComeAgain(client, advice);
}

void Simulation::ComeAgain(std::uint64_t client, Seconds advice) {
  if (clients_[client].retries++ >= s_.clients.retries) return;
  const Seconds wait = advice > 0 ? std::min(advice, s_.settings.max_retry_after) : Draw(s_.clients.wait);
  At(now() + wait, {Kind::kHandIn, 0, client});
}

void Simulation::Deliver(Client& client) {
  if (std::exchange(client.delivered, true)) return;
  tally_.Delivered(client.arrival, now());
}

// ---- the list and the relays' faults
// ------------------------------------------------------------------------

void Simulation::Publish(EndpointId endpoint, EndpointStatus listing) {
  if (endpoint > listings_.size()) {
    listings_.resize(endpoint, EndpointStatus::kInService);
    auditor_.OnEndpointListed(endpoint, world_.endpoint(endpoint).destination,
                              world_.endpoint(endpoint).lane);
  }
  listings_[endpoint - 1] = listing;
  changes_.push_back({endpoint, listing});
  for (const auto& relay : relays_) {
    if (relay->up) relay->news.push_back(changes_.size() - 1);
    At(now() + Draw(s_.list_late), {Kind::kNews, relay->number, 0, 0, relay->life});
  }
}

// A watch tells changes in the order in which they were made, however late each is.
void Simulation::TellNews(Relay& relay) {
  if (relay.news.empty()) return;
  if (tier_.links().IsDiscoveryLinkCut(now(),
                                       relay.number))  // it hears what it has missed once it hears again
    return At(now() + 0.25, {Kind::kNews, relay.number, 0, 0, relay.life});
  const World::ListChange change = changes_[relay.news.front()];
  relay.news.pop_front();
  if (change.listing != EndpointStatus::kInService)
    auditor_.OnDrainReceived(now(), relay.number, change.endpoint);
  ListUpdate update;
  update.scope = ListScope::kChanges;
  update.entries = {EntryOf(change.endpoint, change.listing)};
  Post(relay, std::move(update));
}

void Simulation::ChangeList(const PoolChange& change) {
  const auto changes = world_.Change(
      change, [this](EndpointId id) { return listings_[id - 1]; },
      [this] {
        return Draw({0, 1});
      });
  for (const World::ListChange& c : changes) {
    Publish(c.endpoint, c.listing);
    if (c.listing == EndpointStatus::kDraining) At(now() + World::kDrainLasts, {Kind::kGone, 0, c.endpoint});
  }
}

void Simulation::Strike(const RelayFault& fault, bool forced) {
  Relay& relay = *relays_[static_cast<std::size_t>(fault.relay)];
  // The module has no file to read anew, and no answers of its own that a kill could follow.
  const bool on_sockets_alone =
      fault.kind == RelayFault::Kind::kReload || fault.kind == RelayFault::Kind::kKillAfterAccept;
  if (!relay.up || on_sockets_alone) return;
  if (fault.kind == RelayFault::Kind::kFreeze) {
    relay.frozen_until = now() + fault.down;
    return auditor_.ExtendDeadlines(relay.number, relay.frozen_until + kAfterReady);
  }
  if (fault.kind == RelayFault::Kind::kStop && !forced) {
    relay.takes_on = false;
    relay.stopping = true;
    Post(relay, ShutdownStarted{kStopTime});
    const auto index = static_cast<std::uint64_t>(&fault - s_.relay_faults.data());
    return At(now() + kStopTime, {Kind::kFault, relay.number, index, 1});
  }
  if (fault.kind == RelayFault::Kind::kStop) tier_.Leave(relay.number);
  relay.up = relay.takes_on = false;
  tier_.Stop(relay.number, fault.forgets);
  relay.frozen_until = 0;
  ++relay.life;
  relay.module.reset();
  relay.line.clear();
  relay.news.clear();
  relay.idle.clear();
  relay.gathered.clear();
  relay.turn_armed = false;
  auditor_.OnRelayStopped(relay.number, now() + fault.down + kAfterReady);
  for (auto it = handings_.begin(); it != handings_.end();) {
    Handing& h = it->second;
    const std::uint64_t id = it->first;
    ++it;
    if (h.relay != relay.number) continue;
    // Its record says that the call left, and nothing of what became of it.
    for (std::size_t i = 0; i < h.attempts.size(); ++i) {
      if (!std::exchange(h.attempts[i].out, false)) continue;
      h.attempts[i].may_have_run = true;
      --h.out;
      auditor_.OnAttemptEnded(id, static_cast<int>(i), true);
    }
    if (h.over) handings_.erase(id);
  }
  At(now() + fault.down, {Kind::kUp, relay.number, 0});
}

void Simulation::BringUp(Relay& relay) {
  StartRelay(relay);
  std::vector<std::uint64_t> ids(relay.held.begin(), relay.held.end());
  std::sort(ids.begin(), ids.end());  // in the order taken
  for (const std::uint64_t id : ids) {
    const Handing& h = handings_.at(id);
    const Arrival& arrival = clients_[h.client].arrival;
    RecoveredRequest restored;
    restored.request.request_id = id;
    restored.request.request_class = arrival.message_class;
    restored.request.destination = world_.partners()[arrival.partner].id;
    restored.request.remaining_time = std::max(0.0, h.deadline - now());
    if (s_.tenants.size() > 1) restored.request.tenant = arrival.tenant;
    if (arrival.order_key >= 0) restored.request.key = std::to_string(OrderKeyOf(arrival));
    for (const Attempt& a : h.attempts)
      restored.attempts.push_back(
          {a.endpoint, world_.endpoint(a.endpoint).zone, now() - a.sent, a.may_have_run});
    Post(relay, std::move(restored));
  }
}

}  // namespace opalroute::lab
