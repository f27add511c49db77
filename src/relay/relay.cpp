#include "relay/relay.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "admin/zone_command.h"
#include "discovery/endpoint_list_parser.h"
#include "log/log.h"
#include "net/address.h"
#include "relay/client_bounds.h"
#include "relay/operations_metrics.h"
#include "relay/optional_feature.h"

namespace opalroute {

Relay::Relay(net::EventLoop& loop, const Config& config, const OperatorSettings& settings)
    : loop_(loop),
      config_(config),
      settings_(settings),
      memory_(loop, MemorySharesOf(config.limits.memory)),
      process_lock_(config.state_folder, config.inherited_fd >= 0),
      clock_(loop.clock(), config.state_folder),
      journal_(config.state_folder, JournalBudget(config, settings), JournalName(process_lock_.own_slot())),
      ended_requests_(config.state_folder, process_lock_.own_slot(), process_lock_.other_slot(),
                      config.limits.remembered_requests),
      endpoints_client_(loop, EndpointClientBounds(config, &memory_)),
      platform_client_(loop, PlatformClientBounds(config.limits, &memory_)),
      endpoints_(loop, endpoints_client_, config, counters_),
      requests_(loop, clock_, config, counters_, memory_, journal_, ended_requests_),
      decisions_(loop, config.settings, *this),
      calls_(loop, clock_, endpoints_client_, config, counters_, endpoints_, requests_, decisions_,
             {[this] { CheckStopped(); },
              [this](EndpointId endpoint, Seconds retry_after) {
                if (retry_after_sharing_) retry_after_sharing_->Publish(endpoint, retry_after);
              },
              [this](const std::string& client_id) { return recovery_.Reopen(client_id); },
              [this](RequestId request) { ending_.RecordMayBeOver(request); },
              [this](RequestId request) { ending_.Fail(request); }}),
      suspension_(config, endpoints_, decisions_),
      merged_source_(settings.srv_names.empty()
                         ? nullptr
                         : std::make_unique<MergedEndpointSource>(
                               loop, config, settings, static_cast<EndpointSource::Listener&>(*this))),
      discovery_(loop, config.discovery, config.limits, &memory_,
                 merged_source_ ? static_cast<EndpointSource::Listener&>(*merged_source_) : *this),
      notifier_(loop, platform_client_, config.discovery, config.limits,
                [this](const std::string& request) {
                  ++counters_.notifications_acknowledged;
                  if (!journal_.RecordEnd(request)) ++counters_.journal_failures;
                  CheckStopped();
                }),
      ending_(loop, counters_, requests_, notifier_),
      recovery_({config, clock_, process_lock_, journal_, counters_, endpoints_, requests_, decisions_,
                 notifier_, ending_},
                JournalBudget(config, settings)),
      intake_({config, counters_, endpoints_, requests_, decisions_, calls_}, [this] { return IsReady(); }),
      listeners_(config.inherited_fd >= 0),
      peers_(loop, config, *this),
      transfer_host_(loop, endpoints_, decisions_,
                     [this](int peer, const std::string& payload) { peers_.SendTo(peer, payload); }),
      route_health_(config, clock_, endpoints_, decisions_, counters_, process_lock_.own_slot(),
                    process_lock_.other_slot()),
      discovery_address_(config.discovery),
      stop_timer_(loop),
      poll_timer_(loop),
      server_(loop, config, counters_, memory_, intake_) {
  counters_.classes.resize(config.classes.size());
  log::Info("clock", {{"resumed", clock_.resumed()}, {"wall_step_ms", clock_.WallStep() / 1000}});
  if (config.limits.memory_is_scarce) {
    log::Warn("memory_limit_small",
              {{"key", "limits.memory_mb"}, {"why", "less than the program and its files need"}});
  }
  clock_persister_.emplace(loop, config, clock_);
  if (config.peer_listen) {
    StartUnlessUnsupported("gossip between relays",
                           [this] { listeners_.Open("peer_listen", [this] { peers_.Listen(); }); });
  }
  if (settings.admin_listen) {
    StartUnlessUnsupported("operators' pages",
                           [this] { listeners_.Open("admin.listen", [this] { StartAdminServer(); }); });
  }
  if (IsHotRestart()) {
    retry_after_sharing_ = std::make_unique<RetryAfterSharing>(
        config, clock_, endpoints_, decisions_, process_lock_.own_slot(), process_lock_.other_slot());
  }
  ApplyCachedList();
  // Started before recovered requests are sent: their endpoints may still be failing, and other relays know
  // which.
  if (settings.state_transfer.enabled())
    StartUnlessUnsupported("state transfer", [this] { StartStateTransfer(); });
  if (settings.fleet.enabled()) JoinFleet();
  recovery_.RecoverAll();
  has_list_ = !endpoints_.empty();
  if (IsHotRestart()) PollStateFolder();
  if (config.ops) {
    StartUnlessUnsupported("operations server",
                           [this] { listeners_.Open("ops", [this] { StartOperationsServer(); }); });
  }
}

// ---- optional components -------------------------------------------------------------------------

void Relay::StartAdminServer() {
  AdminServer::Pages pages;
  pages.push_back({"/pool", [this] { return EndpointsJson(); }});
  pages.push_back({"/counters", [this] { return counters_.ToJsonText(); }});
  pages.push_back({"/zones", [this] { return ZonesJson(); }});
  AdminServer::Commands commands;
  commands.push_back({"/zones", [this](const std::string& body) { return OnZoneCommand(body); }});
  admin_ = std::make_unique<AdminServer>(loop_, *settings_.admin_listen, config_.limits, &memory_,
                                         std::move(pages), std::move(commands));
}

void Relay::StartOperationsServer() {
  admin::OperationsHandler& handler = *this;
  operations_server_ =
      std::make_unique<admin::OperationsServer>(loop_, *config_.ops, config_.limits, &memory_, handler);
}

void Relay::StartStateTransfer() {
  state_transfer_ = std::make_unique<state_transfer::StateTransfer>(loop_, clock_, config_,
                                                                    settings_.state_transfer, transfer_host_);
  if (settings_.state_transfer.listen) listeners_.Open("learn.listen", [this] { state_transfer_->Serve(); });
}

// Membership needs gossip with all other relays, and this relay's index in `peers`.
void Relay::JoinFleet() {
  const char* missing = nullptr;
  if (IsHotRestart()) {
    missing = "not supported with hot restart: two processes of this relay may run at once";
  } else if (!peers_.available()) {
    missing = "'peer_listen' is not set";
  } else if (!config_.may_gossip) {
    missing = "the settings do not allow gossip between relays";
  } else if (config_.peers.size() < 2) {
    missing = "'peers' lists no other relay";
  } else if (config_.own_peer < 0) {
    missing = "'settings.me' is not one of 'peers'";
  }
  if (missing != nullptr) {
    log::Warn("feature_off", {{"feature", "tier"}, {"why", missing}});
    return;
  }
  MembershipHost::Owner& owner = *this;
  membership_ = std::make_unique<MembershipHost>(loop_, clock_, config_, settings_.fleet, endpoints_, owner);
}

// ---- the endpoint list ---------------------------------------------------------------------------

// Applies the endpoint list that the configuration caches from an earlier process of this relay.
void Relay::ApplyCachedList() {
  const auto known = config_.cached_list.is_null() ? std::nullopt : ParseEndpointList(config_.cached_list);
  if (known) discovery_.Resume(known->generation);
  EndpointListUpdate list;
  list.complete = true;
  if (known) list = *known;
  if (merged_source_) list = merged_source_->ApplyCached(list);
  decisions_.Post(endpoints_.Apply(list, ListScope::kCached));
  route_health_.Recover();
}

void Relay::OnEndpointList(const EndpointListUpdate& update) {
  ++counters_.list_updates;
  if (update.from_list) {
    log::Info("endpoint_list_updated", {{"generation", update.generation},
                                        {"complete", update.complete},
                                        {"endpoints", update.endpoints.size()}});
    intake_.SetListCurrent();
    if (!std::exchange(list_is_current_, true)) {
      log::Info("endpoint_list_current",
                {{"endpoints", update.endpoints.size()}, {"complete", update.complete}});
    }
  }
  const ListScope scope = update.complete ? ListScope::kComplete : ListScope::kChanges;
  decisions_.Post(endpoints_.Apply(update, scope));
  route_health_.Recover();
  if (retry_after_sharing_) retry_after_sharing_->Apply();
  if (state_transfer_) state_transfer_->OnEndpointList();
  has_list_ = has_list_ || update.from_list || !endpoints_.empty();
}

void Relay::OnListConfirmed() { decisions_.Post(ListConfirmed{}); }

void Relay::OnWatchFailed() {
  ++counters_.watch_failures;
  decisions_.Post(ListUpdate{ListScope::kWatchFailed, {}, true});
}

// ---- configuration reload ------------------------------------------------------------------------

void Relay::Reload(const std::function<Config()>& read) {
  try {
    const Config fresh = read();
    ++counters_.reloads;
    for (const std::string& key : config::KeysNeedingRestart(config_, fresh)) {
      log::Warn("reload_key_waits", {{"key", key}, {"why", "takes effect at the next start"}});
    }
    MoveDiscovery(fresh.discovery);
  } catch (const std::exception& error) {
    ++counters_.reload_failures;
    log::Error("reload_refused", {{"why", error.what()}});
  }
}

void Relay::MoveDiscovery(const sockaddr_in& discovery) {
  const std::string before = net::FormatAddress(discovery_address_);
  const std::string now = net::FormatAddress(discovery);
  if (before == now) {
    log::Info("reload_done", {{"discovery", now}});
    return;
  }
  log::Info("reload_done", {{"discovery", now}, {"before", before}});
  discovery_address_ = discovery;
  discovery_.SetAddress(discovery);
  decisions_.Post(DiscoveryMoved{});
  notifier_.SetAddress(discovery);
}

// ---- other relays --------------------------------------------------------------------------------

void Relay::OnPeerDatagram(int peer, std::string payload) {
  if (membership_ && membership_->OnGossip(peer, payload)) return;
  if (state_transfer_ && state_transfer_->OnDatagram(peer, payload)) return;
  decisions_.Post(GossipReceived{peer, std::move(payload)});
}

void Relay::OnPeerUnreachable(int peer) {
  if (membership_) membership_->OnUnreachable(peer);
}

void Relay::PostMembershipEvent(Event event) { decisions_.Post(std::move(event)); }

void Relay::SendGossipPayload(std::optional<int> peer, const std::string& payload) {
  Perform(SendGossip{peer, payload});
}

// ---- operators -----------------------------------------------------------------------------------

std::string Relay::Metrics() const {
  return OperationsMetrics(config_, counters_, endpoints_, requests_, decisions_, memory_, listeners_,
                           loop_.Now());
}

admin::CommandResult Relay::SetSuspended(const std::string& endpoint, bool suspended) {
  return suspension_.Set(endpoint, suspended);
}

net::HttpResponse Relay::OnZoneCommand(const std::string& body) {
  constexpr int kConflict = 409;
  if (!membership_ || !settings_.fleet.evacuate_zones)
    return net::PlainTextResponse(kConflict, "tier.zones is not enabled on this relay");
  return HandleZoneCommand(body, [this](const ZoneCommand& command) {
    return membership_->ApplyCommand(command.zone, command.override_kind, command.duration);
  });
}

std::string Relay::EndpointsJson() const {
  return merged_source_ ? merged_source_->ToJson().dump() : endpoints_.ToJson().dump();
}

std::string Relay::ZonesJson() const {
  return membership_ ? membership_->ToJson().dump() : nlohmann::ordered_json().dump();
}

// ---- decisions -----------------------------------------------------------------------------------

void Relay::OnEvent(const Event& event) {
  if (membership_) membership_->OnEvent(event);
}

void Relay::Apply(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    std::visit([this](const auto& typed_action) { Perform(typed_action); }, action);
  }
  calls_.Start();
}

