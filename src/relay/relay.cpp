#include "relay/relay.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/address.h"

namespace opalroute {

namespace {

net::ClientBounds EndpointBounds(const Config& config) {
  const Limits& limits = config.limits;
  std::size_t most = 1;
  for (const Kind& kind : config.settings.kinds)
    most = std::max(most, static_cast<std::size_t>(std::max(1, kind.bundle)));
  net::ClientBounds bounds;
  bounds.http = {limits.head_bytes, limits.header_count, 4 * limits.body_bytes, limits.interim_answers};
  // Base64 makes three bytes four; names and marks stand around them.
  bounds.request_bytes = limits.head_bytes + most * (limits.body_bytes * 4 / 3 + 4 * limits.name_bytes);
  bounds.connections = limits.upstream_connections;
  bounds.connect_time = limits.connect_time;
  bounds.idle_time = limits.upstream_idle;
  bounds.answer_time = limits.answer_time;
  bounds.rest_time = limits.answer_rest;
  return bounds;
}

net::ClientBounds PlatformBounds(const Limits& limits) {
  net::ClientBounds bounds;
  bounds.http = {limits.head_bytes, limits.header_count, limits.list_bytes};
  bounds.request_bytes = limits.head_bytes + limits.notice_lines * 4 * limits.name_bytes;
  bounds.connections = 4;
  bounds.connect_time = limits.notice_time;
  bounds.idle_time = limits.upstream_idle;
  bounds.answer_time = limits.list_time;
  return bounds;
}

int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

std::string NoticeLine(const std::string& id, const char* outcome, Seconds wait) {
  nlohmann::ordered_json line = {{"message", id}, {"outcome", outcome}};
  if (wait > 0) line["retry_in_ms"] = static_cast<long>(std::ceil(wait * 1000));
  return line.dump();
}

}  // namespace

Relay::Relay(net::EventLoop& loop, const Config& config)
    : loop_(loop),
      config_(config),
      journal_(config.state_folder, config.limits.disk_bytes),
      courier_(config.settings),
      endpoints_client_(loop, EndpointBounds(config)),
      platform_client_(loop, PlatformBounds(config.limits)),
      discovery_(loop, platform_client_, config.discovery, config.limits, *this),
      notices_(loop, platform_client_, config.discovery, config.limits,
               [this](const std::string& id) {
                 ++counters_.notices_arrived;
                 if (!journal_.End(id)) ++counters_.journal_failures;
                 CheckStopped();
               }),
      discovery_at_(config.discovery),
      server_(loop, config, counters_, *this) {
  if (config.peer_listen) {
    peers_ = std::make_unique<net::DatagramSocket>(
        loop, *config.peer_listen, config.limits.datagram_bytes,
        [this](const sockaddr_in& from, std::string bytes) {
          for (std::size_t i = 0; i < config_.peers.size(); ++i)
            if (net::FormatAddress(config_.peers[i]) == net::FormatAddress(from))
              return Post(PeerNote{static_cast<int>(i), std::move(bytes)});
        });
  }
  const auto known = config.known.is_null() ? std::nullopt : discovery_.ReadList(config.known);
  TellPool(known.value_or(PoolNews{true, {}}), ListScope::kRemembered);
  Restore();
  // Where changes are said to come by themselves the module asks for none; over HTTP a watch brings them.
  if (!config.settings.ask_for_list) discovery_.Watch(true);
  ready_ = !destinations_.empty();
}

Relay::~Relay() {
  loop_.Cancel(turn_);
  loop_.Cancel(stop_timer_);
  for (net::EventLoop::TimerId wake : wakes_) loop_.Cancel(wake);
}

// ---- the pool --------------------------------------------------------------------------------------

EndpointId Relay::Intern(const std::string& id) {
  const auto [it, fresh] = endpoint_ids_.emplace(id, last_endpoint_ + 1);
  if (fresh) {
    endpoints_[++last_endpoint_].id = id;
    unlisted_.insert(last_endpoint_);
    ++counters_.endpoints;
  }
  return it->second;
}

void Relay::Unlist(EndpointId id) {
  Endpoint& endpoint = endpoints_.at(id);
  if (!std::exchange(endpoint.listed, false)) return;
  unlisted_.insert(id);
  endpoints_client_.CloseIdle({endpoint.address, id});
  Served& served = destinations_[endpoint.destination];
  --served.endpoints;
  served.left_at = loop_.Now();
}

std::vector<EndpointId> Relay::UnusedEndpoints() const {
  std::vector<EndpointId> unused;
  for (const EndpointId id : unlisted_)
    if (endpoints_.at(id).users == 0) unused.push_back(id);
  return unused;
}

// Danger: lists name new endpoints all day, and what is kept of each would grow for good. The module has
// dropped an endpoint that is gone when a turn ends with no call or probe out there.
void Relay::ForgetEndpoints(const std::vector<EndpointId>& unused) {
  for (const EndpointId id : unused) {
    const Endpoint& endpoint = endpoints_.at(id);
    if (endpoint.listed || endpoint.users > 0) continue;
    endpoints_client_.CloseIdle({endpoint.address, id});
    const auto name = endpoint_ids_.find(endpoint.id);
    if (name != endpoint_ids_.end() && name->second == id) endpoint_ids_.erase(name);
    endpoints_.erase(id);
    unlisted_.erase(id);
    --counters_.endpoints;
  }
}

void Relay::OnPoolNews(const PoolNews& news) {
  ++counters_.pool_news;
  list_is_current_ = true;
  TellPool(news, news.whole ? ListScope::kWhole : ListScope::kChanges);
  ready_ = true;
}

void Relay::OnPoolFailed() {
  ++counters_.pool_failures;
  Post(ListUpdate{ListScope::kRefused, {}});
}

void Relay::TellPool(const PoolNews& news, ListScope scope) {
  ListUpdate update;
  update.scope = scope;
  std::set<EndpointId> named;
  for (const PoolMember& member : news.members) {
    const bool gone = member.state == PoolMember::State::kGone;
    if (gone && endpoint_ids_.count(member.id) == 0) continue;
    ListEntry entry;
    entry.zone = IndexOf(config_.zones, member.zone);
    entry.kind = IndexOf(config_.kinds, member.kind);
    if (entry.zone < 0 || entry.kind < 0) {
      spdlog::warn("pool: {} is left out, zone '{}' or kind '{}' is not in the settings", member.id,
                   member.zone, member.kind);
      continue;
    }
    entry.endpoint = Intern(member.id);
    entry.destination = member.destination;
    entry.listing = gone                                           ? Listing::kGone
                    : member.state == PoolMember::State::kDraining ? Listing::kDraining
                                                                   : Listing::kInService;
    entry.rating = member.weight;
    Endpoint* endpoint = &endpoints_.at(entry.endpoint);
    if (endpoint->listed && (endpoint->destination != entry.destination || endpoint->zone != entry.zone ||
                             endpoint->kind != entry.kind)) {
      // What serves something else now is another endpoint, whatever its name.
      update.entries.push_back(
          {entry.endpoint, endpoint->zone, endpoint->kind, endpoint->destination, Listing::kGone, 0});
      Unlist(entry.endpoint);
      endpoint_ids_.erase(member.id);
      if (gone) continue;
      entry.endpoint = Intern(member.id);
      endpoint = &endpoints_.at(entry.endpoint);
    }
    const net::Peer before{endpoint->address, entry.endpoint};
    if (net::FormatAddress(before.address) != net::FormatAddress(member.address))
      endpoints_client_.CloseIdle(before);
    endpoint->zone = entry.zone;
    endpoint->kind = entry.kind;
    endpoint->address = member.address;
    endpoint->destination = entry.destination;
    if (!gone && !std::exchange(endpoint->listed, true)) {
      unlisted_.erase(entry.endpoint);
      ++destinations_[entry.destination].endpoints;
    }
    if (gone) Unlist(entry.endpoint);
    named.insert(entry.endpoint);
    update.entries.push_back(entry);
  }
  if (scope != ListScope::kChanges) {
    std::vector<EndpointId> unnamed;
    for (const auto& [id, endpoint] : endpoints_)
      if (endpoint.listed && named.count(id) == 0) unnamed.push_back(id);
    for (const EndpointId id : unnamed) Unlist(id);
  }
  // A destination that has just lost its last endpoint is about to get another, mostly.
  for (auto it = destinations_.begin(); it != destinations_.end();) {
    const Served& served = it->second;
    const bool past = served.endpoints == 0 && served.left_at + config_.limits.destination_rest < loop_.Now();
    it = past ? destinations_.erase(it) : std::next(it);
  }
  Post(std::move(update));
}

void Relay::Reload(const std::function<Config()>& read) {
  try {
    const Config fresh = read();
    ++counters_.reloads;
    for (const std::string& key : config::KeysForRestart(config_, fresh))
      spdlog::warn("reload: {} has changed, which takes effect with the next start", key);
    const std::string from = net::FormatAddress(discovery_at_), to = net::FormatAddress(fresh.discovery);
    if (from == to) return spdlog::info("reload: discovery stays at {}", from);
    spdlog::info("reload: discovery moves from {} to {}", from, to);
    discovery_at_ = fresh.discovery;
    discovery_.MoveTo(fresh.discovery);
    notices_.MoveTo(fresh.discovery);
  } catch (const std::exception& error) {
    ++counters_.reload_failures;
    spdlog::error("reload: the configuration stays as it was: {}", error.what());
  }
}

// ---- what an earlier process had taken on ---------------------------------------------------------------

void Relay::Restore() {
  if (journal_.lost_bytes() > 0)
    spdlog::warn("journal: {} bytes at its end could not be read", journal_.lost_bytes());
  // Copied: what is done for one may write to the journal and change its table.
  const auto entries = journal_.entries();
  for (const auto& [number, entry] : entries) RestoreOne(entry);
  counters_.restored = static_cast<long>(entries.size());
  if (!entries.empty()) spdlog::info("journal: {} transactions restored", entries.size());
}

void Relay::RestoreOne(const JournalEntry& entry) {
  if (!entry.notice.empty()) return notices_.Add(entry.id, entry.notice);
  Restored restored;
  restored.message.message_class = IndexOf(config_.classes, entry.message_class);
  const MessageId id = ++last_message_;
  restored.message.message = id;
  restored.message.destination = entry.destination;
  const int tenant = IndexOf(config_.tenants, entry.tenant);
  if (tenant >= 0) restored.message.tenant = tenant;
  const std::int64_t wall = loop_.clock().WallMicros();
  restored.message.patience =
      std::clamp(static_cast<double>(entry.deadline - wall) / 1e6, 0.0, config_.limits.longest_remaining);
  Transaction& t = transactions_[id];
  t.id = entry.id;
  t.key = entry.key;
  t.body = entry.body;
  t.destination = entry.destination;
  t.deadline = loop_.Now() + restored.message.patience;
  messages_[entry.id] = id;
  ++open_;
  for (const JournalAttempt& a : entry.attempts) {
    const Seconds age = std::max(0.0, static_cast<double>(wall - a.sent_at) / 1e6);
    const int zone = IndexOf(config_.zones, a.zone);
    // A zone that the settings have lost must not read as none: it binds a keyed message to no endpoint.
    restored.attempts.push_back(
        {Intern(a.endpoint), zone >= 0 ? zone : static_cast<int>(config_.zones.size()), age, a.may_have_run});
    t.journaled.push_back(t.records++);
  }
  // The settings may have lost its class since: nothing is known then of what it allows.
  if (restored.message.message_class < 0) return EndWithNotice(id, "given_up", 0);
  Post(std::move(restored));
}

// ---- clients ------------------------------------------------------------------------------------------

TakeOn Relay::Take(ClientRequest&& request, std::uint64_t& ticket) {
  if (const auto held = messages_.find(request.id); held != messages_.end()) {
    const Transaction& t = transactions_.at(held->second);
    const bool same = t.key == request.key && t.body == request.body && t.destination == request.destination;
    return same ? TakeOn::kTaken : TakeOn::kOtherMessage;  // sent once more, or the name of another's
  }
  if (!taking_on_) return TakeOn::kStopping;
  if (destinations_.count(request.destination) == 0)
    return list_is_current_ ? TakeOn::kUnknownDestination : TakeOn::kNotYetKnown;
  if (open_ >= config_.limits.open_transactions) return TakeOn::kFull;
  JournalEntry entry;
  entry.id = request.id;
  entry.message_class = config_.classes[request.message_class];
  if (request.tenant) entry.tenant = config_.tenants[*request.tenant];
  entry.key = request.key;
  entry.body = request.body;
  entry.destination = request.destination;
  entry.deadline = loop_.clock().WallMicros() + static_cast<std::int64_t>(request.remaining * 1e6);
  if (!journal_.TakeOn(entry)) return TakeOn::kNoDisk;  // what can't be recorded is not taken on
  const MessageId id = ++last_message_;
  Transaction& t = transactions_[id];
  t.id = std::move(request.id);
  t.key = std::move(request.key);
  t.body = std::move(request.body);
  t.destination = request.destination;
  t.deadline = loop_.Now() + request.remaining;
  messages_[t.id] = id;
  ++open_;
  ++counters_.taken_on;
  ticket = id;
  NewMessage message;
  message.message = id;
  message.message_class = request.message_class;
  message.tenant = request.tenant;
  message.patience = request.remaining;
  message.destination = request.destination;
  Post(std::move(message));
  return TakeOn::kTaken;
}

void Relay::Withdraw(std::uint64_t ticket) {
  const auto it = transactions_.find(ticket);
  if (it == transactions_.end() || it->second.over) return;
  ++counters_.withdrawn;
  OnServedLate(ticket);
}

// ---- the module's turns -----------------------------------------------------------------------------------

void Relay::Post(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(pumping_, true)) return;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    std::vector<Action> actions;
    courier_.Handle(loop_.Now(), next, actions);
    if (!std::holds_alternative<TurnEnd>(next)) ArmTurn();
    Apply(actions);
  }
  pumping_ = false;
}

