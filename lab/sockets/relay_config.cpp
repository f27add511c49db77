#include "lab/sockets/relay_config.h"

namespace opalroute::lab {

namespace {

using nlohmann::json;

const char* IdempotencyName(Idempotency idempotency) {
  return idempotency == Idempotency::kIdempotent       ? "idempotent"
         : idempotency == Idempotency::kIdempotencyKey ? "deduplicated"
                                                       : "at_most_once";
}
const char* DeduplicationScopeName(DeduplicationScope scope) {
  return scope == DeduplicationScope::kAll           ? "all"
         : scope == DeduplicationScope::kDestination ? "cell"
                                                     : "zone";
}
const char* RateAccuracyName(ListedRateAccuracy accuracy) {
  return accuracy == ListedRateAccuracy::kNone    ? "none"
         : accuracy == ListedRateAccuracy::kExact ? "nominal"
                                                  : "rough";
}

}  // namespace

json SettingsJson(const Scenario& scenario, int relay) {
  const Settings& settings = scenario.settings;
  json classes = json::array();
  for (const ClassPlan& plan : scenario.classes) {
    json row = {{"name", plan.name},
                {"effect", IdempotencyName(plan.rules.idempotency)},
                {"group", DeduplicationScopeName(plan.rules.deduplication_scope)},
                {"aimS", plan.rules.latency_objective},
                {"deadlineS", plan.rules.deadline},
                {"lateShare", plan.rules.weight_at_deadline},
                {"worth", plan.rules.priority_weight}};
    if (plan.rules.idempotency == Idempotency::kIdempotencyKey)
      row["keyTtlS"] = plan.rules.deduplication_window;
    classes.push_back(row);
  }
  json tenants = json::array();
  for (const TenantPlan& tenant : scenario.tenants)
    tenants.push_back({{"name", tenant.name}, {"share", tenant.share}, {"allowancePerS", tenant.quota}});
  json max_batches = json::array(), limits_per_endpoint = json::array();
  for (const auto& kind : settings.kinds) {
    max_batches.push_back(kind.max_batch);
    limits_per_endpoint.push_back(kind.limits_per_endpoint);
  }
  return {{"balancers", scenario.relays},
          {"me", relay},
          {"discovery", "ask"},
          {"zones", scenario.zones},
          {"kinds", {"plain", "apart"}},
          {"classes", classes},
          {"realms", tenants},
          {"familyInfo",
           {{"callsOut", settings.concurrency_limit},
            {"bundleMax", max_batches},
            {"routesApart", limits_per_endpoint},
            {"late", settings.late_decay == LateDecay::kLinear ? "even" : "by_half"}}},
          {"limits",
           {{"openCap", settings.request_capacity},
            {"mostTries", settings.max_attempts},
            {"cancel", settings.may_cancel},
            {"secondCopies", settings.may_hedge},
            {"probes", settings.may_health_check},
            {"retryAfter", settings.may_send_retry_after},
            {"peers", settings.may_gossip},
            {"maxRetryAfterS", settings.max_retry_after},
            {"connIdleS", 15},
            {"dialTimeoutS", 1.5}}},
          {"rules",
           {{"askWithinS", settings.max_poll_interval},
            {"coldFrom", settings.slow_start_initial_share},
            {"drainGraceS", 2},
            {"overloadFactor", settings.overload_factor},
            {"overloadForS", settings.overload_window},
            {"rampTimeS", settings.slow_start_duration}}},
          {"overShareWorth", settings.over_quota_weight},
          {"tickS", settings.tick},
          {"weightKind", RateAccuracyName(settings.listed_rate_accuracy)}};
}

}  // namespace opalroute::lab
