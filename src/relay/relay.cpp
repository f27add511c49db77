#include "relay/relay.h"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <system_error>
#include <utility>

#include "log/log.h"
#include "net/address.h"
#include "pool/list_reader.h"

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
  const std::size_t tier = settings_.tier.on() ? TierState::kMostBytes : 0;
  const std::size_t beside = learned + tier + PersistentClock::kMostBytes +
                             2 * config_.limits.ban_bytes;  // a file and the one that replaces it
  const std::size_t disk = config_.limits.disk_bytes, rest = disk - std::min(disk / 2, beside);
  return config_.inherited_fd >= 0 ? rest / operation::kSeats : rest;
}

Relay::Relay(net::EventLoop& loop, const Config& config, const Operator& settings)
    : loop_(loop),
      config_(config),
      settings_(settings),
      seats_(config.state_folder, config.inherited_fd >= 0),
      clock_(loop.clock(), config.state_folder),
      journal_(config.state_folder, JournalBytes(), JournalOf(seats_.own())),
      endpoints_client_(loop, EndpointBounds(config)),
      platform_client_(loop, PlatformBounds(config.limits)),
      endpoints_(loop, endpoints_client_, config, counters_),
      transactions_(loop, clock_, config, counters_, journal_),
      driver_(loop, config.settings, *this),
      calls_(
          loop, clock_, endpoints_client_, config, counters_, endpoints_, transactions_, driver_,
          [this] { CheckStopped(); },
          [this](EndpointId endpoint, Seconds wait) { ShareWait(endpoint, wait); }),
      bans_(config.state_folder, config.limits.ban_bytes),
      joined_(settings.srv_names.empty()
                  ? nullptr
                  : std::make_unique<JoinedPool>(loop, config, settings,
                                                 static_cast<PoolSource::Listener&>(*this))),
      discovery_(loop, config.discovery, config.limits,
                 joined_ ? static_cast<PoolSource::Listener&>(*joined_) : *this),
      notices_(loop, platform_client_, config.discovery, config.limits,
               [this](const std::string& id) {
                 ++counters_.notices_arrived;
                 if (!journal_.End(id)) ++counters_.journal_failures;
                 CheckStopped();
               }),
      learning_host_(loop, endpoints_, driver_,
                     [this](int peer, const std::string& bytes) {
                       TellPeers({peer, bytes});
                     }),
      discovery_at_(config.discovery),
      server_(loop, config, counters_, *this) {
  counters_.classes.resize(config.classes.size());
  log::Info("clock", {{"resumed", clock_.resumed()}, {"wall_step_ms", clock_.WallStep() / 1000}});
  KeepClock();
  if (config.peer_listen) StartOrStayOff("notes between relays", [this] { ListenToPeers(); });
  if (settings.admin_listen)
    StartOrStayOff("operators' pages", [&] {
      admin_ = std::make_unique<Admin>(
          loop, *settings.admin_listen, config.limits,
          Admin::Pages{
              {"/pool", [this] { return joined_ ? joined_->Print().dump() : endpoints_.Print().dump(); }},
              {"/counters", [this] { return counters_.Print(); }},
              {"/zones", [this] { return (tier_ ? tier_->Print() : nlohmann::ordered_json()).dump(); }}},
          Admin::Orders{{"/zones", [this](const std::string& body) { return OrderZone(body); }}});
    });
  if (config.inherited_fd >= 0)
    waits_ = std::make_unique<operation::SharedWaits>(config.state_folder, seats_.own(), seats_.other(),
                                                      config.limits.shared_waits);
  endpoints_.Ban(bans_.ids());  // before the list: not one call
  const auto known = config.known.is_null() ? std::nullopt : ReadPoolList(config.known);
  if (known) discovery_.Resume(known->generation);
  const PoolNews list = known.value_or(PoolNews{true, true, {}});
  driver_.Post(endpoints_.Apply(joined_ ? joined_->Remembered(list) : list, ListScope::kRemembered));
  // Before what an earlier process had taken on is sent: the partners may be down still.
  if (settings.learn.on())
    StartOrStayOff("learning from running instances", [&] {
      learning_ = std::make_unique<learning::Learning>(loop, clock_, config, settings.learn, learning_host_);
    });
  if (settings.tier.on()) JoinTier();
  Restore();
  ready_ = !endpoints_.empty();
  if (config.inherited_fd >= 0) PollState();
  if (config.ops)
    StartOrStayOff("the operators' door", [&] {
      door_ = std::make_unique<operation::Door>(loop, *config.ops, config.limits,
                                                static_cast<operation::Operated&>(*this));
    });
}