// Turns end on a grid of ticks, so that what comes within one tick leaves together.
void Relay::ArmTurn() {
  if (turn_ != 0) return;
  const Seconds tick = config_.settings.tick;
  turn_ = loop_.At((std::floor(loop_.Now() / tick) + 1) * tick, [this] {
    turn_ = 0;
    const std::vector<EndpointId> unused = UnusedEndpoints();
    Post(TurnEnd{});
    ForgetEndpoints(unused);
    CheckStopped();
  });
}

void Relay::Apply(const std::vector<Action>& actions) {
  std::map<EndpointId, std::vector<Batch>> calls;
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      ApplySend(*send, calls);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      EndWithNotice(refuse->message, "handed_back", refuse->wait);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      EndWithNotice(fail->message, "given_up", 0);
    } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
      const auto it = attempts_.find({cancel->message, cancel->attempt});
      if (it != attempts_.end()) it->second->Cancel(cancel->message, cancel->attempt);
    } else if (const auto* probe = std::get_if<Probe>(&action)) {
      StartProbe(probe->endpoint);
    } else if (const auto* wake = std::get_if<SetWake>(&action)) {
      const auto timer = std::make_shared<net::EventLoop::TimerId>(0);
      *timer = loop_.At(wake->at, [this, timer, label = wake->label] {
        wakes_.erase(*timer);
        Post(Wake{label});
      });
      wakes_.insert(*timer);
    } else if (const auto* watch = std::get_if<WatchList>(&action)) {
      discovery_.Watch(watch->on);
    } else if (std::holds_alternative<FetchList>(action)) {
      discovery_.Fetch();
    } else if (const auto* close = std::get_if<CloseConnections>(&action)) {
      endpoints_client_.CloseIdle({endpoints_.at(close->endpoint).address, close->endpoint});
    } else if (const auto* tell = std::get_if<opalroute::TellPeers>(&action)) {
      TellPeers(*tell);
    } else {
      spdlog::info("module: {}", std::get<Log>(action).text);
    }
  }
  for (auto& [endpoint, batches] : calls)
    for (Batch& batch : batches) StartFlow(endpoint, std::move(batch));
}