void Relay::Perform(const Send& send) {
  if (membership_) membership_->OnSent(send.endpoint);
  calls_.Enqueue(send);
}

void Relay::Perform(const Reject& reject) { ending_.Reject(reject.request_id, reject.retry_after); }

void Relay::Perform(const Fail& fail) { ending_.Fail(fail.request_id); }

void Relay::Perform(const CancelAttempt& cancel) { calls_.Cancel(cancel); }

void Relay::Perform(const HealthCheck& check) {
  if (membership_) membership_->OnSent(check.endpoint);
  calls_.StartHealthCheck(check.endpoint);
}

void Relay::Perform(const SetTimer& timer) { decisions_.ArmTimer(timer); }

void Relay::Perform(const WatchEndpointList& watch) { discovery_.Watch(watch.enabled); }

void Relay::Perform(const CloseIdleConnections& close) {
  endpoints_client_.CloseIdle(endpoints_.PeerOf(close.endpoint));
}

void Relay::Perform(const SendGossip& gossip) {
  if (gossip.peer) {
    peers_.SendTo(*gossip.peer, gossip.payload);
  } else {
    const bool one_by_one = membership_ != nullptr;
    peers_.Broadcast(gossip.payload, one_by_one);
  }
}

void Relay::Perform(const RouteHealthChanged& change) { route_health_.Record(change); }