Relay::~Relay() {
  loop_.Cancel(stop_timer_);
  loop_.Cancel(poll_timer_);
  loop_.Cancel(clock_timer_);
}

// ---- operators ---------------------------------------------------------------------------------------

std::string Relay::Figures() const {
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
    if (!driver_.module().MayLeave(loop_.Now(), id)) ++skipped;
  }
  line("upstream_tries", counters_.upstream_tries);
  line("in_progress", transactions_.open());
  line("known_endpoints", known);
  line("skipped_endpoints", skipped);
  return text;
}

operation::Told Relay::SetBan(const std::string& endpoint, bool banned) {
  if (!endpoints_.WasListed(endpoint) && !bans_.Has(endpoint)) return operation::Told::kUnknown;
  if (!bans_.Set(endpoint, banned)) return operation::Told::kNotKept;
  HeedBans();
  return operation::Told::kDone;
}

void Relay::HeedBans() {
  const ListUpdate update = endpoints_.Ban(bans_.ids());
  if (update.entries.empty()) return;
  driver_.Post(update);
  Learned back;  // a machine that was out by hand has been restarted, mostly: it starts slowly
  for (const ListEntry& e : update.entries) {
    if (e.listing != Listing::kInService || !config_.settings.kinds[e.kind].routes_apart) continue;
    Belief belief;
    belief.destination = e.destination;
    belief.endpoint = e.endpoint;
    belief.back = 0;
    back.beliefs.push_back(belief);
  }
  if (!back.beliefs.empty()) driver_.Post(std::move(back));
}

void Relay::ShareWait(EndpointId endpoint, Seconds wait) {
  if (!waits_) return;
  const EndpointTable::Endpoint& e = endpoints_.At(endpoint);
  const bool apart = config_.settings.kinds[e.kind].routes_apart;
  const auto until = static_cast<std::int64_t>(std::ceil((wait + config_.settings.tick) * 1e6));
  waits_->Tell({e.destination, apart ? e.told.tag : 0, clock_.Micros() + until});
}

// Danger: the two processes count as one relay, and what was told to either binds both.
void Relay::HeedSharedWaits() {
  const std::int64_t now = clock_.Micros();
  const std::vector<operation::SharedWait> waits = waits_->Holding(now);
  if (waits.empty()) return;
  std::map<std::pair<DestinationId, std::uint32_t>, EndpointId> apart;
  for (const EndpointId id : endpoints_.Listed())
    apart[{endpoints_.At(id).destination, endpoints_.At(id).told.tag}] = id;
  Learned told;
  for (const operation::SharedWait& w : waits) {
    Belief belief;
    belief.destination = w.destination;
    belief.wait = static_cast<double>(w.until - now) / 1e6;
    if (w.tag != 0) {
      const auto endpoint = apart.find({w.destination, w.tag});
      if (endpoint == apart.end()) continue;
      belief.endpoint = endpoint->second;
    }
    told.beliefs.push_back(belief);
  }
  driver_.Post(std::move(told));
}

// Danger: a later process of this boot that does not find the offset goes by the wall clock.
void Relay::KeepClock() {
  if (clock_.Keep()) return;
  if (clock_timer_ == 0)
    log::Warn("clock_not_kept", {{"folder", config_.state_folder}, {"why", std::strerror(errno)}});
  clock_timer_ = loop_.At(loop_.Now() + config_.limits.state_poll, [this] { KeepClock(); });
}

// Another process of this relay may be told as well.
void Relay::PollState() {
  poll_timer_ = loop_.At(loop_.Now() + config_.limits.state_poll, [this] { PollState(); });
  if (bans_.Refresh()) HeedBans();
  if (stopping_) return;
  GoOnForOther();
  if (std::exchange(peers_later_, false)) ListenToPeers();
}