// Sends of one turn to one endpoint share calls, as far as its kind allows.
void Relay::ApplySend(const Send& send, std::map<EndpointId, std::vector<Batch>>& calls) {
  const auto it = transactions_.find(send.message);
  if (it == transactions_.end()) return;
  Transaction& t = it->second;
  ServerFlow::Member member;
  member.message = send.message;
  member.attempt = static_cast<int>(t.journaled.size());
  member.until = send.until > 0 ? std::min(send.until, t.deadline) : t.deadline;
  member.id = t.id;
  member.key = t.key;
  member.body = t.body;
  t.journaled.push_back(-1);
  ++t.out;
  const auto most =
      static_cast<std::size_t>(std::max(1, config_.settings.kinds[endpoints_.at(send.endpoint).kind].bundle));
  std::vector<Batch>& batches = calls[send.endpoint];
  if (batches.empty() || batches.back().size() >= most) batches.emplace_back();
  batches.back().push_back(std::move(member));
}

void Relay::TellPeers(const opalroute::TellPeers& tell) {
  if (!peers_) return;
  if (!tell.peer) {
    if (config_.peers_all) peers_->Send(*config_.peers_all, tell.bytes);
  } else if (*tell.peer >= 0 && *tell.peer < static_cast<int>(config_.peers.size())) {
    peers_->Send(config_.peers[*tell.peer], tell.bytes);
  }
}

