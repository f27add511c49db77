#include "relay/membership_host.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace opalroute {

namespace {

using zone_failover::ZoneFailover;

// Greater than the saved incarnation even if the clock was set back: otherwise the peers would ignore the
// messages of the new process as replays.
std::uint64_t NewIncarnation(std::int64_t now_micros, std::uint64_t saved) {
  const auto by_clock = static_cast<std::uint64_t>(std::max<std::int64_t>(1, now_micros));
  return std::max(by_clock, saved + 1);
}

}  // namespace

zone_failover::FailoverOptions MembershipHost::OptionsOf(const Config& config,
                                                         const OperatorSettings::Fleet& settings) {
  zone_failover::FailoverOptions options;
  options.membership.fleet_size = static_cast<int>(config.peers.size());
  options.membership.own_peer = config.own_peer;
  options.membership.max_message_bytes = config.limits.peer_datagram_bytes;
  options.zones = static_cast<int>(config.zones.size());
  options.share_quotas = settings.share_quotas;
  options.evacuate_zones = settings.evacuate_zones;
  options.evacuation.slow_start_initial_share = config.settings.slow_start_initial_share;
  options.evacuation.slow_start_duration = config.settings.slow_start_duration;
  return options;
}

MembershipHost::MembershipHost(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                               const OperatorSettings::Fleet& settings, const EndpointTable& endpoints,
                               Owner& owner)
    : loop_(loop),
      clock_(clock),
      config_(config),
      endpoints_(endpoints),
      owner_(owner),
      file_(config.state_folder),
      saved_(file_.Load(config.name, config.zones, clock.Micros(), config.limits.zone_state_max_age)),
      incarnation_(NewIncarnation(clock.Micros(), saved_.incarnation)),
      failover_(OptionsOf(config, settings), incarnation_, config.settings.seed, loop.Now(), saved_.zones),
      share_count_(static_cast<double>(config.peers.size())) {
  log::Info(
      "membership_joining",
      {{"relays", config.peers.size()}, {"own_peer", config.own_peer}, {"saved_state", saved_.load_result}});
  Save();
  // Deferred to the event loop: the first tick posts events, and the relay is not fully constructed yet.
  timer_ = loop_.At(loop_.Now(), [this] { Tick(); });
}

MembershipHost::~MembershipHost() { loop_.Cancel(timer_); }

void MembershipHost::Tick() {
  timer_ = loop_.At(loop_.Now() + ZoneFailover::kTickInterval, [this] { Tick(); });
  ZoneFailover::Actions actions;
  failover_.Tick(loop_.Now(), actions);
  Apply(actions);
}

bool MembershipHost::OnGossip(int peer, std::string_view bytes) {
  ZoneFailover::Actions actions;
  if (!failover_.HandleMessage(loop_.Now(), peer, bytes, actions)) return false;
  Apply(actions);
  return true;
}

void MembershipHost::OnUnreachable(int peer) { failover_.OnUnreachable(loop_.Now(), peer); }

bool MembershipHost::ApplyCommand(const std::string& zone, zone_failover::OverrideKind kind,
                                  Seconds duration) {
  const auto found = std::find(config_.zones.begin(), config_.zones.end(), zone);
  if (found == config_.zones.end()) return false;
  const int index = static_cast<int>(found - config_.zones.begin());
  ZoneFailover::Actions actions;
  if (!failover_.ApplyOverride(loop_.Now(), index, kind, duration, actions)) return false;
  Apply(actions);
  return true;
}

void MembershipHost::Leave() {
  ZoneFailover::Actions actions;
  failover_.AnnounceLeave(actions);
  Apply(actions);
}

void MembershipHost::Apply(ZoneFailover::Actions& actions) {
  for (Event& event : actions.events) PostEvent(event);
  // Saved before sending: if the process ends in between, it restarts with at least the state that its peers
  // know.
  if (!actions.changes.empty() || !actions.overrides.empty()) Save();
  for (const zone_failover::OutgoingDatagram& datagram : actions.datagrams) Send(datagram);
  for (const ZoneFailover::OverrideChange& change : actions.overrides) LogOverride(change);
  for (const ZoneFailover::Change& change : actions.changes) LogPhase(change);
}