// ---- the pool --------------------------------------------------------------------------------------

void Relay::OnPoolNews(const PoolNews& news) {
  ++counters_.pool_news;
  if (news.of_list)
    log::Info("pool_news",
              {{"generation", news.generation}, {"whole", news.whole}, {"members", news.members.size()}});
  if (news.of_list && !std::exchange(list_is_current_, true))
    log::Info("pool_current", {{"members", news.members.size()}, {"whole", news.whole}});
  driver_.Post(endpoints_.Apply(news, news.whole ? ListScope::kWhole : ListScope::kChanges));
  if (waits_) HeedSharedWaits();  // of endpoints that were not known before
  if (learning_) learning_->OnPoolNews();
  ready_ = ready_ || news.of_list || !endpoints_.empty();
}

void Relay::OnPoolFailed() {
  ++counters_.pool_failures;
  driver_.Post(ListUpdate{ListScope::kRefused, {}, true});
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
    driver_.Post(ListMoved{});
    notices_.MoveTo(fresh.discovery);
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
          if (const auto peer = PeerAt(from)) TakeNote(*peer, std::move(bytes));
        },
        [this](const sockaddr_in& to) {
          const auto peer = tier_ ? PeerAt(to) : std::nullopt;
          if (peer) tier_->Refused(*peer);
        });
  } catch (const std::system_error& error) {
    // The process that this one takes over from has it still, until it is told to end.
    if (config_.inherited_fd < 0 || error.code().value() != EADDRINUSE) throw;
    peers_later_ = true;
  }
}

// Needs notes to all others, and a number of its own among them.
void Relay::JoinTier() {
  const char* lacking = !peers_ && !peers_later_    ? "'peer_listen' is not set"
                        : !config_.may_tell_peers   ? "the settings allow no notes between relays"
                        : config_.peers.size() < 2  ? "'peers' names no others"
                        : config_.own_peer < 0      ? "'settings.me' is none of 'peers'"
                        : config_.inherited_fd >= 0 ? "two processes of this relay may run at once"
                                                    : nullptr;
  if (lacking != nullptr) return log::Warn("feature_off", {{"feature", "tier"}, {"why", lacking}});
  tier_ = std::make_unique<TierHost>(loop_, clock_, config_, settings_.tier, endpoints_,
                                     static_cast<TierHost::Owner&>(*this));
}

net::HttpAnswer Relay::OrderZone(const std::string& body) {
  if (!tier_ || !settings_.tier.zones) return net::PlainAnswer(409, "tier.zones is off here");
  return TakeZoneOrder(
      body, [this](const ZoneOrder& order) { return tier_->Order(order.zone, order.what, order.lasts); });
}

void Relay::TakeNote(int peer, std::string bytes) {
  if (tier_ && tier_->TakeNote(peer, bytes)) return;
  if (learning_ && learning_->TakeNote(peer, bytes)) return;
  driver_.Post(PeerNote{peer, std::move(bytes)});
}

void Relay::TellPeers(const opalroute::TellPeers& tell) {
  if (!peers_) return;
  if (!tell.peer) {
    if (config_.peers_all) {
      peers_->Send(*config_.peers_all, tell.bytes);
    } else if (tier_) {
      for (std::size_t i = 0; i < config_.peers.size(); ++i)
        if (static_cast<int>(i) != config_.own_peer) peers_->Send(config_.peers[i], tell.bytes);
    }
  } else if (*tell.peer >= 0 && *tell.peer < static_cast<int>(config_.peers.size())) {
    peers_->Send(config_.peers[*tell.peer], tell.bytes);
  }
}

// ---- what an earlier process had taken on ------------------------------------------------------------

void Relay::Restore() {
  TakeOver();  // before anything is sent: an earlier process may have ended while it took these over
  if (journal_.lost_bytes() > 0) log::Warn("journal_cut", {{"lost_bytes", journal_.lost_bytes()}});
  // Copied: what is done for one may write to the journal and change its table.
  const auto entries = journal_.entries();
  for (const auto& [number, entry] : entries) RestoreOne(entry);
  counters_.restored = static_cast<long>(entries.size());
  if (!entries.empty()) log::Info("journal_restored", {{"transactions", entries.size()}});
}

