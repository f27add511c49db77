#include "relay/relay.h"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <system_error>
#include <utility>

#include "discovery/endpoint_list_parser.h"
#include "log/log.h"
#include "net/address.h"

namespace opalroute {

namespace {

net::ClientBounds EndpointBounds(const Config& config) {
  const Limits& limits = config.limits;
  std::size_t most = 1;
  for (const EndpointKind& kind : config.settings.kinds)
    most = std::max(most, static_cast<std::size_t>(std::max(1, kind.max_batch)));
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
  bounds.connect_time = limits.notice_time_most;
  bounds.idle_time = limits.upstream_idle;
  bounds.answer_time = limits.list_time;
  return bounds;
}

// Starts a feature that the relay can do without. What the platform refuses stays off and says so; any other
// fault (an address in use, say) is the operators' to mend and goes on as std::system_error.
template <typename Start>
void StartOrStayOff(const char* feature, Start start) {
  try {
    start();
  } catch (const std::system_error& error) {
    const int code = error.code().value();
    const bool refused = code == ENOSYS || code == EPERM || code == EAFNOSUPPORT || code == ESOCKTNOSUPPORT ||
                         code == EPROTONOSUPPORT;
    if (!refused) throw;
    log::Warn("feature_off", {{"feature", feature}, {"why", error.what()}});
  }
}

std::string NoticeLine(const std::string& id, const char* outcome, Seconds wait) {
  nlohmann::ordered_json line = {{"message", id}, {"outcome", outcome}};
  if (wait > 0) line["retry_in_ms"] = static_cast<long>(std::ceil(wait * 1000));
  return line.dump();
}

// Danger: an attempt from a time still to come was recorded before a boot, by a wall clock that was ahead. It
// may be of any age, and no window may be taken to be open still.
Seconds AgeOf(const JournalAttempt& attempt, std::int64_t now) {
  constexpr Seconds kUnknownAge = 1e9;
  return attempt.sent_at > now ? kUnknownAge : static_cast<double>(now - attempt.sent_at) / 1e6;
}

std::string JournalOf(int seat) { return seat == 0 ? "journal" : "journal." + std::to_string(seat); }

}  // namespace

// Where another process may run beside this one, each has half of the disk.
std::size_t Relay::JournalBytes() const {
  const std::size_t learned = settings_.learn.state ? config_.limits.learn_file_bytes : 0;
  const std::size_t tier = settings_.tier.on() ? MembershipFile::kMostBytes : 0;
  const std::size_t beside = learned + tier + PersistentClock::kMostBytes +
                             2 * config_.limits.ban_bytes;  // a file and the one that replaces it
  const std::size_t disk = config_.limits.disk_bytes, rest = disk - std::min(disk / 2, beside);
  return config_.inherited_fd >= 0 ? rest / hot_restart::kProcessSlots : rest;
}

Relay::Relay(net::EventLoop& loop, const Config& config, const Operator& settings)
    : loop_(loop),
      config_(config),
      settings_(settings),
      process_lock_(config.state_folder, config.inherited_fd >= 0),
      clock_(loop.clock(), config.state_folder),
      journal_(config.state_folder, JournalBytes(), JournalOf(process_lock_.own())),
      endpoints_client_(loop, EndpointBounds(config)),
      platform_client_(loop, PlatformBounds(config.limits)),
      endpoints_(loop, endpoints_client_, config, counters_),
      requests_(loop, clock_, config, counters_, journal_),
      decisions_(loop, config.settings, *this),
      calls_(
          loop, clock_, endpoints_client_, config, counters_, endpoints_, requests_, decisions_,
          [this] { CheckStopped(); },
          [this](EndpointId endpoint, Seconds wait) { ShareRetryAfter(endpoint, wait); }),
      suspended_(config.state_folder, config.limits.ban_bytes),
      merged_source_(settings.srv_names.empty()
                         ? nullptr
                         : std::make_unique<MergedEndpointSource>(
                               loop, config, settings, static_cast<EndpointSource::Listener&>(*this))),
      discovery_(loop, config.discovery, config.limits,
                 merged_source_ ? static_cast<EndpointSource::Listener&>(*merged_source_) : *this),
      notifier_(loop, platform_client_, config.discovery, config.limits,
                [this](const std::string& id) {
                  ++counters_.notices_arrived;
                  if (!journal_.RecordEnd(id)) ++counters_.journal_failures;
                  CheckStopped();
                }),
      transfer_host_(loop, endpoints_, decisions_,
                     [this](int peer, const std::string& bytes) {
                       SendGossip({peer, bytes});
                     }),
      discovery_at_(config.discovery),
      server_(loop, config, counters_, *this) {
  counters_.classes.resize(config.classes.size());
  log::Info("clock", {{"resumed", clock_.resumed()}, {"wall_step_ms", clock_.WallStep() / 1000}});
  PersistClock();
  if (config.peer_listen) StartOrStayOff("notes between relays", [this] { ListenToPeers(); });
  if (settings.admin_listen)
    StartOrStayOff("operators' pages", [&] {
      admin_ = std::make_unique<AdminServer>(
          loop, *settings.admin_listen, config.limits,
          AdminServer::Pages{
              {"/pool",
               [this] {
                 return merged_source_ ? merged_source_->Print().dump() : endpoints_.Print().dump();
               }},
              {"/counters", [this] { return counters_.Print(); }},
              {"/zones",
               [this] { return (membership_ ? membership_->Print() : nlohmann::ordered_json()).dump(); }}},
          AdminServer::Commands{{"/zones", [this](const std::string& body) { return OnZoneCommand(body); }}});
    });
  if (config.inherited_fd >= 0)
    shared_retry_after_ = std::make_unique<hot_restart::SharedRetryAfterTable>(
        config.state_folder, process_lock_.own(), process_lock_.other(), config.limits.shared_waits);
  endpoints_.SetSuspended(suspended_.ids());  // before the list: not one call
  const auto known = config.known.is_null() ? std::nullopt : ParseEndpointList(config.known);
  if (known) discovery_.Resume(known->generation);
  const EndpointListUpdate list = known.value_or(EndpointListUpdate{true, true, {}});
  decisions_.Post(
      endpoints_.Apply(merged_source_ ? merged_source_->ApplyCached(list) : list, ListScope::kCached));
  // Before what an earlier process had taken on is sent: the partners may be down still.
  if (settings.learn.on())
    StartOrStayOff("learning from running instances", [&] {
      state_transfer_ = std::make_unique<state_transfer::StateTransfer>(loop, clock_, config, settings.learn,
                                                                        transfer_host_);
    });
  if (settings.tier.on()) JoinFleet();
  RecoverRequests();
  ready_ = !endpoints_.empty();
  if (config.inherited_fd >= 0) PollState();
  if (config.ops)
    StartOrStayOff("the operators' door", [&] {
      operations_server_ = std::make_unique<admin::OperationsServer>(
          loop, *config.ops, config.limits, static_cast<admin::OperationsHandler&>(*this));
    });
}

Relay::~Relay() {
  loop_.Cancel(stop_timer_);
  loop_.Cancel(poll_timer_);
  loop_.Cancel(clock_timer_);
}

// ---- operators ---------------------------------------------------------------------------------------

std::string Relay::Metrics() const {
  std::string text;
  const auto line = [&text](const std::string& name, long value) {
    text += "edge." + name + "=" + std::to_string(value) + "\n";
  };
  for (std::size_t c = 0; c < config_.classes.size(); ++c) {
    const Counters::OfClass& of = counters_.classes[c];
    line("passed." + config_.classes[c], of.passed);
    line("dropped." + config_.classes[c], of.dropped);
    line("bad_gateway." + config_.classes[c], of.bad_gateway);
  }
  long known = 0, skipped = 0;
  for (const EndpointId id : endpoints_.Listed()) {
    ++known;
    if (!decisions_.router().MaySend(loop_.Now(), id)) ++skipped;
  }
  line("upstream_tries", counters_.upstream_tries);
  line("in_progress", requests_.open());
  line("known_endpoints", known);
  line("skipped_endpoints", skipped);
  return text;
}

admin::CommandResult Relay::SetSuspended(const std::string& endpoint, bool banned) {
  if (!endpoints_.WasListed(endpoint) && !suspended_.Has(endpoint))
    return admin::CommandResult::kUnknownEndpoint;
  if (!suspended_.SetSuspended(endpoint, banned)) return admin::CommandResult::kNotPersisted;
  ApplySuspensions();
  return admin::CommandResult::kDone;
}

void Relay::ApplySuspensions() {
  const ListUpdate update = endpoints_.SetSuspended(suspended_.ids());
  if (update.entries.empty()) return;
  decisions_.Post(update);
  TransferredState back;  // a machine that was out by hand has been restarted, mostly: it starts slowly
  for (const ListedEndpoint& e : update.entries) {
    if (e.status != EndpointStatus::kInService || !config_.settings.kinds[e.kind].limits_per_endpoint)
      continue;
    RouteState belief;
    belief.destination = e.destination;
    belief.endpoint = e.endpoint;
    belief.recovery_age = 0;
    back.routes.push_back(belief);
  }
  if (!back.routes.empty()) decisions_.Post(std::move(back));
}

void Relay::ShareRetryAfter(EndpointId endpoint, Seconds wait) {
  if (!shared_retry_after_) return;
  const EndpointTable::Endpoint& e = endpoints_.At(endpoint);
  const bool apart = config_.settings.kinds[e.kind].limits_per_endpoint;
  const auto until = static_cast<std::int64_t>(std::ceil((wait + config_.settings.tick) * 1e6));
  shared_retry_after_->Publish(
      {e.destination, apart ? e.listed_endpoint.name_hash : 0, clock_.Micros() + until});
}

// Danger: the two processes count as one relay, and what was told to either binds both.
void Relay::ApplySharedRetryAfter() {
  const std::int64_t now = clock_.Micros();
  const std::vector<hot_restart::SharedRetryAfter> waits = shared_retry_after_->Active(now);
  if (waits.empty()) return;
  std::map<std::pair<DestinationId, std::uint32_t>, EndpointId> apart;
  for (const EndpointId id : endpoints_.Listed())
    apart[{endpoints_.At(id).destination, endpoints_.At(id).listed_endpoint.name_hash}] = id;
  TransferredState told;
  for (const hot_restart::SharedRetryAfter& w : waits) {
    RouteState belief;
    belief.destination = w.destination;
    belief.retry_after = static_cast<double>(w.until - now) / 1e6;
    if (w.name_hash != 0) {
      const auto endpoint = apart.find({w.destination, w.name_hash});
      if (endpoint == apart.end()) continue;
      belief.endpoint = endpoint->second;
    }
    told.routes.push_back(belief);
  }
  decisions_.Post(std::move(told));
}

// Danger: a later process of this boot that does not find the offset goes by the wall clock.
void Relay::PersistClock() {
  if (clock_.Persist()) return;
  if (clock_timer_ == 0)
    log::Warn("clock_not_kept", {{"folder", config_.state_folder}, {"why", std::strerror(errno)}});
  clock_timer_ = loop_.At(loop_.Now() + config_.limits.state_poll, [this] { PersistClock(); });
}

// Another process of this relay may be told as well.
void Relay::PollState() {
  poll_timer_ = loop_.At(loop_.Now() + config_.limits.state_poll, [this] { PollState(); });
  if (suspended_.Refresh()) ApplySuspensions();
  if (stopping_) return;
  ResumeOtherProcess();
  if (std::exchange(peer_address_taken_, false)) ListenToPeers();
}

// ---- the pool --------------------------------------------------------------------------------------

void Relay::OnEndpointList(const EndpointListUpdate& news) {
  ++counters_.pool_news;
  if (news.from_list)
    log::Info(
        "pool_news",
        {{"generation", news.generation}, {"whole", news.complete}, {"members", news.endpoints.size()}});
  if (news.from_list && !std::exchange(list_is_current_, true))
    log::Info("pool_current", {{"members", news.endpoints.size()}, {"whole", news.complete}});
  decisions_.Post(endpoints_.Apply(news, news.complete ? ListScope::kComplete : ListScope::kChanges));
  if (shared_retry_after_) ApplySharedRetryAfter();  // of endpoints that were not known before
  if (state_transfer_) state_transfer_->OnEndpointList();
  ready_ = ready_ || news.from_list || !endpoints_.empty();
}

void Relay::OnWatchFailed() {
  ++counters_.pool_failures;
  decisions_.Post(ListUpdate{ListScope::kWatchFailed, {}, true});
}

void Relay::Reload(const std::function<Config()>& read) {
  try {
    const Config fresh = read();
    ++counters_.reloads;
    for (const std::string& key : config::KeysForRestart(config_, fresh))
      log::Warn("reload_key_waits", {{"key", key}, {"why", "it takes effect with the next start"}});
    const std::string from = net::FormatAddress(discovery_at_), to = net::FormatAddress(fresh.discovery);
    if (from == to) return log::Info("reload_done", {{"discovery", from}});
    log::Info("reload_done", {{"discovery", to}, {"before", from}});
    discovery_at_ = fresh.discovery;
    discovery_.MoveTo(fresh.discovery);
    decisions_.Post(DiscoveryMoved{});
    notifier_.MoveTo(fresh.discovery);
  } catch (const std::exception& error) {
    ++counters_.reload_failures;
    log::Error("reload_refused", {{"why", error.what()}});
  }
}

// ---- peers -----------------------------------------------------------------------------------------

std::optional<int> Relay::PeerAt(const sockaddr_in& address) const {
  const auto it = peer_by_address_.find(net::KeyOf(address));
  return it == peer_by_address_.end() ? std::nullopt : std::optional(it->second);
}

void Relay::ListenToPeers() {
  for (std::size_t i = 0; i < config_.peers.size(); ++i)
    peer_by_address_.emplace(net::KeyOf(config_.peers[i]), static_cast<int>(i));
  try {
    peers_ = std::make_unique<net::DatagramSocket>(
        loop_, *config_.peer_listen, config_.limits.datagram_bytes,
        [this](const sockaddr_in& from, std::string bytes) {
          if (const auto peer = PeerAt(from)) OnGossip(*peer, std::move(bytes));
        },
        [this](const sockaddr_in& to) {
          const auto peer = membership_ ? PeerAt(to) : std::nullopt;
          if (peer) membership_->OnUnreachable(*peer);
        });
  } catch (const std::system_error& error) {
    // The process that this one takes over from has it still, until it is told to end.
    if (config_.inherited_fd < 0 || error.code().value() != EADDRINUSE) throw;
    peer_address_taken_ = true;
  }
}

// Needs notes to all others, and a number of its own among them.
void Relay::JoinFleet() {
  const char* lacking = !peers_ && !peer_address_taken_ ? "'peer_listen' is not set"
                        : !config_.may_tell_peers       ? "the settings allow no notes between relays"
                        : config_.peers.size() < 2      ? "'peers' names no others"
                        : config_.own_peer < 0          ? "'settings.me' is none of 'peers'"
                        : config_.inherited_fd >= 0     ? "two processes of this relay may run at once"
                                                        : nullptr;
  if (lacking != nullptr) return log::Warn("feature_off", {{"feature", "tier"}, {"why", lacking}});
  membership_ = std::make_unique<MembershipHost>(loop_, clock_, config_, settings_.tier, endpoints_,
                                                 static_cast<MembershipHost::Owner&>(*this));
}

net::HttpAnswer Relay::OnZoneCommand(const std::string& body) {
  if (!membership_ || !settings_.tier.zones) return net::PlainAnswer(409, "tier.zones is off here");
  return HandleZoneCommand(body, [this](const ZoneCommand& order) {
    return membership_->ApplyCommand(order.zone, order.override_kind, order.duration);
  });
}

void Relay::OnGossip(int peer, std::string bytes) {
  if (membership_ && membership_->OnGossip(peer, bytes)) return;
  if (state_transfer_ && state_transfer_->OnDatagram(peer, bytes)) return;
  decisions_.Post(GossipReceived{peer, std::move(bytes)});
}

void Relay::SendGossip(const opalroute::SendGossip& tell) {
  if (!peers_) return;
  if (!tell.peer) {
    if (config_.peers_all) {
      peers_->Send(*config_.peers_all, tell.payload);
    } else if (membership_) {
      for (std::size_t i = 0; i < config_.peers.size(); ++i)
        if (static_cast<int>(i) != config_.own_peer) peers_->Send(config_.peers[i], tell.payload);
    }
  } else if (*tell.peer >= 0 && *tell.peer < static_cast<int>(config_.peers.size())) {
    peers_->Send(config_.peers[*tell.peer], tell.payload);
  }
}

// ---- what an earlier process had taken on ------------------------------------------------------------

void Relay::RecoverRequests() {
  AdoptOtherJournal();  // before anything is sent: an earlier process may have ended while it took these over
  if (journal_.lost_bytes() > 0) log::Warn("journal_cut", {{"lost_bytes", journal_.lost_bytes()}});
  // Copied: what is done for one may write to the journal and change its table.
  const auto entries = journal_.entries();
  for (const auto& [RecoverRequests, entry] : entries) RecoverRequest(entry);
  counters_.restored = static_cast<long>(entries.size());
  if (!entries.empty()) log::Info("journal_restored", {{"transactions", entries.size()}});
}

// The numbers, in the own journal, of what the other seat's former process has left. Danger: a newcomer that
// finds the seat locked for this can't sit down, so it is locked only where something was left.
std::vector<std::uint64_t> Relay::AdoptOtherJournal() {
  std::vector<std::uint64_t> taken;
  const std::string file = JournalOf(process_lock_.other());
  std::error_code none;
  const auto bytes = std::filesystem::file_size(config_.state_folder + "/" + file, none);
  if (none || bytes == 0) return taken;
  process_lock_.TryRunWithOtherSlot([&] {
    Journal other(config_.state_folder, JournalBytes(), file);
    taken = journal_.AdoptEntriesOf(other);
  });
  return taken;
}

// The other process has ended: what it had under way goes on here, as its class allows.
void Relay::ResumeOtherProcess() {
  const std::vector<std::uint64_t> taken = AdoptOtherJournal();
  std::vector<JournalEntry> entries;
  for (const std::uint64_t number : taken) entries.push_back(journal_.entries().at(number));
  for (const JournalEntry& entry : entries) RecoverRequest(entry);
  if (!taken.empty()) log::Info("taken_over", {{"transactions", taken.size()}});
}

void Relay::RecoverRequest(const JournalEntry& entry) {
  if (!entry.notification.empty()) return notifier_.Add(entry.id, entry.notification);
  RecoveredRequest restored;
  restored.request.request_class = IndexOf(config_.classes, entry.request_class);
  restored.request.destination = entry.destination;
  const int tenant = IndexOf(config_.tenants, entry.tenant);
  if (tenant >= 0) restored.request.tenant = tenant;
  const std::int64_t now = clock_.Micros();
  restored.request.remaining_time =
      std::clamp(static_cast<double>(entry.deadline - now) / 1e6, 0.0, config_.limits.longest_remaining);
  restored.request.request_id = requests_.Recover(entry, restored.request.remaining_time);
  for (const JournalAttempt& a : entry.attempts) {
    const Seconds age = AgeOf(a, now);
    const int zone = IndexOf(config_.zones, a.zone);
    // A zone that the settings have lost must not read as none: it binds a keyed message to no endpoint.
    restored.attempts.push_back({endpoints_.Intern(a.endpoint),
                                 zone >= 0 ? zone : static_cast<int>(config_.zones.size()), age,
                                 a.may_have_run});
  }
  // The settings may have lost its class since: nothing is known then of what it allows.
  if (restored.request.request_class < 0)
    return EndWithNotification(restored.request.request_id, "given_up", 0);
  decisions_.Post(std::move(restored));
}

// ---- clients ------------------------------------------------------------------------------------------

AcceptResult Relay::Accept(ClientRequest&& request, std::uint64_t& ticket) {
  if (const AcceptedRequest* t = requests_.FindByClientId(request.id)) {
    const bool same =
        t->key == request.key && t->body == request.body && t->destination == request.destination;
    return same ? AcceptResult::kAccepted
                : AcceptResult::kIdInUse;  // sent once more, or the name of another's
  }
  if (!accepting_) return AcceptResult::kStopping;
  if (!endpoints_.Serves(request.destination))
    return list_is_current_ ? AcceptResult::kUnknownDestination : AcceptResult::kListNotYetCurrent;
  if (requests_.open() >= config_.limits.open_transactions) return AcceptResult::kAtCapacity;
  NewRequest message;
  message.request_class = request.request_class;
  message.tenant = request.tenant;
  message.remaining_time = request.remaining_time;
  message.destination = request.destination;
  message.request_id = requests_.Accept(std::move(request));
  if (message.request_id == 0) return AcceptResult::kNotRecorded;  // what can't be recorded is not taken on
  ++counters_.taken_on;
  ticket = message.request_id;
  decisions_.Post(std::move(message));
  return AcceptResult::kAccepted;
}

void Relay::Abort(std::uint64_t ticket) {
  const AcceptedRequest* t = requests_.Find(ticket);
  if (t == nullptr || t->ended) return;
  ++counters_.withdrawn;
  calls_.EndWithoutOutcome(ticket);
}

// ---- the module's actions -------------------------------------------------------------------------------

void Relay::Apply(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      if (membership_) membership_->OnSent(send->endpoint);
      calls_.Enqueue(*send);
    } else if (const auto* refuse = std::get_if<Reject>(&action)) {
      EndWithNotification(refuse->request_id, "handed_back", refuse->retry_after);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      EndWithNotification(fail->request_id, "given_up", 0);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      calls_.Cancel(*cancel);
    } else if (const auto* probe = std::get_if<HealthCheck>(&action)) {
      if (membership_) membership_->OnSent(probe->endpoint);
      calls_.StartHealthCheck(probe->endpoint);
    } else if (const auto* wake = std::get_if<SetTimer>(&action)) {
      decisions_.ArmTimer(*wake);
    } else if (const auto* watch = std::get_if<WatchEndpointList>(&action)) {
      discovery_.Watch(watch->enabled);
    } else if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
      endpoints_client_.CloseIdle(endpoints_.PeerOf(close->endpoint));
    } else if (const auto* tell = std::get_if<opalroute::SendGossip>(&action)) {
      SendGossip(*tell);
    } else {
      log::Info("module", {{"says", std::get<opalroute::Log>(action).text}});
    }
  }
  calls_.Start();
}