// ---- server-side flows
// --------------------------------------------------------------------------------------

void Relay::StartFlow(EndpointId endpoint, Batch members) {
  ++counters_.calls;
  counters_.attempts += static_cast<long>(members.size());
  ServerFlow::Owner& owner = *this;
  Endpoint& to = endpoints_.at(endpoint);
  ++to.users;
  auto owned =
      std::make_unique<ServerFlow>(loop_, endpoints_client_, endpoint, to.address, std::move(members), owner);
  ServerFlow* flow = owned.get();
  flows_.emplace(flow, std::move(owned));
  for (const ServerFlow::Member& m : flow->members()) attempts_[{m.message, m.attempt}] = flow;
  flow->Start();
}

bool Relay::MayLeave(const ServerFlow& flow, const ServerFlow::Member& member) {
  Transaction& t = transactions_.at(member.message);
  // A wait may have been told, or a drain, while the call waited for its connection.
  if (t.over || member.until <= loop_.Now() || !courier_.MayLeave(loop_.Now(), flow.endpoint())) {
    ++counters_.not_left;
    return false;
  }
  const Endpoint& endpoint = endpoints_.at(flow.endpoint());
  JournalAttempt attempt;
  attempt.endpoint = endpoint.id;
  attempt.zone = config_.zones.empty() ? "" : config_.zones[endpoint.zone];
  attempt.sent_at = loop_.clock().WallMicros();
  if (!journal_.Attempt(t.id, attempt)) {  // a call that a restart would not know of must not run
    ++counters_.journal_failures;
    return false;
  }
  t.journaled[member.attempt] = t.records++;
  return true;
}