// The numbers, in the own journal, of what the other seat's former process has left. Danger: a newcomer that
// finds the seat locked for this can't sit down, so it is locked only where something was left.
std::vector<std::uint64_t> Relay::TakeOver() {
  std::vector<std::uint64_t> taken;
  const std::string file = JournalOf(seats_.other());
  std::error_code none;
  const auto bytes = std::filesystem::file_size(config_.state_folder + "/" + file, none);
  if (none || bytes == 0) return taken;
  seats_.IfOtherFree([&] {
    Journal other(config_.state_folder, JournalBytes(), file);
    taken = journal_.TakeOver(other);
  });
  return taken;
}

// The other process has ended: what it had under way goes on here, as its class allows.
void Relay::GoOnForOther() {
  const std::vector<std::uint64_t> taken = TakeOver();
  std::vector<JournalEntry> entries;
  for (const std::uint64_t number : taken) entries.push_back(journal_.entries().at(number));
  for (const JournalEntry& entry : entries) RestoreOne(entry);
  if (!taken.empty()) log::Info("taken_over", {{"transactions", taken.size()}});
}

void Relay::RestoreOne(const JournalEntry& entry) {
  if (!entry.notice.empty()) return notices_.Add(entry.id, entry.notice);
  Restored restored;
  restored.message.message_class = IndexOf(config_.classes, entry.message_class);
  restored.message.destination = entry.destination;
  const int tenant = IndexOf(config_.tenants, entry.tenant);
  if (tenant >= 0) restored.message.tenant = tenant;
  const std::int64_t now = clock_.Micros();
  restored.message.patience =
      std::clamp(static_cast<double>(entry.deadline - now) / 1e6, 0.0, config_.limits.longest_remaining);
  restored.message.message = transactions_.Restore(entry, restored.message.patience);
  for (const JournalAttempt& a : entry.attempts) {
    const Seconds age = AgeOf(a, now);
    const int zone = IndexOf(config_.zones, a.zone);
    // A zone that the settings have lost must not read as none: it binds a keyed message to no endpoint.
    restored.attempts.push_back({endpoints_.Intern(a.endpoint),
                                 zone >= 0 ? zone : static_cast<int>(config_.zones.size()), age,
                                 a.may_have_run});
  }
  // The settings may have lost its class since: nothing is known then of what it allows.
  if (restored.message.message_class < 0) return EndWithNotice(restored.message.message, "given_up", 0);
  driver_.Post(std::move(restored));
}

// ---- clients ------------------------------------------------------------------------------------------

TakeOn Relay::Take(ClientRequest&& request, std::uint64_t& ticket) {
  if (const Transaction* t = transactions_.FindByName(request.id)) {
    const bool same =
        t->key == request.key && t->body == request.body && t->destination == request.destination;
    return same ? TakeOn::kTaken : TakeOn::kOtherMessage;  // sent once more, or the name of another's
  }
  if (!taking_on_) return TakeOn::kStopping;
  if (!endpoints_.Serves(request.destination))
    return list_is_current_ ? TakeOn::kUnknownDestination : TakeOn::kNotYetKnown;
  if (transactions_.open() >= config_.limits.open_transactions) return TakeOn::kFull;
  NewMessage message;
  message.message_class = request.message_class;
  message.tenant = request.tenant;
  message.patience = request.remaining;
  message.destination = request.destination;
  message.message = transactions_.TakeOn(std::move(request));
  if (message.message == 0) return TakeOn::kNoDisk;  // what can't be recorded is not taken on
  ++counters_.taken_on;
  ticket = message.message;
  driver_.Post(std::move(message));
  return TakeOn::kTaken;
}

void Relay::Withdraw(std::uint64_t ticket) {
  const Transaction* t = transactions_.Find(ticket);
  if (t == nullptr || t->over) return;
  ++counters_.withdrawn;
  calls_.EndUnasked(ticket);
}

