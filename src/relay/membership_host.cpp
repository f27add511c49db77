#include "relay/membership_host.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace opalroute {

zone_failover::FailoverOptions MembershipHost::OptionsOf(const Config& config,
                                                         const Operator::Tier& settings) {
  zone_failover::FailoverOptions rules;
  rules.membership.fleet_size = static_cast<int>(config.peers.size());
  rules.membership.own_peer = config.own_peer;
  rules.membership.max_message_bytes = config.limits.datagram_bytes;
  rules.zones = static_cast<int>(config.zones.size());
  rules.share_quotas = settings.shares;
  rules.evacuate_zones = settings.zones;
  rules.evacuation.slow_start_initial_share = config.settings.slow_start_initial_share;
  rules.evacuation.slow_start_duration = config.settings.slow_start_duration;
  return rules;
}

// Danger: a clock that was set back would make the new process's notes look like replays of the old one's.
MembershipHost::MembershipHost(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                               const Operator::Tier& settings, const EndpointTable& endpoints, Owner& owner)
    : loop_(loop),
      clock_(clock),
      config_(config),
      endpoints_(endpoints),
      owner_(owner),
      state_(config.state_folder),
      saved_(state_.Load(config.name, config.zones, clock.Micros(), config.limits.tier_kept)),
      incarnation_(std::max(static_cast<std::uint64_t>(std::max<std::int64_t>(1, clock.Micros())),
                            saved_.incarnation + 1)),
      member_(OptionsOf(config, settings), incarnation_, config.settings.seed, loop.Now(), saved_.zones),
      share_count_(static_cast<double>(config.peers.size())) {
  log::Info("tier_joins",
            {{"relays", config.peers.size()}, {"own", config.own_peer}, {"kept", saved_.load_result}});
  Save();
  // Not in the relay's constructor any more: what follows may need all of it.
  timer_ = loop_.At(loop_.Now(), [this] { Tick(); });
}

MembershipHost::~MembershipHost() { loop_.Cancel(timer_); }

void MembershipHost::Tick() {
  timer_ = loop_.At(loop_.Now() + zone_failover::ZoneFailover::kTickInterval, [this] { Tick(); });
  zone_failover::ZoneFailover::Actions what;
  member_.Tick(loop_.Now(), what);
  Apply(what);
}

bool MembershipHost::OnGossip(int peer, std::string_view bytes) {
  zone_failover::ZoneFailover::Actions what;
  if (!member_.HandleMessage(loop_.Now(), peer, bytes, what)) return false;
  Apply(what);
  return true;
}

void MembershipHost::OnUnreachable(int peer) { member_.OnUnreachable(loop_.Now(), peer); }

bool MembershipHost::ApplyCommand(const std::string& zone, zone_failover::OverrideKind order, Seconds lasts) {
  const auto named = std::find(config_.zones.begin(), config_.zones.end(), zone);
  if (named == config_.zones.end()) return false;
  zone_failover::ZoneFailover::Actions what;
  if (!member_.ApplyOverride(loop_.Now(), static_cast<int>(named - config_.zones.begin()), order, lasts,
                             what))
    return false;
  Apply(what);
  return true;
}

void MembershipHost::Leave() {
  zone_failover::ZoneFailover::Actions what;
  member_.AnnounceLeave(what);
  Apply(what);
}

void MembershipHost::Apply(zone_failover::ZoneFailover::Actions& what) {
  for (Event& event : what.events) {
    if (const auto* size = std::get_if<FleetSize>(&event)) {
      if (size->share_count <= static_cast<double>(config_.peers.size()))
        log::Info("tier_parts", {{"parts", size->share_count}, {"before", share_count_}});
      share_count_ = size->share_count;
    }
    owner_.PostMembershipEvent(std::move(event));
  }
  // Kept before it is told to anybody: a process that dies in between comes back with what the others heard.
  if (!what.changes.empty() || !what.overrides.empty()) Save();
  for (const zone_failover::OutgoingDatagram& datagram : what.datagrams) {
    ++messages_sent_;
    bytes_sent_ += static_cast<long>(datagram.bytes.size());
    owner_.SendGossipPayload(datagram.to, datagram.bytes);
  }
  for (const zone_failover::ZoneFailover::OverrideChange& o : what.overrides)
    log::Warn("zone_order", {{"zone", ZoneName(o.zone)},
                             {"order", zone_failover::NameOf(o.operator_override.kind)},
                             {"number", o.operator_override.sequence},
                             {"told_to", o.operator_override.issued_by},
                             {"left_s", o.operator_override.expires_at - loop_.Now()},
                             {"heard", o.from_peer}});
  for (const zone_failover::ZoneFailover::Change& c : what.changes)
    log::Warn("zone_stage", {{"zone", ZoneName(c.zone)},
                             {"stage", zone_failover::NameOf(c.after.phase)},
                             {"before", zone_failover::NameOf(c.before.phase)},
                             {"round", c.after.round},
                             {"heard", c.from_peer},
                             {"accusers", c.view.failure_reporters},
                             {"vouchers", c.view.success_reporters},
                             {"partners_failing", c.view.failed_destinations},
                             {"partners", c.view.destinations},
                             {"why", zone_failover::NameOf(c.view.fault)}});
}