void Relay::BeforeBatchEnds() {
  unused_before_batch_ = endpoints_.Unused();
  if (shared_retry_after_ && shared_retry_after_->HasChanges()) ApplySharedRetryAfter();
}

void Relay::AfterBatchEnded() {
  endpoints_.Forget(unused_before_batch_);
  CheckStopped();
}

void Relay::EndWithNotification(RequestId message, const char* outcome, Seconds wait) {
  AcceptedRequest* t = requests_.Find(message);
  if (t == nullptr || t->ended) return;
  Counters::OfClass& of = counters_.Of(t->request_class);
  const bool failed = outcome == std::string_view("given_up");
  ++(failed ? counters_.given_up : counters_.handed_back);
  ++(failed ? of.bad_gateway : of.dropped);
  if (log::Writes(log::Level::debug))
    log::Debug("message_ended", {{"id", t->id},
                                 {"outcome", outcome},
                                 {"attempts", t->journal_attempts.size()},
                                 {"left_ms", std::lround((t->deadline - loop_.Now()) * 1000)}});
  const std::string line = NoticeLine(t->id, outcome, wait);
  requests_.EndWithNotification(*t, line);
  notifier_.Add(t->id, line);
  requests_.ForgetIfDone(message);
}

// ---- the end ---------------------------------------------------------------------------------------------

