#include "relay/tier_host.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace opalroute {

zones::MemberRules TierHost::RulesOf(const Config& config, const Operator::Tier& settings) {
  zones::MemberRules rules;
  rules.tier.size = static_cast<int>(config.peers.size());
  rules.tier.own = config.own_peer;
  rules.tier.note_bytes = config.limits.datagram_bytes;
  rules.zones = static_cast<int>(config.zones.size());
  rules.shares = settings.shares;
  rules.leave = settings.zones;
  rules.stages.cold_from = config.settings.cold_from;
  rules.stages.ramp = config.settings.ramp_time;
  return rules;
}

// Danger: a clock that was set back would make the new process's notes look like replays of the old one's.
TierHost::TierHost(net::EventLoop& loop, const PersistentClock& clock, const Config& config,
                   const Operator::Tier& settings, const EndpointTable& endpoints, Owner& owner)
    : loop_(loop),
      clock_(clock),
      config_(config),
      endpoints_(endpoints),
      owner_(owner),
      state_(config.state_folder),
      kept_(state_.Load(config.name, config.zones, clock.Micros(), config.limits.tier_kept)),
      life_(std::max(static_cast<std::uint64_t>(std::max<std::int64_t>(1, clock.Micros())), kept_.life + 1)),
      member_(RulesOf(config, settings), life_, config.settings.seed, loop.Now(), kept_.zones),
      parts_(static_cast<double>(config.peers.size())) {
  log::Info("tier_joins", {{"relays", config.peers.size()}, {"own", config.own_peer}, {"kept", kept_.end}});
  Save();
  // Not in the relay's constructor any more: what follows may need all of it.
  timer_ = loop_.At(loop_.Now(), [this] { Tick(); });
}

TierHost::~TierHost() { loop_.Cancel(timer_); }

void TierHost::Tick() {
  timer_ = loop_.At(loop_.Now() + zones::Member::kTick, [this] { Tick(); });
  zones::Member::Do what;
  member_.Tick(loop_.Now(), what);
  Do(what);
}

bool TierHost::TakeNote(int peer, std::string_view bytes) {
  zones::Member::Do what;
  if (!member_.Take(loop_.Now(), peer, bytes, what)) return false;
  Do(what);
  return true;
}

void TierHost::Refused(int peer) { member_.Refused(loop_.Now(), peer); }

bool TierHost::Order(const std::string& zone, zones::ByHand order, Seconds lasts) {
  const auto named = std::find(config_.zones.begin(), config_.zones.end(), zone);
  if (named == config_.zones.end()) return false;
  zones::Member::Do what;
  if (!member_.Order(loop_.Now(), static_cast<int>(named - config_.zones.begin()), order, lasts, what))
    return false;
  Do(what);
  return true;
}

void TierHost::Leave() {
  zones::Member::Do what;
  member_.Leave(what);
  Do(what);
}

void TierHost::Do(zones::Member::Do& what) {
  for (Event& event : what.events) {
    if (const auto* size = std::get_if<TierSize>(&event)) {
      if (size->parts <= static_cast<double>(config_.peers.size()))
        log::Info("tier_parts", {{"parts", size->parts}, {"before", parts_}});
      parts_ = size->parts;
    }
    owner_.PostTier(std::move(event));
  }
  // Kept before it is told to anybody: a process that dies in between comes back with what the others heard.
  if (!what.changes.empty() || !what.orders.empty()) Save();
  for (const auto& [to, bytes] : what.notes) {
    ++notes_;
    note_bytes_ += static_cast<long>(bytes.size());
    owner_.SendNote(to == zones::kAll ? std::nullopt : std::optional<int>(to), bytes);
  }
  for (const zones::Member::Ordered& o : what.orders)
    log::Warn("zone_order", {{"zone", ZoneName(o.zone)},
                             {"order", zones::NameOf(o.order.what)},
                             {"number", o.order.number},
                             {"told_to", o.order.by},
                             {"left_s", o.order.until - loop_.Now()},
                             {"heard", o.heard}});
  for (const zones::Member::Change& c : what.changes)
    log::Warn("zone_stage", {{"zone", ZoneName(c.zone)},
                             {"stage", zones::NameOf(c.now.step)},
                             {"before", zones::NameOf(c.before.step)},
                             {"round", c.now.round},
                             {"heard", c.heard},
                             {"accusers", c.view.accusers},
                             {"vouchers", c.view.vouchers},
                             {"partners_failing", c.view.bad_partners},
                             {"partners", c.view.partners},
                             {"why", zones::NameOf(c.view.wrong)}});
}