void Relay::Perform(const Log& line) { log::Info("decision", {{"text", line.text}}); }

void Relay::BeforeBatchEnds() {
  unused_before_batch_ = endpoints_.Unused();
  if (retry_after_sharing_) retry_after_sharing_->ApplyIfChanged();
}

void Relay::AfterBatchEnded() {
  endpoints_.Forget(unused_before_batch_);
  CheckStopped();
}

// ---- readiness and shutdown ----------------------------------------------------------------------

bool Relay::IsReady() const {
  if (!has_list_ || stopping_) return false;
  if (state_transfer_ && !state_transfer_->done()) return false;
  return !membership_ || membership_->HasJoined();
}

// Picks up what another process of this relay has written to the state folder, and takes over from it if it
// has ended.
void Relay::PollStateFolder() {
  poll_timer_.Start(loop_.Now() + config_.limits.state_poll_interval, [this] { PollStateFolder(); });
  suspension_.Refresh();
  if (stopping_) return;
  recovery_.RecoverFromOtherProcess();
  listeners_.Retry();
}

void Relay::Stop(std::function<void()> on_stopped) {
  if (std::exchange(stopping_, true)) return;
  on_stopped_ = std::move(on_stopped);
  log::Info("stopping", {{"open_requests", requests_.open()}, {"calls_in_flight", calls_.in_flight()}});
  server_.http().CloseAfterResponses();
  if (IsHotRestart()) {
    // The next process takes over all addresses but that of the operations server, which is a process's own.
    server_.http().StopAccepting();
    peers_.Close();
    if (admin_) admin_->StopAccepting();
    if (state_transfer_) state_transfer_->StopServing();
  }
  // In a hot restart the next process takes over the waiting requests as soon as this one ends, so this one
  // sends nothing more.
  const Seconds time_left = IsHotRestart() ? 0 : config_.limits.shutdown_timeout;
  decisions_.Post(ShutdownStarted{time_left});
  stop_timer_.Start(loop_.Now() + config_.limits.shutdown_accept_period, [this] { EndAcceptPeriod(); });
}

void Relay::EndAcceptPeriod() {
  accept_period_over_ = true;
  // In a hot restart a late request on an open connection is still accepted: the next process recovers it
  // from the journal.
  if (!IsHotRestart()) intake_.StopAccepting();
  server_.http().CloseIdle();
  const Seconds rest = config_.limits.shutdown_timeout - config_.limits.shutdown_accept_period;
  stop_timer_.Start(loop_.Now() + rest, [this] { Shutdown(); });
  CheckStopped();
}

// Requests that are still open are in the journal, from which the next process recovers them.
void Relay::CheckStopped() {
  if (!stopping_ || !accept_period_over_ || calls_.in_flight() > 0 || !notifier_.empty()) return;
  if (requests_.awaiting_confirmation() > 0) return;
  if (!IsHotRestart() && requests_.open() > 0) return;
  Shutdown();
}

void Relay::Shutdown() {
  if (membership_) membership_->Leave();
  server_.http().ServePendingInput();
  on_stopped_();
}

}  // namespace opalroute