void Relay::OnOutcome(const ServerFlow&, const ServerFlow::Member& member, const AttemptOutcome& outcome) {
  Transaction& t = transactions_.at(member.message);
  attempts_.erase({member.message, member.attempt});
  --t.out;
  long* const counts[] = {&counters_.served,    &counters_.errors,         &counters_.full,
                          &counters_.timeouts,  &counters_.connect_failed, &counters_.resets,
                          &counters_.cancelled, &counters_.not_sent};
  ++*counts[static_cast<int>(outcome.outcome)];
  AttemptOutcome told = outcome;
  told.over = outcome.over || t.over;
  const bool never_ran = outcome.outcome == Outcome::kFull || outcome.outcome == Outcome::kConnectFailed ||
                         outcome.outcome == Outcome::kNotSent;
  const int record = t.journaled[member.attempt];
  if (!t.over && outcome.over) {
    t.over = true;
    --open_;
    if (outcome.outcome == Outcome::kServed) ++counters_.delivered;
    if (!journal_.End(t.id)) ++counters_.journal_failures;
  } else if (!t.over && never_ran && record >= 0) {
    if (!journal_.NeverRan(t.id, static_cast<std::size_t>(record))) ++counters_.journal_failures;
  }
  Post(told);
  ForgetIfDone(member.message);
}

