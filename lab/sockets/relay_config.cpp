#include "lab/sockets/relay_config.h"

namespace opalroute::lab {

namespace {

using nlohmann::json;

const char* EffectName(Effect effect) {
  return effect == Effect::kSafe ? "idempotent" : effect == Effect::kKeyed ? "deduplicated" : "at_most_once";
}
const char* GroupName(KeyGroup group) {
  return group == KeyGroup::kAll ? "all" : group == KeyGroup::kDestination ? "cell" : "zone";
}
const char* RatingName(RatingMeaning rating) {
  return rating == RatingMeaning::kNone ? "none" : rating == RatingMeaning::kExact ? "nominal" : "rough";
}

}  // namespace

json SettingsJson(const Scenario& s, int me) {
  const Settings& m = s.settings;
  json classes = json::array();
  for (const ClassPlan& c : s.classes) {
    json one = {
        {"name", c.name},        {"effect", EffectName(c.rules.effect)}, {"group", GroupName(c.rules.group)},
        {"aimS", c.rules.aim},   {"deadlineS", c.rules.deadline},        {"lateShare", c.rules.late_share},
        {"worth", c.rules.worth}};
    if (c.rules.effect == Effect::kKeyed) one["keyTtlS"] = c.rules.key_window;
    classes.push_back(one);
  }
  json tenants = json::array();
  for (const TenantPlan& t : s.tenants)
    tenants.push_back({{"name", t.name}, {"share", t.share}, {"allowancePerS", t.allowance}});
  json bundles = json::array(), apart = json::array();
  for (const auto& kind : m.kinds) {
    bundles.push_back(kind.bundle);
    apart.push_back(kind.routes_apart);
  }
  return {{"balancers", s.relays},
          {"me", me},
          {"discovery", "ask"},
          {"zones", s.zones},
          {"kinds", {"plain", "apart"}},
          {"classes", classes},
          {"realms", tenants},
          {"familyInfo",
           {{"callsOut", m.slots},
            {"bundleMax", bundles},
            {"routesApart", apart},
            {"late", m.late == LateWorth::kEven ? "even" : "by_half"}}},
          {"limits",
           {{"openCap", m.room},
            {"mostTries", m.most_tries},
            {"cancel", m.may_cancel},
            {"secondCopies", m.may_copy},
            {"probes", m.may_probe},
            {"retryAfter", m.may_advise_wait},
            {"peers", m.may_tell_peers},
            {"maxRetryAfterS", m.longest_wait},
            {"connIdleS", 15},
            {"dialTimeoutS", 1.5}}},
          {"rules",
           {{"askWithinS", m.ask_within},
            {"coldFrom", m.cold_from},
            {"drainGraceS", 2},
            {"overloadFactor", m.overload_factor},
            {"overloadForS", m.overload_for},
            {"rampTimeS", m.ramp_time}}},
          {"overShareWorth", m.over_share_worth},
          {"tickS", m.tick},
          {"weightKind", RatingName(m.rating)}};
}

}  // namespace opalroute::lab