void MembershipHost::Save() {
  const std::int64_t now = clock_.Micros();
  if (!state_.Save(config_.name, config_.zones, now, incarnation_, member_.Save(loop_.Now())))
    log::Warn("tier_not_saved", {{"path", state_.path()}});
}

std::string MembershipHost::ZoneName(int zone) const { return config_.zones[static_cast<std::size_t>(zone)]; }

void MembershipHost::OnSent(EndpointId id) {
  const EndpointTable::Endpoint& e = endpoints_.At(id);
  member_.OnSent(loop_.Now(), e.zone, e.destination, id);
}

void MembershipHost::OnCallEnded(EndpointId id, Outcome outcome, Seconds duration) {
  const EndpointTable::Endpoint& e = endpoints_.At(id);
  member_.OnEnded(loop_.Now(), e.zone, e.destination, id, outcome, duration);
}

void MembershipHost::OnEvent(const Event& event) {
  if (const auto* attempt = std::get_if<AttemptOutcome>(&event))
    OnCallEnded(attempt->endpoint, attempt->outcome, attempt->duration);
  if (const auto* probe = std::get_if<HealthCheckOutcome>(&event))
    OnCallEnded(probe->endpoint, probe->outcome, probe->duration);
}

nlohmann::ordered_json MembershipHost::Print() const {
  const Seconds now = loop_.Now();
  int counts[4] = {};
  for (int peer = 0; peer < static_cast<int>(config_.peers.size()); ++peer)
    ++counts[static_cast<int>(member_.membership().StateOf(now, peer))];
  nlohmann::ordered_json page = {{"relay", config_.name},
                                 {"tier",
                                  {{"relays", config_.peers.size()},
                                   {"live", counts[static_cast<int>(membership::MemberState::kAlive)]},
                                   {"suspected", counts[static_cast<int>(membership::MemberState::kSuspect)]},
                                   {"unheard", counts[static_cast<int>(membership::MemberState::kUnknown)]},
                                   {"gone", counts[static_cast<int>(membership::MemberState::kDead)]},
                                   {"parts", member_.membership().ShareCount(now)},
                                   {"settled", member_.membership().IsSettled(now)},
                                   {"restarts_seen", member_.membership().restarts()},
                                   {"notes_sent", messages_sent_},
                                   {"note_bytes_sent", bytes_sent_}}},
                                 {"zones", nlohmann::ordered_json::array()}};
  for (int zone = 0; zone < member_.zones(); ++zone) {
    const zone_failover::EvacuationState& stage = member_.StateOf(zone);
    const zone_failover::ZoneView view = member_.ViewOf(now, zone);
    const zone_failover::TrafficDirective order = member_.DirectiveFor(now, zone);
    const zone_failover::OverrideKind by_hand = member_.ActiveOverride(now, zone);
    const zone_failover::OperatorOverride& given = member_.OverrideOf(zone);
    page["zones"].push_back(
        {{"zone", ZoneName(zone)},
         {"stage", zone_failover::NameOf(stage.phase)},
         {"for_s", std::max(0.0, now - stage.since)},
         {"round", stage.round},
         {"relapses", stage.relapses},
         {"share", order.traffic_share},
         {"scout", order.is_health_check_relay},
         {"accusers", view.failure_reporters},
         {"vouchers", view.success_reporters},
         {"partners_failing", view.failed_destinations},
         {"partners", view.destinations},
         {"why", zone_failover::NameOf(view.fault)},
         {"order", zone_failover::NameOf(by_hand)},
         {"order_left_s", by_hand != zone_failover::OverrideKind::kNone ? given.expires_at - now : 0.0},
         {"order_told_to", given.issued_by}});
  }
  return page;
}

}  // namespace opalroute