// Over without an outcome of its own: delivered by a call that had been given up, or withdrawn.
void Relay::OnServedLate(MessageId message) {
  const auto it = transactions_.find(message);
  if (it == transactions_.end() || it->second.over) return;
  it->second.over = true;
  --open_;
  if (!journal_.End(it->second.id)) ++counters_.journal_failures;
  Post(Withdrawn{message});
  ForgetIfDone(message);
}

void Relay::OnFlowOver(ServerFlow& flow) {
  const auto it = flows_.find(&flow);
  if (it == flows_.end()) return;
  --endpoints_.at(flow.endpoint()).users;
  loop_.Retire(std::move(it->second));
  flows_.erase(it);
  CheckStopped();
}

void Relay::StartProbe(EndpointId endpoint) {
  ++counters_.probes;
  Endpoint& to = endpoints_.at(endpoint);
  ++to.users;
  auto owned =
      std::make_unique<Probing>(loop_, endpoints_client_, endpoint, to.address, config_.limits.connect_time,
                                [this](Probing& probe, const ProbeOutcome& outcome) {
                                  --endpoints_.at(outcome.endpoint).users;
                                  const auto it = probes_.find(&probe);
                                  loop_.Retire(std::move(it->second));
                                  probes_.erase(it);
                                  Post(outcome);
                                });
  Probing* probe = owned.get();
  probes_.emplace(probe, std::move(owned));
  probe->Start();
}

// ---- a transaction ends
// ----------------------------------------------------------------------------------------

void Relay::EndWithNotice(MessageId message, const char* outcome, Seconds wait) {
  const auto it = transactions_.find(message);
  if (it == transactions_.end() || it->second.over) return;
  Transaction& t = it->second;
  t.over = true;
  --open_;
  ++(outcome == std::string_view("given_up") ? counters_.given_up : counters_.handed_back);
  const std::string line = NoticeLine(t.id, outcome, wait);
  if (!journal_.EndWith(t.id, line)) ++counters_.journal_failures;
  notices_.Add(t.id, line);
  ForgetIfDone(message);
}

// The name of a message that is over and has nothing out is not needed any more.
void Relay::ForgetIfDone(MessageId message) {
  const auto it = transactions_.find(message);
  if (it == transactions_.end() || !it->second.over || it->second.out > 0) return;
  messages_.erase(it->second.id);
  transactions_.erase(it);
}

// ---- the end
// -----------------------------------------------------------------------------------------------------

void Relay::Stop(std::function<void()> stopped) {
  if (std::exchange(stopping_, true)) return;
  stopped_ = std::move(stopped);
  const Limits& limits = config_.limits;
  spdlog::info("stopping: {} transactions open, {} calls out", open_, flows_.size());
  server_.http().CloseAfterAnswers();
  Post(Stopping{limits.stop_time});
  stop_timer_ = loop_.At(loop_.Now() + limits.stop_take_on, [this, &limits] {
    taking_on_ = false;
    server_.http().CloseIdle();
    stop_timer_ = loop_.At(loop_.Now() + limits.stop_time - limits.stop_take_on, [this] {
      stop_timer_ = 0;
      stopped_();
    });
    CheckStopped();
  });
}

// What is still open then is in the journal; the next process goes on with it.
void Relay::CheckStopped() {
  if (!stopping_ || taking_on_ || open_ > 0 || !flows_.empty() || !notices_.empty()) return;
  stopped_();
}

}  // namespace opalroute