void TierHost::Save() {
  const std::int64_t now = clock_.Micros();
  if (!state_.Save(config_.name, config_.zones, now, life_, member_.Keep(loop_.Now())))
    log::Warn("tier_not_saved", {{"path", state_.path()}});
}

std::string TierHost::ZoneName(int zone) const { return config_.zones[static_cast<std::size_t>(zone)]; }

void TierHost::Sent(EndpointId id) {
  const EndpointTable::Endpoint& e = endpoints_.At(id);
  member_.Sent(loop_.Now(), e.zone, e.destination, id);
}

void TierHost::Ended(EndpointId id, Outcome outcome, Seconds duration) {
  const EndpointTable::Endpoint& e = endpoints_.At(id);
  member_.Ended(loop_.Now(), e.zone, e.destination, id, outcome, duration);
}

void TierHost::Saw(const Event& event) {
  if (const auto* attempt = std::get_if<AttemptOutcome>(&event))
    Ended(attempt->endpoint, attempt->outcome, attempt->duration);
  if (const auto* probe = std::get_if<ProbeOutcome>(&event))
    Ended(probe->endpoint, probe->outcome, probe->duration);
}

nlohmann::ordered_json TierHost::Print() const {
  const Seconds now = loop_.Now();
  int counts[4] = {};
  for (int peer = 0; peer < static_cast<int>(config_.peers.size()); ++peer)
    ++counts[static_cast<int>(member_.tier().LifeOf(now, peer))];
  nlohmann::ordered_json page = {{"relay", config_.name},
                                 {"tier",
                                  {{"relays", config_.peers.size()},
                                   {"live", counts[static_cast<int>(tier::Life::kLive)]},
                                   {"suspected", counts[static_cast<int>(tier::Life::kSuspected)]},
                                   {"unheard", counts[static_cast<int>(tier::Life::kUnheard)]},
                                   {"gone", counts[static_cast<int>(tier::Life::kGone)]},
                                   {"parts", member_.tier().Parts(now)},
                                   {"settled", member_.tier().Settled(now)},
                                   {"restarts_seen", member_.tier().restarts()},
                                   {"notes_sent", notes_},
                                   {"note_bytes_sent", note_bytes_}}},
                                 {"zones", nlohmann::ordered_json::array()}};
  for (int zone = 0; zone < member_.zones(); ++zone) {
    const zones::Stage& stage = member_.StageOf(zone);
    const zones::View view = member_.ViewOf(now, zone);
    const zones::Order order = member_.OrderFor(now, zone);
    const zones::ByHand by_hand = member_.InForce(now, zone);
    const zones::HandOrder& given = member_.HandOrderOf(zone);
    page["zones"].push_back({{"zone", ZoneName(zone)},
                             {"stage", zones::NameOf(stage.step)},
                             {"for_s", std::max(0.0, now - stage.since)},
                             {"round", stage.round},
                             {"relapses", stage.relapses},
                             {"share", order.share},
                             {"scout", order.scout},
                             {"accusers", view.accusers},
                             {"vouchers", view.vouchers},
                             {"partners_failing", view.bad_partners},
                             {"partners", view.partners},
                             {"why", zones::NameOf(view.wrong)},
                             {"order", zones::NameOf(by_hand)},
                             {"order_left_s", by_hand != zones::ByHand::kNone ? given.until - now : 0.0},
                             {"order_told_to", given.by}});
  }
  return page;
}

}  // namespace opalroute
