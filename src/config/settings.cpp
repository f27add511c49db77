#include "config/settings.h"

#include <string>

#include "config/fields.h"

namespace opalroute::config {

using nlohmann::json;

namespace {

const EnumNames<Idempotency> kIdempotencyNames = {{"idempotent", Idempotency::kIdempotent},
                                                  {"deduplicated", Idempotency::kIdempotencyKey},
                                                  {"at_most_once", Idempotency::kNonIdempotent}};
const EnumNames<DeduplicationScope> kDeduplicationScopeNames = {{"all", DeduplicationScope::kAll},
                                                                {"cell", DeduplicationScope::kDestination},
                                                                {"zone", DeduplicationScope::kZone}};
const EnumNames<LateDecay> kLateDecayNames = {{"even", LateDecay::kLinear}, {"by_half", LateDecay::kHalving}};
const EnumNames<ListedRateAccuracy> kRateAccuracyNames = {{"none", ListedRateAccuracy::kNone},
                                                          {"nominal", ListedRateAccuracy::kExact},
                                                          {"rough", ListedRateAccuracy::kRough}};
const EnumNames<bool> kPollListNames = {{"push", false}, {"ask", true}};

RequestClass ParseClass(const json& item) {
  RequestClass result;
  result.idempotency = GetEnum(kIdempotencyNames, item, "effect");
  result.deduplication_scope = Find(item, "group") != nullptr
                                   ? GetEnum(kDeduplicationScopeNames, item, "group")
                                   : DeduplicationScope::kZone;
  result.deduplication_window = GetOr(item, "keyTtlS", 0.0);
  result.latency_objective = Get<double>(item, "aimS");
  result.deadline = Get<double>(item, "deadlineS");
  result.weight_at_deadline = GetOr(item, "lateShare", 0.0);
  result.priority_weight = Get<double>(item, "worth");
  result.ordered_by_key = GetOr(item, "keepOrder", false);
  return result;
}

template <typename T>
T ElementOr(const json& info, const char* field, std::size_t index, T default_value) {
  const json* list = Find(info, field);
  if (list == nullptr || !list->is_array() || index >= list->size()) return default_value;
  return As<T>((*list)[index], field);
}

}  // namespace

Settings ParseSettings(const json& options, std::uint64_t seed) {
  Settings s;
  ErrorCollector errors;
  // A missing section is reported once and returned as null.
  const auto section = [&](const char* name) {
    json found;
    errors.Try([&] {
      found = Require(options, name);
      if (!found.is_object()) throw FieldError(std::string("field '") + name + "' is not an object");
    });
    return found;
  };
  const json limits = section("limits"), rules = section("rules"), info = section("familyInfo");
  const auto in = [&](const char* place, const auto& step) {
    errors.WithContext(place == nullptr ? "" : std::string("in '") + place + "': ", step);
  };
  const auto required = [&](const char* place, const json& from, const char* field, auto& to) {
    if (from.is_null()) return;  // reported already
    in(place, [&] { to = Get<std::decay_t<decltype(to)>>(from, field); });
  };
  const auto optional = [&](const char* place, const json& from, const char* field, auto& to) {
    in(place, [&] { to = GetOr(from, field, to); });
  };
  errors.Try([&] {
    for (const json& item : Require(options, "classes"))
      in("classes", [&] { s.classes.push_back(ParseClass(item)); });
  });
  if (const json* realms = Find(options, "realms")) {
    for (const json& item : *realms)
      in("realms", [&] { s.tenants.push_back({Get<double>(item, "allowancePerS")}); });
  }
  errors.Try([&] {
    for (std::size_t i = 0; i < NamesIn(options, "kinds", nullptr).size(); ++i)
      s.kinds.push_back({ElementOr(info, "routesApart", i, false), ElementOr(info, "bundleMax", i, 1)});
  });
  required(nullptr, options, "balancers", s.relay_count);
  required("familyInfo", info, "callsOut", s.concurrency_limit);
  required("limits", limits, "openCap", s.request_capacity);
  required("limits", limits, "mostTries", s.max_attempts);
  optional("limits", limits, "cancel", s.may_cancel);
  optional("limits", limits, "secondCopies", s.may_hedge);
  optional("limits", limits, "probes", s.may_health_check);
  optional("limits", limits, "peers", s.may_gossip);
  optional("limits", limits, "retryAfter", s.may_send_retry_after);
  optional("limits", limits, "maxRetryAfterS", s.max_retry_after);
  errors.Try([&] { s.poll_endpoint_list = GetEnum(kPollListNames, options, "discovery"); });
  errors.Try([&] {
    s.late_decay =
        Find(info, "late") != nullptr ? GetEnum(kLateDecayNames, info, "late") : LateDecay::kLinear;
  });
  errors.Try([&] {
    s.listed_rate_accuracy = Find(options, "weightKind") != nullptr
                                 ? GetEnum(kRateAccuracyNames, options, "weightKind")
                                 : ListedRateAccuracy::kNone;
  });
  s.over_quota_weight = 1;
  optional(nullptr, options, "overShareWorth", s.over_quota_weight);
  required(nullptr, options, "tickS", s.tick);
  optional("rules", rules, "askWithinS", s.max_poll_interval);
  optional("rules", rules, "drainGraceS", s.drain_grace);
  required("rules", rules, "overloadForS", s.overload_window);
  required("rules", rules, "overloadFactor", s.overload_factor);
  required("rules", rules, "coldFrom", s.slow_start_initial_share);
  required("rules", rules, "rampTimeS", s.slow_start_duration);
  if (Find(rules, "keyRestS") != nullptr)
    in("rules", [&] { s.ordered_key_pause = Get<double>(rules, "keyRestS"); });
  s.seed = seed;
  errors.ThrowIfAny();
  return s;
}

}  // namespace opalroute::config