void Relay::Stop(std::function<void()> stopped) {
  if (std::exchange(stopping_, true)) return;
  stopped_ = std::move(stopped);
  const Limits& limits = config_.limits;
  log::Info("stopping", {{"open", requests_.open()}, {"calls_out", calls_.out()}});
  server_.http().CloseAfterAnswers();
  const bool handing_over = config_.inherited_fd >= 0;
  if (handing_over) {  // who connects now, and peers' notes, are the next process's
    server_.http().StopAccepting();
    peers_.reset();
  }
  // What waits here is the next process's as soon as this one has ended: nothing more is sent that would put
  // that off.
  decisions_.Post(ShutdownStarted{handing_over ? 0 : limits.stop_time});
  stop_timer_ = loop_.At(loop_.Now() + limits.stop_take_on, [this, &limits, handing_over] {
    may_end_ = true;
    accepting_ = handing_over;  // a late request on an open connection: the next process finds it recorded
    server_.http().CloseIdle();
    stop_timer_ = loop_.At(loop_.Now() + limits.stop_time - limits.stop_take_on, [this] {
      stop_timer_ = 0;
      End();
    });
    CheckStopped();
  });
}

void Relay::End() {
  if (membership_) membership_->Leave();
  server_.http().TakeWhatHasCome();
  stopped_();
}

// What is still open then is in the journal; the next process goes on with it.
void Relay::CheckStopped() {
  if (!stopping_ || !may_end_ || calls_.out() > 0 || !notifier_.empty()) return;
  if (config_.inherited_fd < 0 && requests_.open() > 0) return;
  End();
}

}  // namespace opalroute
