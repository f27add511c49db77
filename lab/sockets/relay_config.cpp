#include "lab/sockets/relay_config.h"

namespace opalroute::lab {

namespace {

using nlohmann::json;

const char* EffectName(Idempotency effect) {
  return effect == Idempotency::kIdempotent       ? "idempotent"
         : effect == Idempotency::kIdempotencyKey ? "deduplicated"
                                                  : "at_most_once";
}
const char* GroupName(DeduplicationScope group) {
  return group == DeduplicationScope::kAll           ? "all"
         : group == DeduplicationScope::kDestination ? "cell"
                                                     : "zone";
}
const char* RatingName(ListedRateAccuracy rating) {
  return rating == ListedRateAccuracy::kNone    ? "none"
         : rating == ListedRateAccuracy::kExact ? "nominal"
                                                : "rough";
}

}  // namespace

json SettingsJson(const Scenario& s, int me) {
  const Settings& m = s.settings;
  json classes = json::array();
  for (const ClassPlan& c : s.classes) {
    json one = {{"name", c.name},
                {"effect", EffectName(c.rules.idempotency)},
                {"group", GroupName(c.rules.deduplication_scope)},
                {"aimS", c.rules.latency_objective},
                {"deadlineS", c.rules.deadline},
                {"lateShare", c.rules.weight_at_deadline},
                {"worth", c.rules.priority_weight}};
    if (c.rules.idempotency == Idempotency::kIdempotencyKey) one["keyTtlS"] = c.rules.deduplication_window;
    classes.push_back(one);
  }
  json tenants = json::array();
  for (const TenantPlan& t : s.tenants)
    tenants.push_back({{"name", t.name}, {"share", t.share}, {"allowancePerS", t.quota}});
  json bundles = json::array(), apart = json::array();
  for (const auto& kind : m.kinds) {
    bundles.push_back(kind.max_batch);
    apart.push_back(kind.limits_per_endpoint);
  }
  return {{"balancers", s.relays},
          {"me", me},
          {"discovery", "ask"},
          {"zones", s.zones},
          {"kinds", {"plain", "apart"}},
          {"classes", classes},
          {"realms", tenants},
          {"familyInfo",
           {{"callsOut", m.concurrency_limit},
            {"bundleMax", bundles},
            {"routesApart", apart},
            {"late", m.late_decay == LateDecay::kLinear ? "even" : "by_half"}}},
          {"limits",
           {{"openCap", m.request_capacity},
            {"mostTries", m.max_attempts},
            {"cancel", m.may_cancel},
            {"secondCopies", m.may_hedge},
            {"probes", m.may_health_check},
            {"retryAfter", m.may_send_retry_after},
            {"peers", m.may_gossip},
            {"maxRetryAfterS", m.max_retry_after},
            {"connIdleS", 15},
            {"dialTimeoutS", 1.5}}},
          {"rules",
           {{"askWithinS", m.max_poll_interval},
            {"coldFrom", m.slow_start_initial_share},
            {"drainGraceS", 2},
            {"overloadFactor", m.overload_factor},
            {"overloadForS", m.overload_window},
            {"rampTimeS", m.slow_start_duration}}},
          {"overShareWorth", m.over_quota_weight},
          {"tickS", m.tick},
          {"weightKind", RatingName(m.listed_rate_accuracy)}};
}

}  // namespace opalroute::lab