void MembershipHost::PostEvent(Event& event) {
  if (const auto* fleet = std::get_if<FleetSize>(&event)) {
    // A count above the number of relays only means that this process holds back part of its share.
    if (fleet->share_count <= static_cast<double>(config_.peers.size())) {
      log::Info("share_count_changed", {{"share_count", fleet->share_count}, {"before", share_count_}});
    }
    share_count_ = fleet->share_count;
  }
  owner_.PostMembershipEvent(std::move(event));
}

void MembershipHost::Send(const zone_failover::OutgoingDatagram& datagram) {
  ++traffic_.messages_sent;
  traffic_.bytes_sent += static_cast<long>(datagram.bytes.size());
  owner_.SendGossipPayload(datagram.to, datagram.bytes);
}

void MembershipHost::LogOverride(const ZoneFailover::OverrideChange& change) const {
  const zone_failover::OperatorOverride& latest = change.operator_override;
  log::Warn("zone_override_changed", {{"zone", ZoneName(change.zone)},
                                      {"override", zone_failover::NameOf(latest.kind)},
                                      {"sequence", latest.sequence},
                                      {"issued_by", latest.issued_by},
                                      {"remaining_s", latest.expires_at - loop_.Now()},
                                      {"from_peer", change.from_peer}});
}

void MembershipHost::LogPhase(const ZoneFailover::Change& change) const {
  log::Warn("zone_phase_changed", {{"zone", ZoneName(change.zone)},
                                   {"phase", zone_failover::NameOf(change.after.phase)},
                                   {"before", zone_failover::NameOf(change.before.phase)},
                                   {"round", change.after.round},
                                   {"from_peer", change.from_peer},
                                   {"failure_reporters", change.view.failure_reporters},
                                   {"success_reporters", change.view.success_reporters},
                                   {"failed_destinations", change.view.failed_destinations},
                                   {"destinations", change.view.destinations},
                                   {"fault", zone_failover::NameOf(change.view.fault)}});
}

void MembershipHost::Save() {
  if (!file_.Save(config_.name, config_.zones, clock_.Micros(), incarnation_, failover_.Save(loop_.Now()))) {
    log::Warn("membership_state_not_saved", {{"path", file_.path()}});
  }
}

const std::string& MembershipHost::ZoneName(int zone) const {
  return config_.zones[static_cast<std::size_t>(zone)];
}

void MembershipHost::OnSent(EndpointId id) {
  const EndpointTable::Endpoint& endpoint = endpoints_.At(id);
  if (!endpoint.zone) return;  // it says nothing about any zone
  failover_.OnSent(loop_.Now(), static_cast<int>(*endpoint.zone), endpoint.destination, id);
}

void MembershipHost::OnCallEnded(EndpointId id, Outcome outcome, Seconds duration) {
  const EndpointTable::Endpoint& endpoint = endpoints_.At(id);
  if (!endpoint.zone) return;
  const int zone = static_cast<int>(*endpoint.zone);
  failover_.OnEnded(loop_.Now(), zone, endpoint.destination, id, outcome, duration);
}

void MembershipHost::OnEvent(const Event& event) {
  if (const auto* attempt = std::get_if<AttemptOutcome>(&event)) {
    OnCallEnded(attempt->endpoint, attempt->outcome, attempt->duration);
  }
  if (const auto* health_check = std::get_if<HealthCheckOutcome>(&event)) {
    OnCallEnded(health_check->endpoint, health_check->outcome, health_check->duration);
  }
}

nlohmann::ordered_json MembershipHost::ToJson() const {
  return ZonesPage(loop_.Now(), config_.name, config_.zones, failover_, traffic_);
}

}  // namespace opalroute