// ---- the module's actions -------------------------------------------------------------------------------

void Relay::Apply(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      if (tier_) tier_->Sent(send->endpoint);
      calls_.Gather(*send);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      EndWithNotice(refuse->message, "handed_back", refuse->wait);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      EndWithNotice(fail->message, "given_up", 0);
    } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
      calls_.Cancel(*cancel);
    } else if (const auto* probe = std::get_if<Probe>(&action)) {
      if (tier_) tier_->Sent(probe->endpoint);
      calls_.StartProbe(probe->endpoint);
    } else if (const auto* wake = std::get_if<SetWake>(&action)) {
      driver_.WakeAt(*wake);
    } else if (const auto* watch = std::get_if<WatchList>(&action)) {
      discovery_.Watch(watch->on);
    } else if (const auto* close = std::get_if<CloseConnections>(&action)) {
      endpoints_client_.CloseIdle(endpoints_.PeerOf(close->endpoint));
    } else if (const auto* tell = std::get_if<opalroute::TellPeers>(&action)) {
      TellPeers(*tell);
    } else {
      log::Info("module", {{"says", std::get<opalroute::Log>(action).text}});
    }
  }
  calls_.Start();
}

void Relay::BeforeTurnEnds() {
  unused_ = endpoints_.Unused();
  if (waits_ && waits_->HasNews()) HeedSharedWaits();
}

void Relay::AfterTurnEnded() {
  endpoints_.Forget(unused_);
  CheckStopped();
}

void Relay::EndWithNotice(MessageId message, const char* outcome, Seconds wait) {
  Transaction* t = transactions_.Find(message);
  if (t == nullptr || t->over) return;
  Counters::OfClass& of = counters_.Of(t->message_class);
  const bool failed = outcome == std::string_view("given_up");
  ++(failed ? counters_.given_up : counters_.handed_back);
  ++(failed ? of.bad_gateway : of.dropped);
  if (log::Writes(log::Level::debug))
    log::Debug("message_ended", {{"id", t->id},
                                 {"outcome", outcome},
                                 {"attempts", t->journaled.size()},
                                 {"left_ms", std::lround((t->deadline - loop_.Now()) * 1000)}});
  const std::string line = NoticeLine(t->id, outcome, wait);
  transactions_.EndWith(*t, line);
  notices_.Add(t->id, line);
  transactions_.ForgetIfDone(message);
}

// ---- the end ---------------------------------------------------------------------------------------------

void Relay::Stop(std::function<void()> stopped) {
  if (std::exchange(stopping_, true)) return;
  stopped_ = std::move(stopped);
  const Limits& limits = config_.limits;
  log::Info("stopping", {{"open", transactions_.open()}, {"calls_out", calls_.out()}});
  server_.http().CloseAfterAnswers();
  const bool handing_over = config_.inherited_fd >= 0;
  if (handing_over) {  // who connects now, and peers' notes, are the next process's
    server_.http().StopAccepting();
    peers_.reset();
  }
  // What waits here is the next process's as soon as this one has ended: nothing more is sent that would put
  // that off.
  driver_.Post(Stopping{handing_over ? 0 : limits.stop_time});
  stop_timer_ = loop_.At(loop_.Now() + limits.stop_take_on, [this, &limits, handing_over] {
    may_end_ = true;
    taking_on_ = handing_over;  // a late request on an open connection: the next process finds it recorded
    server_.http().CloseIdle();
    stop_timer_ = loop_.At(loop_.Now() + limits.stop_time - limits.stop_take_on, [this] {
      stop_timer_ = 0;
      End();
    });
    CheckStopped();
  });
}

void Relay::End() {
  if (tier_) tier_->Leave();
  server_.http().TakeWhatHasCome();
  stopped_();
}

// What is still open then is in the journal; the next process goes on with it.
void Relay::CheckStopped() {
  if (!stopping_ || !may_end_ || calls_.out() > 0 || !notices_.empty()) return;
  if (config_.inherited_fd < 0 && transactions_.open() > 0) return;
  End();
}

}  // namespace opalroute
